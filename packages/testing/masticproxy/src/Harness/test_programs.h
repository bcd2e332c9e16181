#ifndef MASTICPROXY_HARNESS_TEST_PROGRAMS_H
#define MASTICPROXY_HARNESS_TEST_PROGRAMS_H

#include <chrono>
#include <functional>
#include <string>

namespace masticproxy {

/// \returns the loopback address that all processes of a test listen at. Runs
/// of several work trees side by side each take one of their own.
std::string testHost();

/// \returns the path of the program \p Name that the tests start.
/// \throws std::runtime_error where the environment does not say where
std::string programPath(const std::string &Name);

/// Waits up to \p Longest until \p Condition holds. \returns whether it did.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Longest = std::chrono::seconds(10));

} // namespace masticproxy

#endif
