#ifndef MASTICPROXY_QUERY_RUN_CLAIM_H
#define MASTICPROXY_QUERY_RUN_CLAIM_H

#include <cstdint>

namespace masticproxy {

/// \brief The state of a run's claim on its request id. Only non-idempotent
/// requests that are not forwarded need a claim before they start.
class run_claim {
public:
  /// Records that the run must not start until grant() is called.
  void await() { Awaited = true; }

  /// Lets the run start. \p NewVersion is the version of the object that
  /// stores the claim on the platform.
  void grant(std::uint64_t NewVersion) {
    Awaited = false;
    Version = NewVersion;
  }

  /// \returns whether the run waits for its claim.
  bool isAwaited() const { return Awaited; }

  /// \returns the version of the object that stores the claim; 0 without one.
  std::uint64_t version() const { return Version; }

private:
  bool Awaited = false;
  std::uint64_t Version = 0;
};

} // namespace masticproxy

#endif
