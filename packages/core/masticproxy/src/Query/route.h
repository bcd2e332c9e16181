#ifndef MASTICPROXY_QUERY_ROUTE_H
#define MASTICPROXY_QUERY_ROUTE_H

#include <string>
#include <vector>

namespace masticproxy {

/// \brief What a caller gets for the results of the shards.
enum class answer_form {
  /// The results one by one, as JSON.
  Listed,
  /// The response of the only shard, as the upstream sent it.
  Whole,
  /// The greatest records of all results.
  GreatestRecords,
};

/// \brief One index of a route, and its share of the requests.
struct weighted_index {
  std::string Index;
  /// Share relative to the route's other indexes; not negative.
  double Weight = 1.0;
};

/// \brief Names profile and index for forwarded requests by host and path.
struct route {
  std::string Name;
  /// Host without a port, in lower case.
  std::string Host;
  /// Begins and ends with a slash; the longest that begins a path counts.
  std::string PathPrefix;
  std::string Profile;
  std::vector<weighted_index> Indexes;
  answer_form Form = answer_form::Whole;
  /// Records in an answer of the form GreatestRecords.
  std::size_t Records = 0;
};

} // namespace masticproxy

#endif
