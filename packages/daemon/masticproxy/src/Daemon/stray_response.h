#ifndef MASTICPROXY_DAEMON_STRAY_RESPONSE_H
#define MASTICPROXY_DAEMON_STRAY_RESPONSE_H

namespace masticproxy {

/// \brief The response belongs to another request of the same connection.
struct stray_response {};

} // namespace masticproxy

#endif
