#ifndef MASTICPROXY_QUERY_COVERAGE_H
#define MASTICPROXY_QUERY_COVERAGE_H

#include <cstddef>

namespace masticproxy {

/// \brief Distinct shards of the pinned snapshot that stand behind an answer.
struct coverage {
  /// Shards whose results are in the answer.
  std::size_t Answered = 0;
  /// Shards of the pinned snapshot.
  std::size_t Asked = 0;

  /// \returns the share in [0, 1]; 0 when no shard was asked.
  double share() const {
    if (Asked == 0)
      return 0.0;
    return static_cast<double>(Answered) / static_cast<double>(Asked);
  }

  bool operator==(const coverage &) const = default;
};

} // namespace masticproxy

#endif
