#include "masticproxy/src/Cluster/platform_follower.h"

#include <algorithm>

using namespace masticproxy;

void platform_follower::followFrom(std::uint64_t NewRevision) {
  Revision = std::max(Revision, NewRevision);
}

configuration_push platform_follower::onAnswer(std::uint64_t After,
                                               configuration_push Changes) {
  Changes.AfterRevision = After;
  Behind = Changes.Revision < Revision;
  if (!Behind) {
    Revision = Changes.Revision;
    return Changes;
  }
  // Names that nobody held yet are taken over all the same; the table refuses
  // all else by its version. Nothing becomes complete by an old state.
  Changes.AfterRevision = Changes.Revision;
  return Changes;
}
