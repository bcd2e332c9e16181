#ifndef MASTICPROXY_TESTS_FORWARDING_SIMULATION_H
#define MASTICPROXY_TESTS_FORWARDING_SIMULATION_H

#include "manual_clock.h"
#include "masticproxy/Discovery"
#include "masticproxy/Query"

#include <string>
#include <variant>
#include <vector>

namespace masticproxy {

/// \brief A query engine with simulated upstreams and three routes: one merges
/// the results of several shards, and two forward the answer of a single
/// upstream, one of them at a more urgent priority.
struct forwarding_simulation {
  static constexpr std::chrono::milliseconds Wait{1000};
  static constexpr std::chrono::milliseconds Target{100};
  static constexpr std::chrono::milliseconds Margin{10};
  static constexpr unsigned Attempts = 2;

  explicit forwarding_simulation(unsigned Shards, unsigned Replicas = 3,
                                 double Coverage = 0.75,
                                 const engine_limits &Limits = limits())
      : Engine(Clock, Limits) {
    Configuration.Version = 1;
    addRoute("merged", "merged", answer_form::TopK, Coverage);
    addRoute("whole", "whole", answer_form::Whole, 1.0);
    Configuration.Profiles.back().Priority = 1;
    addRoute("urgent", "whole", answer_form::Whole, 1.0);
    index_layout Merged{"merged", {}};
    for (unsigned S = 0; S < Shards; ++S) {
      std::string Shard = "s" + std::to_string(S);
      Merged.Shards.push_back(Shard);
      Configuration.Services.push_back({Shard, "/health", 60});
      for (unsigned R = 0; R < Replicas; ++R)
        addUpstream(Shard, R);
    }
    Configuration.Services.push_back({"single", "/health", 60});
    for (unsigned R = 0; R < Replicas; ++R)
      addUpstream("single", R);
    Configuration.Indexes = {Merged, {"whole", {"single"}}};
    publish();
  }

  /// \returns the limits that most tests use.
  static engine_limits limits() {
    engine_limits Limits;
    Limits.DataCentre = "dc1";
    Limits.AnswerMargin = Margin;
    Limits.UpstreamConnections = 3;
    Limits.SuspectSlow = true;
    Limits.Tuning.HedgeQuantile = 0.5;
    Limits.Tuning.HedgeFactor = 2.0;
    Limits.Tuning.PerShard = {0.19, 2.4, 0.8, std::chrono::seconds(10)};
    return Limits;
  }

  /// \returns limits with the policy that uses the replicas in turn and sends
  /// no hedges.
  static engine_limits naiveLimits() {
    engine_limits Limits = limits();
    Limits.Policy = policy_name::Naive;
    Limits.SuspectSlow = false;
    return Limits;
  }

  /// Passes the current configuration and upstreams to the engine.
  void publish() {
    Engine.handle(catalogue_changed{buildCatalogue(Configuration, Upstreams)});
  }

  /// Has a caller send a request to \p Route, which names a path prefix.
  /// \returns the commands of the engine, as do the functions below.
  std::vector<engine_command> submit(query_ticket Ticket,
                                     const std::string &Route = "merged") {
    query_arrived Query;
    Query.Ticket = Ticket;
    Query.RequestId = "request-" + std::to_string(Ticket);
    auto Forwarded = std::make_shared<forwarded_request>();
    Forwarded->Method = "GET";
    Forwarded->Host = "host";
    Forwarded->Target = "/" + Route + "/" + std::to_string(Ticket);
    Query.Forwarded = std::move(Forwarded);
    return Engine.handle(std::move(Query));
  }

  /// Has the upstream of \p Attempt answer it.
  std::vector<engine_command> answer(const send_attempt &Attempt,
                                     unsigned Status = 200) {
    attempt_answered Answer;
    Answer.Attempt = Attempt.Attempt;
    Answer.Result = {Attempt.RequestId, Attempt.Snapshot, Attempt.Shard,
                     std::string(RecordBytes, 'x')};
    Answer.Result.Status = Status;
    Answer.Result.Signature = "signature of " + Attempt.Upstream;
    return Engine.handle(std::move(Answer));
  }

  /// Has \p Attempt end with \p Failure.
  std::vector<engine_command> fail(const send_attempt &Attempt,
                                   attempt_failure Failure) {
    return Engine.handle(attempt_failed{Attempt.Attempt, Failure});
  }

  /// Advances the clock by \p Span and has the engine check its timers each
  /// millisecond. \returns all commands of the engine.
  std::vector<engine_command> advanceTime(std::chrono::milliseconds Span) {
    std::vector<engine_command> All;
    for (std::chrono::milliseconds Past{0}; Past < Span;
         Past += std::chrono::milliseconds(1)) {
      Clock.advance(std::chrono::milliseconds(1));
      for (engine_command &Command : Engine.handle(timer_fired{}))
        All.push_back(std::move(Command));
    }
    return All;
  }

  manual_clock Clock;
  query_engine Engine;
  routing_configuration Configuration;
  std::vector<upstream_entry> Upstreams;

private:
  void addRoute(const std::string &Name, const std::string &Index,
                answer_form Form, double Coverage) {
    profile Profile;
    Profile.Name = Name;
    Profile.Wait = Wait;
    Profile.TargetLatency = Target;
    Profile.Coverage = Coverage;
    Profile.MayRepeat = true;
    Profile.Attempts = Attempts;
    Configuration.Profiles.push_back(Profile);
    route Route;
    Route.Name = Name;
    Route.Host = "host";
    Route.PathPrefix = "/" + Name + "/";
    Route.Profile = Name;
    Route.Indexes = {{Index, 1.0}};
    Route.Form = Form;
    Route.Records = 5;
    Configuration.Routes.push_back(Route);
  }

  void addUpstream(const std::string &Shard, unsigned Replica) {
    upstream_entry Entry;
    Entry.Instance = Shard + "-" + std::to_string(Replica);
    Entry.Shard = Shard;
    Entry.Address = Entry.Instance;
    Entry.DataCentre = "dc1";
    Entry.Slots = 3;
    Upstreams.push_back(Entry);
  }
};

/// \returns the attempts among \p Commands.
inline std::vector<send_attempt>
attemptsIn(const std::vector<engine_command> &Commands) {
  std::vector<send_attempt> Found;
  for (const engine_command &Command : Commands)
    if (auto *Attempt = std::get_if<send_attempt>(&Command))
      Found.push_back(*Attempt);
  return Found;
}

/// \returns the first outcome of the kind \p Outcome among \p Commands, or
/// null.
template <typename Outcome>
const Outcome *outcomeIn(const std::vector<engine_command> &Commands) {
  for (const engine_command &Command : Commands)
    if (auto *Delivered = std::get_if<deliver_outcome>(&Command))
      return std::get_if<Outcome>(&Delivered->Outcome);
  return nullptr;
}

} // namespace masticproxy

#endif
