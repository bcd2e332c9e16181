#ifndef MASTICPROXY_DAEMON_ERROR_BOUNDARY_H
#define MASTICPROXY_DAEMON_ERROR_BOUNDARY_H

#include <exception>
#include <string_view>

namespace masticproxy {

class counter_registry;

/// Logs \p Error, and counts it at \p Where.
void recordContained(counter_registry &Counters, std::string_view Where,
                     const std::exception &Error);

/// Runs \p Action, part of the duty \p Where. An exception that leaves it ends
/// that part alone. \returns whether none did.
template <typename Action>
bool runContained(counter_registry &Counters, std::string_view Where,
                  Action Run) {
  try {
    Run();
    return true;
  } catch (const std::exception &Error) {
    recordContained(Counters, Where, Error);
    return false;
  }
}

} // namespace masticproxy

#endif
