#ifndef MASTICPROXY_QUERY_RUN_CLAIM_H
#define MASTICPROXY_QUERY_RUN_CLAIM_H

#include <cstdint>

namespace masticproxy {

/// \brief The claim on the request id that a run needs before it may start.
class run_claim {
public:
  /// Keeps the run from starting until grant().
  void await() { Awaited = true; }

  /// Lets the run start with the claim object of \p NewVersion.
  void grant(std::uint64_t NewVersion) {
    Awaited = false;
    Version = NewVersion;
  }

  /// \returns whether the run has to wait.
  bool awaited() const { return Awaited; }

  /// \returns the version of the claim object; 0 without one.
  std::uint64_t version() const { return Version; }

private:
  bool Awaited = false;
  std::uint64_t Version = 0;
};

} // namespace masticproxy

#endif
