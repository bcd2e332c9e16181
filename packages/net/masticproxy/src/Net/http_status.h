#ifndef MASTICPROXY_NET_HTTP_STATUS_H
#define MASTICPROXY_NET_HTTP_STATUS_H

namespace masticproxy {

/// HTTP's status codes that the daemon and its client use.
inline constexpr unsigned StatusOk = 200;
inline constexpr unsigned StatusNoContent = 204;
inline constexpr unsigned StatusNotModified = 304;
inline constexpr unsigned StatusBadRequest = 400;
inline constexpr unsigned StatusUnauthorized = 401;
inline constexpr unsigned StatusNotFound = 404;
inline constexpr unsigned StatusMethodNotAllowed = 405;
inline constexpr unsigned StatusRequestTimeout = 408;
inline constexpr unsigned StatusConflict = 409;
inline constexpr unsigned StatusGone = 410;
inline constexpr unsigned StatusMisdirected = 421;
inline constexpr unsigned StatusUnprocessable = 422;
inline constexpr unsigned StatusTooManyRequests = 429;
inline constexpr unsigned StatusBadGateway = 502;
inline constexpr unsigned StatusUnavailable = 503;
inline constexpr unsigned StatusGatewayTimeout = 504;

} // namespace masticproxy

#endif
