/// \file
/// An answer holds results of one snapshot only and states the actual coverage.
/// Compares partial_answer with a set of shards as reference implementation,
/// over generated results.

#include "draws.h"
#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

using namespace masticproxy;

namespace {

std::shared_ptr<const index_snapshot> makeSnapshot(const std::string &Id,
                                                   std::size_t Shards) {
  auto Snapshot = std::make_shared<index_snapshot>();
  Snapshot->Id = Id;
  for (std::size_t I = 0; I < Shards; ++I)
    Snapshot->Shards.push_back({std::to_string(I), {}});
  return Snapshot;
}

/// A result that may be of an unknown shard, of another request or of another
/// snapshot; repeated calls also return duplicates.
upstream_result anyResult() {
  upstream_result Result;
  Result.RequestId = *rc::gen::element<std::string>("own", "own", "other");
  Result.Snapshot = *rc::gen::element<std::string>("s1", "s1", "s2");
  Result.Shard = std::to_string(draw(0, 12));
  Result.Body = Result.RequestId + Result.Snapshot;
  return Result;
}

/// The reference implementation: whether the shard of a result counts.
bool isValid(const upstream_result &Result, std::size_t Shards) {
  return Result.RequestId == "own" && Result.Snapshot == "s1" &&
         std::stoul(Result.Shard) < Shards;
}

template <typename Add> bool matchesReference(Add AddResult) {
  return rc::check([AddResult] {
    auto Shards = static_cast<std::size_t>(draw(0, 10));
    partial_answer Answer("own", makeSnapshot("s1", Shards));
    std::set<std::string> Expected;
    for (int Remaining = draw(0, 30); Remaining > 0; --Remaining) {
      upstream_result Result = anyResult();
      if (isValid(Result, Shards))
        Expected.insert(Result.Shard);
      AddResult(Answer, Result);
    }
    RC_ASSERT(Answer.coverageSoFar() == (coverage{Expected.size(), Shards}));
    for (const shard_result &Result : Answer.takeResults())
      RC_ASSERT(Result.Body == "owns1");
  });
}

} // namespace

Test(partial_answer, counts_distinct_shards_of_one_snapshot) {
  cr_assert(matchesReference(
      [](partial_answer &Answer, const upstream_result &Result) {
        Answer.add(Result);
      }));
}

Test(partial_answer, detects_results_of_another_snapshot) {
  // This mutant accepts results of any snapshot.
  cr_assert_not(
      matchesReference([](partial_answer &Answer, upstream_result Result) {
        Result.Snapshot = "s1";
        Answer.add(Result);
      }));
}

Test(partial_answer, detects_results_of_another_request) {
  // This mutant doesn't check the request's id.
  cr_assert_not(
      matchesReference([](partial_answer &Answer, upstream_result Result) {
        Result.RequestId = "own";
        Answer.add(Result);
      }));
}
