#include "masticproxy/src/Query/partial_answer.h"

#include "masticproxy/src/Query/index_map.h"

#include <utility>

using namespace masticproxy;

shard_result masticproxy::toShardResult(upstream_result Result) {
  return {std::move(Result.Shard), std::move(Result.Body), Result.Status,
          std::move(Result.Signature), std::move(Result.Headers)};
}

partial_answer::partial_answer(std::string RequestId,
                               std::shared_ptr<const index_snapshot> Snapshot)
    : RequestId(std::move(RequestId)), Snapshot(std::move(Snapshot)),
      Results(this->Snapshot->Shards.size()) {}

bool partial_answer::add(upstream_result Result) {
  if (Result.RequestId != RequestId || Result.Snapshot != Snapshot->Id)
    return false;
  std::optional<std::size_t> Index = shardIndex(Result.Shard);
  if (!Index || Results[*Index])
    return false;
  Results[*Index] = toShardResult(std::move(Result));
  ++AnsweredShards;
  return true;
}

coverage partial_answer::coverageSoFar() const {
  return coverage{AnsweredShards, Results.size()};
}

std::string_view partial_answer::snapshot() const { return Snapshot->Id; }

std::vector<shard_result> partial_answer::takeResults() {
  std::vector<shard_result> Taken;
  Taken.reserve(AnsweredShards);
  for (std::optional<shard_result> &Result : Results)
    if (Result)
      Taken.push_back(std::move(*Result));
  return Taken;
}

std::optional<std::size_t>
partial_answer::shardIndex(std::string_view Shard) const {
  for (std::size_t I = 0; I < Snapshot->Shards.size(); ++I)
    if (Snapshot->Shards[I].Id == Shard)
      return I;
  return std::nullopt;
}
