#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/engine_thread.h"
#include "masticproxy/src/Daemon/quota_service.h"
#include "masticproxy/src/Drain/drain_timing.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Poison/poison_timing.h"
#include "masticproxy/src/Teams/team_directory.h"

using namespace masticproxy;

void engine_thread::carryOut(const claim_wanted &Command) {
  Events.add("claim_wanted", Command.RequestId, "");
  if (Claims->push(Command))
    return;
  Counters.get("claim_ring_full_total").add();
  Loop.post([this, Command] {
    handle(
        claim_decision{Command.Ticket, Command.RequestId, claim_unconfirmed{}});
  });
}

void engine_thread::carryOut(const ask_quota &Command) {
  Quotas->ask(Command.Ask, [this](std::optional<quota_answer> Answer) {
    handle(quota_answered{std::move(Answer)});
  });
}

void engine_thread::setGranter(std::uint64_t Term) {
  granter_changed Event;
  if (Term > 0)
    Event.Term = Term;
  handle(Event);
}

std::optional<quota_limit> engine_thread::quotaOf(std::string_view Name) const {
  return Teams ? Teams->quotaOf(Name) : std::nullopt;
}

void engine_thread::carryOut(const claim_unused &Command) {
  // A claim that stays is swept once its request id is too old.
  if (!Claims->push(Command))
    Counters.get("claim_ring_full_total").add();
}

void engine_thread::carryOut(const poison_notice &Command) {
  bool Condemned = Command.Rounds >= poison_timing::RoundsToCondemn;
  std::string_view Held = Condemned ? "condemned" : "suspected";
  Counters.get("poison_total", "verdict=\"" + std::string(Held) + "\"").add();
  Events.add("poison_" + std::string(Held), "",
             "query " + std::to_string(Command.Fingerprint) + " at shard " +
                 Command.Shard);
  logWarning("event=query_" + std::string(Held) + " query=" +
             std::to_string(Command.Fingerprint) + " shard=" + Command.Shard +
             " rounds=" + std::to_string(Command.Rounds) + " process=" +
             (Command.Processes.empty() ? "-" : Command.Processes.back()));
  // A lost notice costs the other VMs one more death each at most.
  if (!Control->push(Command))
    Counters.get("notice_ring_full_total").add();
}

void engine_thread::carryOut(const suspicion_ended &Command) {
  Counters.get("poison_total", "verdict=\"cleared\"").add();
  logInfo("event=query_cleared query=" + std::to_string(Command.Fingerprint));
  if (!Control->push(Command))
    Counters.get("notice_ring_full_total").add();
}

void engine_thread::carryOut(const drain_notice &Command) {
  Counters.get("drain_notices_total", "direction=\"sent\"").add();
  // An older one repeats what stands in the time line already.
  if (Command.Age < drain_timing{}.NoticeInterval)
    Events.add("upstream_draining", "", Command.Upstream);
  // A lost notice is made up for by the next one.
  if (!Control->push(Command))
    Counters.get("notice_ring_full_total").add();
}
