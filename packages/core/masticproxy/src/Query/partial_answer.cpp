#include "masticproxy/src/Query/partial_answer.h"

#include "masticproxy/src/Query/index_map.h"

#include <utility>

using namespace masticproxy;

partial_answer::partial_answer(std::string RequestId,
                               std::shared_ptr<const index_snapshot> Snapshot)
    : RequestId(std::move(RequestId)), Snapshot(std::move(Snapshot)),
      Bodies(this->Snapshot->Shards.size()) {}

bool partial_answer::add(upstream_result Result) {
  if (Result.RequestId != RequestId || Result.Snapshot != Snapshot->Id)
    return false;
  std::optional<std::size_t> Index = shardIndex(Result.Shard);
  if (!Index || Bodies[*Index])
    return false;
  Bodies[*Index] = std::move(Result.Body);
  ++Answered;
  return true;
}

coverage partial_answer::stated() const {
  return coverage{Answered, Bodies.size()};
}

std::string_view partial_answer::snapshot() const { return Snapshot->Id; }

std::vector<shard_result> partial_answer::takeResults() {
  std::vector<shard_result> Results;
  Results.reserve(Answered);
  for (std::size_t I = 0; I < Bodies.size(); ++I)
    if (Bodies[I])
      Results.push_back({Snapshot->Shards[I].Id, std::move(*Bodies[I])});
  return Results;
}

std::optional<std::size_t>
partial_answer::shardIndex(std::string_view Shard) const {
  for (std::size_t I = 0; I < Snapshot->Shards.size(); ++I)
    if (Snapshot->Shards[I].Id == Shard)
      return I;
  return std::nullopt;
}
