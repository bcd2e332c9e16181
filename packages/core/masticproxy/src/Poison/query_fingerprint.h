#ifndef MASTICPROXY_POISON_QUERY_FINGERPRINT_H
#define MASTICPROXY_POISON_QUERY_FINGERPRINT_H

#include <cstdint>
#include <string_view>

namespace masticproxy {

/// Identifies the content of a query, independent of its request id.
using query_fingerprint = std::uint64_t;

/// \returns the fingerprint of a query with \p Body to \p Index.
query_fingerprint fingerprintOf(std::string_view Index, std::string_view Body);

} // namespace masticproxy

#endif
