#ifndef MASTICPROXY_QUERY_PARTIAL_ANSWER_H
#define MASTICPROXY_QUERY_PARTIAL_ANSWER_H

#include "masticproxy/src/Query/coverage.h"
#include "masticproxy/src/Query/forwarded_request.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

struct index_snapshot;

/// \brief One shard's result as received from an upstream, not yet checked.
struct upstream_result {
  std::string RequestId;
  std::string Snapshot;
  std::string Shard;
  std::string Body;
  /// HTTP status of the upstream's response.
  unsigned Status = 200;
  /// The upstream's signature of its response; empty if it sends none.
  std::string Signature = {};
  /// End-to-end header fields, for answers that forward the response.
  header_list Headers = {};
};

/// \brief One shard's result in an answer.
struct shard_result {
  std::string Shard;
  std::string Body;
  /// Status, signature and header fields as in upstream_result.
  unsigned Status = 200;
  std::string Signature = {};
  header_list Headers = {};
};

/// \returns \p Result without the request id and the snapshot, which serve
/// only for its check.
shard_result toShardResult(upstream_result Result);

/// \brief The results collected for one request from one pinned snapshot.
///
/// It never holds results of two snapshots: it is pinned to one snapshot at
/// construction, and add() rejects the results of any other.
class partial_answer {
public:
  /// Creates an answer to \p RequestId without results, pinned to \p Snapshot.
  partial_answer(std::string RequestId,
                 std::shared_ptr<const index_snapshot> Snapshot);

  /// Adds \p Result if it belongs to this request, this snapshot and a shard
  /// that has no result yet. \returns whether it was added.
  bool add(upstream_result Result);

  /// \returns whether the shard at \p ShardIndex of the snapshot has a result.
  bool has(std::size_t ShardIndex) const {
    return Results[ShardIndex].has_value();
  }

  /// \returns the coverage of the results added so far.
  coverage coverageSoFar() const;

  /// \returns the id of the pinned snapshot.
  std::string_view snapshot() const;

  /// Moves the results out. \returns them in the order of the snapshot's
  /// shards.
  std::vector<shard_result> takeResults();

private:
  std::optional<std::size_t> shardIndex(std::string_view Shard) const;

  std::string RequestId;
  std::shared_ptr<const index_snapshot> Snapshot;
  std::vector<std::optional<shard_result>> Results;
  std::size_t AnsweredShards = 0;
};

} // namespace masticproxy

#endif
