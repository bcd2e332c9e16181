#ifndef MASTICPROXY_CLUSTER_RENDEZVOUS_H
#define MASTICPROXY_CLUSTER_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace masticproxy {

/// \returns the weight of \p Candidate for \p Key by rendezvous hashing; the
/// candidate with the highest weight comes first, on every VM alike.
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

} // namespace masticproxy

#endif
