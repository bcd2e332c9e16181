/// \file
/// The account that the engine delivers with the outcome of each request, for
/// the reports on its profile.

#include "manual_clock.h"
#include "masticproxy/Query"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Wait{100};
constexpr milliseconds Took{30};

/// An engine with one index of two shards of two replicas.
struct account_fixture {
  account_fixture() { setVersion(1); }

  void setVersion(std::uint64_t Version) {
    auto Map = std::make_shared<index_snapshot>();
    Map->Id = "s1";
    Map->Shards = {{"0", {{"a", "dc1", 1, 4}, {"b", "dc1", 1, 4}}},
                   {"1", {{"c", "dc1", 1, 4}, {"d", "dc1", 1, 4}}}};
    auto Catalogue = std::make_shared<query_catalogue>();
    Catalogue->setProfile({"p", Wait, 1.0, true, Version});
    Catalogue->setIndex({"i", Map});
    handle(catalogue_changed{Catalogue});
  }

  void submit(const std::string &Profile, const std::string &Index) {
    handle(query_arrived{1, "r", Profile, Index, "{}"});
  }

  void handle(engine_event Event) {
    for (engine_command &Command : Engine.handle(std::move(Event))) {
      if (auto *Attempt = std::get_if<send_attempt>(&Command))
        Attempts.push_back(*Attempt);
      if (auto *Delivered = std::get_if<deliver_outcome>(&Command))
        Account = Delivered->Account;
    }
  }

  void answer(const send_attempt &Attempt) {
    handle(attempt_answered{
        Attempt.Attempt,
        {Attempt.RequestId, Attempt.Snapshot, Attempt.Shard, "body"}});
  }

  manual_clock Clock;
  query_engine Engine{Clock, {16, "dc1"}};
  std::vector<send_attempt> Attempts;
  std::optional<query_account> Account;
};

} // namespace

Test(query_account, reports_the_profile_version_at_admission) {
  account_fixture F;
  F.submit("p", "i");
  F.setVersion(2);
  F.Clock.advance(Took);
  cr_assert(F.Attempts.size() == 2);
  F.handle(attempt_failed{F.Attempts[0].Attempt, attempt_failure::Unknown});
  cr_assert(F.Attempts.size() == 3);
  F.answer(F.Attempts[1]);
  F.answer(F.Attempts[2]);
  cr_assert(F.Account && F.Account->Admitted);
  cr_assert(F.Account->Profile == "p" && F.Account->Version == 1);
  cr_assert(F.Account->Took == Took);
  cr_assert(F.Account->Shards == 2 && F.Account->Attempts == 3);
}

Test(query_account, reports_only_the_version_of_a_request_not_admitted) {
  account_fixture F;
  F.submit("p", "none");
  cr_assert(F.Account && !F.Account->Admitted);
  cr_assert(F.Account->Profile == "p" && F.Account->Version == 1);
  cr_assert(F.Account->Shards == 0 && F.Account->Attempts == 0);
}

Test(query_account, reports_no_profile_if_it_is_unknown) {
  account_fixture F;
  F.submit("none", "i");
  cr_assert(F.Account && F.Account->Profile.empty());
}
