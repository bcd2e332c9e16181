#ifndef MASTICPROXY_CTL_EVENT_FILTER_H
#define MASTICPROXY_CTL_EVENT_FILTER_H

#include "masticproxy/src/Ctl/timeline_options.h"

#include <chrono>
#include <deque>
#include <string>
#include <unordered_set>

namespace masticproxy {

struct ctl_options;
struct vm_event;

/// \brief Chooses the events that the command line asks for.
class event_filter {
public:
  /// Spans back are counted from \p Now, in wall time since 1970.
  event_filter(const ctl_options &Options, std::chrono::microseconds Now);

  /// Notes the profile of the request that \p Event belongs to. All events go
  /// through here before any is chosen.
  void learn(const vm_event &Event);

  /// \returns whether \p Event is asked for.
  bool matches(const vm_event &Event) const;

private:
  bool inTime(const vm_event &Event) const;

  timeline_options Wanted;
  std::string RequestId;
  std::string Profile;
  std::chrono::microseconds Since;
  std::chrono::microseconds Until;
  /// Requests that name the profile, oldest first, and the same as a set.
  std::deque<std::string> Ids;
  std::unordered_set<std::string> OfProfile;
};

} // namespace masticproxy

#endif
