#ifndef MASTICPROXY_CLUSTER_CONFIGURATION_RECORD_H
#define MASTICPROXY_CLUSTER_CONFIGURATION_RECORD_H

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief One configuration object as the platform accepted it.
struct configuration_record {
  /// `profile` or `index`.
  std::string Kind;
  std::string Name;
  /// Platform revision of the write.
  std::uint64_t Version = 0;
  bool Deleted = false;
  std::string Value;

  bool operator==(const configuration_record &) const = default;
};

} // namespace masticproxy

#endif
