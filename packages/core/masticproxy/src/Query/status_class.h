#ifndef MASTICPROXY_QUERY_STATUS_CLASS_H
#define MASTICPROXY_QUERY_STATUS_CLASS_H

namespace masticproxy {

/// First HTTP status of each class that the daemon tells apart.
inline constexpr unsigned FirstSuccess = 200;
inline constexpr unsigned FirstRedirection = 300;
inline constexpr unsigned FirstServerError = 500;

} // namespace masticproxy

#endif
