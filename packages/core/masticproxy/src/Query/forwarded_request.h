#ifndef MASTICPROXY_QUERY_FORWARDED_REQUEST_H
#define MASTICPROXY_QUERY_FORWARDED_REQUEST_H

#include <string>
#include <utility>
#include <vector>

namespace masticproxy {

/// Header fields in order; names are lower case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// \brief A caller's request that upstreams get as the caller sent it.
struct forwarded_request {
  std::string Method;
  /// Host that the caller asked for, without a port.
  std::string Host;
  /// Path and query string.
  std::string Target;
  /// End-to-end fields; those of one connection and those that the VM sets
  /// itself are left out.
  header_list Headers;
  std::string Body;
};

} // namespace masticproxy

#endif
