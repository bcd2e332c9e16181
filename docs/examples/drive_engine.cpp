/// \file
/// Drives the query engine by hand: events in, commands out.

#include "masticproxy/Query"

#include <iostream>

using namespace masticproxy;

namespace {

/// \brief A clock that stands still.
class still_clock : public clock {
public:
  time_point now() const override { return {}; }
  std::chrono::microseconds wallTime() const override { return {}; }
};

/// An index of two shards with one replica each, and one profile.
std::shared_ptr<const query_catalogue> makeCatalogue() {
  auto Snapshot = std::make_shared<index_snapshot>();
  Snapshot->Id = "s1";
  Snapshot->Shards = {{"0", {{"127.0.0.1:9000", "dc1", 3, 65}}},
                      {"1", {{"127.0.0.1:9001", "dc1", 3, 65}}}};
  auto Catalogue = std::make_shared<query_catalogue>();
  Catalogue->setIndex({"orders", Snapshot});
  Catalogue->setProfile({"lookup", std::chrono::seconds(1), 1.0, true});
  return Catalogue;
}

/// Prints each command; \returns the attempts among them.
std::vector<send_attempt> print(const std::vector<engine_command> &Commands) {
  std::vector<send_attempt> Attempts;
  for (const engine_command &Command : Commands) {
    if (auto *Attempt = std::get_if<send_attempt>(&Command)) {
      std::cout << "ask " << Attempt->Upstream << " for shard "
                << Attempt->Shard << "\n";
      Attempts.push_back(*Attempt);
    } else if (auto *Delivery = std::get_if<deliver_outcome>(&Command)) {
      const auto &Answer = std::get<answered>(Delivery->Outcome);
      std::cout << "answer " << Delivery->RequestId << " with "
                << Answer.Coverage.Answered << " of " << Answer.Coverage.Asked
                << " shards\n";
    }
  }
  return Attempts;
}

} // namespace

int main() {
  still_clock Clock;
  query_engine Engine(Clock, {/*Queries=*/16, "dc1"});
  Engine.handle(catalogue_changed{makeCatalogue()});
  std::vector<send_attempt> Attempts =
      print(Engine.handle(query_arrived{1, "r-1", "lookup", "orders", "{}"}));
  for (const send_attempt &Attempt : Attempts)
    print(Engine.handle(attempt_answered{
        Attempt.Attempt,
        {Attempt.RequestId, Attempt.Snapshot, Attempt.Shard, "{}"}}));
  return Engine.running() == 0 ? 0 : 1;
}
