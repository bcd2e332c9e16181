#ifndef MASTICPROXY_ROUTING_EXCLUDED_PROCESSES_H
#define MASTICPROXY_ROUTING_EXCLUDED_PROCESSES_H

#include "masticproxy/src/Base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace masticproxy {

struct replica;
struct upstream_status;

/// \brief The upstream processes that this VM sends nothing to, each at its
/// address: one that leaves, one that asked for a pause, and one that another
/// process stands in for. Other processes at these addresses are free.
class excluded_processes {
public:
  /// Records what a process says of itself. \returns the end of its pause, in
  /// the past if there is none.
  time_point onStatus(const upstream_status &Status, time_point Now);

  /// Records that another process than \p Process answered at \p Address.
  void onMisdirected(std::string_view Process, std::string_view Address,
                     time_point Now);

  /// \returns until when \p Replica gets no attempts; in the past for one that
  /// gets them, time_point::max() for one that gets none any more.
  time_point excludedUntil(const replica &Replica, time_point Now) const;

  bool excludes(const replica &Replica, time_point Now) const {
    return excludedUntil(Replica, Now) > Now;
  }

private:
  struct record {
    time_point MisdirectedUntil{};
    time_point PausedUntil{};
    /// When it last said that it leaves; empty time if it never did.
    time_point LeavingSaidAt{};
  };

  record &recordOf(std::string_view Process, std::string_view Address,
                   time_point Now);

  /// By process and address.
  std::map<std::string, record> Records;
};

} // namespace masticproxy

#endif
