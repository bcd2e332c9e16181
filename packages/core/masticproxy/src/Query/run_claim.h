#ifndef MASTICPROXY_QUERY_RUN_CLAIM_H
#define MASTICPROXY_QUERY_RUN_CLAIM_H

#include <cstdint>

namespace masticproxy {

/// \brief The claim on its request id that a run needs before it may start.
class run_claim {
public:
  /// Keeps the run from starting until grant() is called.
  void await() { Awaited = true; }

  /// Lets the run start. \p NewVersion is the version of the claim object.
  void grant(std::uint64_t NewVersion) {
    Awaited = false;
    Version = NewVersion;
  }

  /// \returns whether the run waits for its claim.
  bool isAwaited() const { return Awaited; }

  /// \returns the version of the claim object; 0 without one.
  std::uint64_t version() const { return Version; }

private:
  bool Awaited = false;
  std::uint64_t Version = 0;
};

} // namespace masticproxy

#endif
