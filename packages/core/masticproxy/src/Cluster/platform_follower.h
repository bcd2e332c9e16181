#ifndef MASTICPROXY_CLUSTER_PLATFORM_FOLLOWER_H
#define MASTICPROXY_CLUSTER_PLATFORM_FOLLOWER_H

#include "masticproxy/src/Cluster/configuration_push.h"

#include <cstdint>

namespace masticproxy {

/// \brief Decides what a watching VM asks the platform for, and what its
/// answers are worth.
///
/// The platform can answer with an old state, or be brought back from an old
/// copy; its revision is then behind what was accepted before. The VM keeps
/// what it holds, marks nothing complete, and reads everything until the
/// platform's revision has come up again.
class platform_follower {
public:
  /// Follows from \p Revision on, up to which all is known from elsewhere.
  void followFrom(std::uint64_t Revision);

  /// \returns the revision to watch after.
  std::uint64_t watchAfter() const { return Behind ? 0 : Revision; }

  /// Takes in the answer to a watch after \p After. \p Changes holds the
  /// platform's revision and objects. \returns what may be taken over.
  configuration_push onAnswer(std::uint64_t After, configuration_push Changes);

  /// \returns whether the platform is behind what was accepted.
  bool behind() const { return Behind; }

private:
  std::uint64_t Revision = 0;
  bool Behind = false;
};

} // namespace masticproxy

#endif
