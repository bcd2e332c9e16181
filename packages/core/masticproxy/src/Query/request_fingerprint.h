#ifndef MASTICPROXY_QUERY_REQUEST_FINGERPRINT_H
#define MASTICPROXY_QUERY_REQUEST_FINGERPRINT_H

#include "masticproxy/src/Poison/query_fingerprint.h"

namespace masticproxy {

struct query_arrived;

/// \returns the fingerprint of the query in \p Request. It covers the index and
/// the body; for a forwarded request, the target and the body.
query_fingerprint fingerprintOf(const query_arrived &Request);

} // namespace masticproxy

#endif
