#ifndef MASTICPROXY_QUERY_FORWARDED_REQUEST_H
#define MASTICPROXY_QUERY_FORWARDED_REQUEST_H

#include <string>
#include <utility>
#include <vector>

namespace masticproxy {

/// Names and values of header fields in their order; names are lower case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// \brief A caller's request that is forwarded to upstreams with its method,
/// target and body unchanged and without the header fields excluded below.
struct forwarded_request {
  std::string Method;
  /// Host of the caller's request, without a port.
  std::string Host;
  /// Path and query string.
  std::string Target;
  /// End-to-end header fields. Fields of a single connection and fields that
  /// the VM sets itself are not included.
  header_list Headers;
  std::string Body;
};

} // namespace masticproxy

#endif
