#ifndef MASTICPROXY_QUERY_ROUTE_H
#define MASTICPROXY_QUERY_ROUTE_H

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief How the results of the shards are combined in the answer.
enum class answer_form {
  /// All results, listed as JSON.
  Listed,
  /// The response of the only shard, unchanged.
  Whole,
  /// The greatest records of all results in byte order, see mergeTopK().
  TopK,
};

/// \brief One index of a route, and its share of the requests.
struct weighted_index {
  std::string Index;
  /// Share relative to the route's other indexes; not negative.
  double Weight = 1.0;
};

/// \brief Assigns a profile and indexes to forwarded requests by host and path.
struct route {
  std::string Name;
  /// Host without a port, in lower case.
  std::string Host;
  /// Begins and ends with a slash. Of several prefixes of a path, the longest
  /// applies.
  std::string PathPrefix;
  std::string Profile;
  std::vector<weighted_index> Indexes;
  answer_form Form = answer_form::Whole;
  /// Maximum number of records in an answer of the form TopK.
  std::size_t Records = 0;
  /// Whether its requests need no key.
  bool Public = false;

  /// \returns whether \p Index is one of its indexes.
  bool has(std::string_view Index) const {
    return std::any_of(
        Indexes.begin(), Indexes.end(),
        [Index](const weighted_index &One) { return One.Index == Index; });
  }
};

} // namespace masticproxy

#endif
