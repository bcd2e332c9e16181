#ifndef MASTICPROXY_QUERY_ROUTE_TABLE_H
#define MASTICPROXY_QUERY_ROUTE_TABLE_H

#include "masticproxy/src/Query/route.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief All routes in force; immutable once published.
class route_table {
public:
  /// Adds \p Route. It replaces a route with the same host and prefix.
  void add(route Route);

  /// \returns the route of \p Host with the longest prefix of the path of
  /// \p Target, or null.
  std::shared_ptr<const route> find(std::string_view Host,
                                    std::string_view Target) const;

  /// \returns the number of routes.
  std::size_t size() const;

private:
  using route_list = std::vector<std::shared_ptr<const route>>;

  /// The routes of each host, in descending order of their prefix lengths.
  std::map<std::string, route_list, std::less<>> Hosts;
};

} // namespace masticproxy

#endif
