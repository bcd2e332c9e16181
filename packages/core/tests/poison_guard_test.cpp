/// \file
/// Ends of upstreams that nobody announces: which queries are suspected, which
/// are held back, and what ends that.

#include "manual_clock.h"
#include "masticproxy/Poison"

#include <criterion/criterion.h>

#include <string>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr query_fingerprint Query = 1;
constexpr query_fingerprint Other = 2;

bool atU1(const upstream_attempt &Attempt) { return Attempt.Process == "u1"; }

/// \brief A guard with a clock, as a VM of the users' platform has it.
struct guard_fixture {
  /// Starts an attempt at \p Upstream a little later.
  std::uint64_t start(query_fingerprint Fingerprint,
                      const std::string &Upstream) {
    Clock.advance(milliseconds(1));
    Guard.started(++Attempt, Fingerprint, Upstream, "shard");
    return Attempt;
  }

  /// An attempt is lost at an upstream that then refuses connections.
  void loseAndRefuse(query_fingerprint Fingerprint,
                     const std::string &Upstream) {
    Guard.lost(start(Fingerprint, Upstream));
    Guard.refusedConnection(start(Other, Upstream));
  }

  manual_clock Clock;
  poison_guard Guard{Clock, /*ProbeFirst=*/false};
  std::uint64_t Attempt = 0;
};

} // namespace

// Guards against: an upstream that ends without closing the connection, or
// while its caller has left, is never taken for dead.
Test(poison_guard, a_refused_connection_implicates_the_attempts_lost_there) {
  guard_fixture F;
  F.loseAndRefuse(Query, "u1");
  cr_assert(not F.Guard.condemned(Query));
  cr_assert(not F.Guard.condemned(Other));
  F.loseAndRefuse(Query, "u2");
  cr_assert(F.Guard.condemned(Query));
}

Test(poison_guard, a_refused_connection_implicates_the_attempts_in_flight) {
  guard_fixture F;
  for (const char *Upstream : {"u1", "u2"}) {
    std::uint64_t Silent = F.start(Query, Upstream);
    F.Guard.refusedConnection(F.start(Other, Upstream));
    // The death is recorded once, although the attempt ends later.
    cr_assert(not F.Guard.upstreamDied(Silent));
  }
  cr_assert(F.Guard.condemned(Query));
}

// Guards against: requests that are all refused a connection implicate each
// other, although none of them ran.
Test(poison_guard, a_refused_connection_implicates_none_that_started_later) {
  guard_fixture F;
  std::uint64_t First = F.start(Other, "u1");
  F.start(Query, "u1");
  cr_assert(F.Guard.refusedConnection(First).empty());
}

Test(poison_guard, a_response_clears_the_attempts_lost_before) {
  guard_fixture F;
  F.Guard.lost(F.start(Query, "u1"));
  F.Guard.answered(F.start(Other, "u1"));
  cr_assert(F.Guard.refusedConnection(F.start(Other, "u1")).empty());
}

Test(poison_guard, an_upstream_that_starts_again_implicates_as_well) {
  guard_fixture F;
  F.Guard.lost(F.start(Query, "u1"));
  auto Notices = F.Guard.upstreamsDied(atU1);
  cr_assert(Notices.size() == 1 && Notices[0].Fingerprint == Query);
  cr_assert(not F.Guard.hasLost());
}

// Guards against: requests that were slow at upstreams that then left as
// planned are suspected, each at every VM.
Test(poison_guard, an_upstream_that_leaves_implicates_nothing) {
  guard_fixture F;
  F.Guard.lost(F.start(Query, "u1"));
  F.Guard.upstreamsLeft(atU1);
  cr_assert(not F.Guard.hasLost() && F.Guard.upstreamsDied(atU1).empty());
}

// Guards against: a request that was in flight at an upstream behind a network
// partition that resets connections stays suspect, or is condemned.
Test(poison_guard, a_common_cause_found_later_ends_a_suspicion) {
  guard_fixture F;
  time_point Before = F.Clock.now();
  F.Guard.upstreamDied(F.start(Query, "u1"));
  F.Guard.setEvidence(death_evidence::Unchecked);
  F.Guard.upstreamDied(F.start(Query, "u2"));
  cr_assert(not F.Guard.condemned(Query));
  F.Guard.setEvidence(death_evidence::Query);
  cr_assert(F.Guard.deathsHadCommonCause(Before).size() == 1);
  // It is no suspect any more, so several attempts of it may be in flight.
  F.start(Query, "u3");
  cr_assert(F.Guard.mayStart(Query, "u4"));
}

