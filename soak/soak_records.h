#ifndef MASTICPROXY_SOAK_SOAK_RECORDS_H
#define MASTICPROXY_SOAK_SOAK_RECORDS_H

#include <string>
#include <string_view>
#include <vector>

namespace masticproxy::soak {

/// \returns the body with which an upstream of \p Shard answers the request
/// \p Id: records that no other request and no other shard has.
std::string bodyOf(std::string_view Id, unsigned Shard);

/// \returns the greatest \p Count records of the bodies of \p Shards, falling:
/// a plain second version of what the VM merges.
std::string greatestOf(std::string_view Id, const std::vector<unsigned> &Shards,
                       std::size_t Count);

} // namespace masticproxy::soak

#endif
