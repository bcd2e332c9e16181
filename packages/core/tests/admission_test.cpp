/// \file
/// Tests of admission: no profile starves another, no more requests are
/// admitted than there are slots, and those admitted under overload are
/// answered in time.

#include "manual_clock.h"
#include "masticproxy/Admission"
#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

using admit_rule = std::function<bool(admission &, const profile &)>;

bool byAdmission(admission &Admission, const profile &Profile) {
  return !Admission.admit(Profile);
}

/// Checks that a profile that uses fewer slots than are reserved for it is
/// never refused, and that no more requests are admitted than there are slots,
/// for any sequence of requests of three profiles.
bool sharesFairly(const admit_rule &Admit) {
  return rc::check([Admit] {
    auto Slots = static_cast<std::size_t>(*rc::gen::inRange(6, 60));
    admission Admission(Slots);
    std::vector<std::string> Names{"a", "b", "c"};
    Admission.setProfiles(Names);
    std::map<std::string, std::size_t> Running;
    manual_clock Clock;
    for (int StepsLeft = *rc::gen::inRange(0, 200); StepsLeft > 0;
         --StepsLeft) {
      // A flood of one profile among a few requests of the others.
      std::string Name =
          *rc::gen::element<std::string>("a", "a", "a", "b", "c");
      profile Profile{Name, milliseconds(1000), 1.0, true};
      bool EndsOne = Running[Name] > 0 && *rc::gen::inRange(0, 4) == 0;
      if (EndsOne) {
        Admission.onRequestFinished(Profile, Clock.now(), /*Answered=*/true,
                                    Clock.now());
        --Running[Name];
        continue;
      }
      bool Admitted = Admit(Admission, Profile);
      RC_ASSERT(Admitted || Running[Name] >= Admission.reservedPerProfile());
      Running[Name] += Admitted ? 1 : 0;
      RC_ASSERT(Running["a"] + Running["b"] + Running["c"] <= Slots);
    }
  });
}

/// The number of requests by outcome, for a server that processes them in order
/// of arrival.
struct server_result {
  int Admitted = 0;
  int Refused = 0;
  int InTime = 0;
};

/// A request that the server has not finished yet.
struct queued_request {
  time_point Start;
  bool IsCounted = false;
};

/// Number of requests sent before counting starts. An overload is only detected
/// once its first requests have waited.
constexpr int WarmUp = 4000;

/// Number of requests counted.
constexpr int Counted = 4000;

/// Sends requests at \p Rate times the capacity of a server that processes one
/// request per \p Service. \returns what became of them.
server_result simulateServer(const admit_rule &Admit, double Rate,
                             milliseconds Service) {
  constexpr milliseconds Wait{500};
  admission Admission(100000);
  std::vector<std::string> Names{"p"};
  Admission.setProfiles(Names);
  profile Profile{"p", Wait, 1.0, true};
  manual_clock Clock;
  auto Gap = std::chrono::duration_cast<duration>(Service / Rate);
  std::deque<queued_request> Queue;
  time_point FreeAt = Clock.now();
  server_result Result;
  auto ProcessUntil = [&](time_point Until) {
    while (!Queue.empty()) {
      auto [Start, IsCounted] = Queue.front();
      time_point End = std::max(Start, FreeAt) + Service;
      bool InTime = End <= Start + Wait;
      time_point EndsAt = InTime ? End : Start + Wait;
      if (EndsAt > Until)
        return;
      Queue.pop_front();
      // A request that cannot start before its deadline is not run; one that
      // ends late uses the server's time all the same.
      if (std::max(Start, FreeAt) < Start + Wait)
        FreeAt = End;
      Admission.onRequestFinished(Profile, Start, InTime, EndsAt);
      Result.InTime += InTime && IsCounted ? 1 : 0;
    }
  };
  for (int I = 0; I < WarmUp + Counted; ++I) {
    Clock.advance(Gap);
    ProcessUntil(Clock.now());
    bool Admitted = Admit(Admission, Profile);
    Result.Admitted += Admitted && I >= WarmUp ? 1 : 0;
    Result.Refused += Admitted ? 0 : 1;
    if (Admitted)
      Queue.push_back({Clock.now(), I >= WarmUp});
  }
  // The requests that were admitted last end after the last arrival.
  ProcessUntil(Clock.now() + Wait);
  return Result;
}

/// Checks that most admitted requests are answered in time at any overload, and
/// that the server is kept busy.
bool answersAdmittedInTime(const admit_rule &Admit) {
  return rc::check([Admit] {
    double Rate = *rc::gen::inRange(15, 100) / 10.0;
    milliseconds Service(*rc::gen::inRange(2, 20));
    server_result Result = simulateServer(Admit, Rate, Service);
    RC_ASSERT(Result.InTime > Result.Admitted * 8 / 10);
    // The server is kept busy: the requests arrive over Counted / Rate service
    // times.
    RC_ASSERT(Result.InTime > Counted / Rate * 0.6);
  });
}

} // namespace

Test(admission, reserves_slots_for_each_profile) {
  cr_assert(sharesFairly(byAdmission));
}

Test(admission, detects_a_bound_common_to_all_profiles) {
  // A mutant that ignores profiles and admits in order of arrival.
  cr_assert_not(sharesFairly([](admission &Admission, profile Profile) {
    Profile.Name = "a";
    return !Admission.admit(Profile);
  }));
}

Test(admission, answers_admitted_requests_in_time_under_overload) {
  cr_assert(answersAdmittedInTime(byAdmission));
}

// A mutant that admits all requests.
Test(admission, detects_a_queue_without_early_refusal) {
  cr_assert_not(
      answersAdmittedInTime([](admission &, const profile &) { return true; }));
}

Test(admission, refuses_nothing_below_capacity) {
  cr_assert(rc::check([] {
    double Rate = *rc::gen::inRange(1, 8) / 10.0;
    milliseconds Service(*rc::gen::inRange(2, 20));
    RC_ASSERT(simulateServer(byAdmission, Rate, Service).Refused == 0);
  }));
}

Test(admission, admits_a_burst_after_quick_answers) {
  admission Admission(1000);
  manual_clock Clock;
  profile Profile{"p", milliseconds(1000), 1.0, true};
  Admission.admit(Profile);
  Clock.advance(milliseconds(10));
  Admission.onRequestFinished(Profile, Clock.now() - milliseconds(10), true,
                              Clock.now());
  for (int I = 0; I < 300; ++I)
    cr_assert(!Admission.admit(Profile));
}