// Guards against: a request that is tried again and again during a partition
// that resets connections is condemned.
Test(poison_guard, deaths_after_a_common_cause_was_found_count_for_nothing) {
  guard_fixture F;
  F.Guard.setEvidence(death_evidence::Excused);
  for (const char *Upstream : {"u1", "u2", "u3", "u4"})
    cr_assert(not F.Guard.upstreamDied(F.start(Query, Upstream)));
  cr_assert(not F.Guard.condemned(Query));
}

Test(poison_guard, a_common_cause_excuses_no_earlier_death) {
  guard_fixture F;
  F.Guard.upstreamDied(F.start(Query, "u1"));
  F.Clock.advance(std::chrono::seconds(1));
  cr_assert(F.Guard.deathsHadCommonCause(F.Clock.now()).empty());
}

// Guards against: while the fate of a suspect's upstream is open, further
// attempts each end one more.
Test(poison_guard, a_suspect_is_held_back_while_its_attempt_is_lost) {
  guard_fixture F;
  F.loseAndRefuse(Query, "u1");
  cr_assert(F.Guard.mayStart(Query, "u2"));
  cr_assert(F.Guard.lost(F.start(Query, "u2")) == Query);
  cr_assert(F.Guard.condemned(Query) && not F.Guard.mayStart(Query, "u3"));
  F.Guard.refused(F.start(Other, "u2"));
  cr_assert(not F.Guard.condemned(Query) && F.Guard.mayStart(Query, "u3"));
}

Test(poison_guard, a_lost_attempt_is_forgotten_in_time) {
  guard_fixture F;
  F.Guard.lost(F.start(Query, "u1"));
  F.Clock.advance(poison_timing{}.LostFor);
  cr_assert(F.Guard.refusedConnection(F.start(Other, "u1")).empty());
}

// Guards against: a request that was in flight while many upstreams died
// together is condemned.
Test(poison_guard, deaths_with_another_cause_count_for_half) {
  guard_fixture F;
  for (const char *Upstream : {"u1", "u2", "u3"})
    F.Guard.upstreamDied(F.start(Other, Upstream));
  F.Guard.upstreamDied(F.start(Query, "u4"));
  F.Guard.upstreamDied(F.start(Query, "u5"));
  cr_assert(not F.Guard.condemned(Query));
  F.Guard.upstreamDied(F.start(Query, "u6"));
  cr_assert(F.Guard.condemned(Query));
}

Test(poison_guard, an_answer_ends_the_suspicion_once) {
  guard_fixture F;
  F.Guard.upstreamDied(F.start(Query, "u1"));
  cr_assert(F.Guard.answered(F.start(Query, "u2")) == suspicion_ended{Query});
  cr_assert(not F.Guard.answered(F.start(Query, "u2")));
}

// Guards against: a condemned query is tried again every few minutes for as
// long as its callers send it, and crashes an upstream each time.
Test(poison_guard, is_tried_three_times_at_most_in_the_day_after_its_third) {
  manual_clock Clock;
  poison_register Register(Clock, {});
  auto Crash = [&] {
    Clock.advance(milliseconds(1));
    upstream_attempt Attempt;
    Attempt.Fingerprint = Query;
    Attempt.Started = Clock.now();
    Clock.advance(milliseconds(1));
    Attempt.Ended = Clock.now();
    Register.upstreamDied(Attempt, death_evidence::Query);
  };
  Crash();
  Crash();
  unsigned Tries = 0;
  for (int Minute = 0; Minute < 24 * 60; ++Minute) {
    Clock.advance(std::chrono::minutes(1));
    if (Register.stateOf(Query) == poison_state::Condemned)
      continue;
    ++Tries;
    Crash();
  }
  // The first of them is the third crash.
  cr_assert(Tries <= 4, "%u tries", Tries);
}
