#ifndef MASTICPROXY_DAEMON_END_TO_END_HEADERS_H
#define MASTICPROXY_DAEMON_END_TO_END_HEADERS_H

#include "masticproxy/src/Net/http_message.h"

namespace masticproxy {

/// \returns \p Headers without those that concern one connection only, and
/// without the length of the body, which each connection states anew.
/// \sa RFC 9110, 7.6.1
http_headers endToEndHeaders(http_headers Headers);

} // namespace masticproxy

#endif
