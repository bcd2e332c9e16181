#ifndef MASTICPROXY_DAEMON_EFFECT_LOG_H
#define MASTICPROXY_DAEMON_EFFECT_LOG_H

#include "masticproxy/src/Report/profile_summaries.h"

#include <mutex>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief The profile summaries of this VM, shared by its threads.
class effect_log {
public:
  /// \sa profile_summaries::inForce
  void inForce(const std::string &Name, std::uint64_t Version,
               std::chrono::microseconds Since, std::string Text);

  /// \sa profile_summaries::ended
  void ended(const query_account &Account, const query_outcome &Outcome);

  /// \returns the summaries of the profile called \p Name, or of all where it
  /// is empty, as JSON.
  std::string toJson(std::string_view Name) const;

private:
  mutable std::mutex Mutex;
  profile_summaries Summaries;
};

} // namespace masticproxy

#endif
