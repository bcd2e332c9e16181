#ifndef MASTICPROXY_CLUSTER_CONFIGURATION_PUSH_H
#define MASTICPROXY_CLUSTER_CONFIGURATION_PUSH_H

#include "masticproxy/src/Cluster/configuration_record.h"

#include <cstdint>
#include <vector>

namespace masticproxy {

/// \brief Configuration handed from one VM to another.
struct configuration_push {
  /// Revision after which \p Records begin.
  std::uint64_t AfterRevision = 0;
  /// Revision up to which \p Records are complete, from AfterRevision on.
  std::uint64_t Revision = 0;
  std::vector<configuration_record> Records;

  bool operator==(const configuration_push &) const = default;
};

} // namespace masticproxy

#endif
