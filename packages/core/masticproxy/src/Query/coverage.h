#ifndef MASTICPROXY_QUERY_COVERAGE_H
#define MASTICPROXY_QUERY_COVERAGE_H

#include <cstddef>

namespace masticproxy {

/// \brief How many distinct shards of the pinned snapshot an answer covers.
struct coverage {
  /// Number of shards whose results are in the answer.
  std::size_t Answered = 0;
  /// Number of shards of the pinned snapshot, whether or not an attempt was
  /// sent for each.
  std::size_t Asked = 0;

  /// \returns the covered share in [0, 1]; 0 if the snapshot has no shards.
  double share() const {
    if (Asked == 0)
      return 0.0;
    return static_cast<double>(Answered) / static_cast<double>(Asked);
  }

  bool operator==(const coverage &) const = default;
};

} // namespace masticproxy

#endif
