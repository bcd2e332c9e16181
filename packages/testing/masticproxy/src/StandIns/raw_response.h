#ifndef MASTICPROXY_STANDINS_RAW_RESPONSE_H
#define MASTICPROXY_STANDINS_RAW_RESPONSE_H

#include "masticproxy/src/Net/http_connection.h"

#include <string_view>

namespace masticproxy {

/// \returns what a connection makes of a server that reads one request, sends
/// \p Bytes and closes.
exchange_result readRawResponse(std::string_view Bytes);

} // namespace masticproxy

#endif
