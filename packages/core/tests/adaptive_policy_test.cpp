/// \file
/// Tests how the adaptive policy chooses replicas for attempts and hedges.

#include "manual_clock.h"
#include "masticproxy/Query"

#include <criterion/criterion.h>

#include <map>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// An upstream table over one set of three replicas.
struct table_fixture {
  table_fixture() { Table.setDataCentre("dc1"); }

  /// \returns for each replica how many of 1000 choices it gets.
  std::map<std::string, int> choices() {
    std::map<std::string, int> Counts;
    for (int I = 0; I < 1000; ++I)
      if (const replica *Chosen = Table.choose(Set, {}, Clock.now()))
        ++Counts[Chosen->Address];
    return Counts;
  }

  void answer(const std::string &Upstream, milliseconds Latency) {
    Table.answered({Upstream, "i", attempt_kind::First, Latency}, Clock.now());
  }

  void fail(const std::string &Upstream, attempt_failure Failure) {
    Table.failed({Upstream, "i"}, Failure, Clock.now());
  }

  bool mayHedge() {
    std::vector<std::string> Tried{"a"};
    return Table.chooseHedge(Set, Tried, Clock.now()) != nullptr;
  }

  manual_clock Clock;
  upstream_table Table{makePolicy(policy_name::Adaptive, 1)};
  /// Each replica has 3 slots and 9 connections.
  std::vector<replica> Set{
      {"a", "dc1", 3, 9}, {"b", "dc1", 3, 9}, {"c", "dc1", 3, 9}};
};

} // namespace

Test(adaptive_policy, avoids_a_slow_replica_and_tries_it_again_later) {
  table_fixture F;
  F.answer("a", milliseconds(50));
  F.answer("b", milliseconds(5));
  F.answer("c", milliseconds(5));
  cr_assert(F.choices()["a"] == 0);
  F.Clock.advance(seconds(5));
  F.answer("b", milliseconds(5));
  F.answer("c", milliseconds(5));
  cr_assert(F.choices()["a"] > 0);
}

Test(adaptive_policy, ejects_one_of_three_and_ramps_it_up_on_return) {
  table_fixture F;
  F.choices();
  F.Clock.advance(seconds(10));
  F.fail("a", attempt_failure::NotSent);
  cr_assert(F.choices()["a"] == 0);
  F.Clock.advance(seconds(1));
  int AtReturn = F.choices()["a"];
  cr_assert(AtReturn > 0 && AtReturn < 150);
  F.Clock.advance(seconds(10));
  cr_assert(F.choices()["a"] > 250);
}

Test(adaptive_policy, sends_no_hedge_into_an_overloaded_set) {
  table_fixture F;
  cr_assert(F.mayHedge());
  F.fail("b", attempt_failure::Refused);
  cr_assert(F.mayHedge());
  F.fail("a", attempt_failure::Refused);
  cr_assert_not(F.mayHedge());
}

Test(adaptive_policy, sends_no_hedge_to_a_replica_without_free_slots) {
  table_fixture F;
  for (const char *Upstream : {"b", "b", "b", "c", "c", "c"})
    F.Table.attemptStarted(Upstream, F.Clock.now());
  cr_assert_not(F.mayHedge());
  F.Table.attemptEnded("c");
  cr_assert(F.mayHedge());
}

Test(adaptive_policy, hedges_after_nearly_all_attempts_would_have_ended) {
  table_fixture F;
  cr_assert_not(F.Table.hedgeDelay("i").has_value());
  for (int I = 1; I <= 160; ++I)
    F.answer("a", milliseconds(1 + I % 100));
  auto Delay = F.Table.hedgeDelay("i");
  cr_assert(Delay && *Delay > milliseconds(90) && *Delay < milliseconds(115));
}

Test(adaptive_policy, limits_concurrency_after_a_refusal) {
  table_fixture F;
  F.Set.resize(1);
  for (int I = 0; I < 5; ++I)
    F.Table.attemptStarted("a", F.Clock.now());
  // A refusal with 5 attempts open lowers the limit to 4 (0.8 * 5), so that 4
  // are too many for a further one and 3 are not.
  F.fail("a", attempt_failure::Refused);
  F.Clock.advance(seconds(1));
  F.Table.attemptEnded("a");
  cr_assert(F.choices().empty());
  F.Table.attemptEnded("a");
  cr_assert(F.choices()["a"] > 0);
}
