#ifndef MASTICPROXY_QUERY_REQUEST_FINGERPRINT_H
#define MASTICPROXY_QUERY_REQUEST_FINGERPRINT_H

#include "masticproxy/src/Poison/query_fingerprint.h"

namespace masticproxy {

struct query_arrived;

/// \returns the fingerprint of what \p Request asks for; that of a forwarded
/// request covers its target and its body.
query_fingerprint fingerprintOf(const query_arrived &Request);

} // namespace masticproxy

#endif
