#include "masticproxy/src/Daemon/attempt_log.h"

#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Query/engine_command.h"

using namespace masticproxy;

std::string_view masticproxy::failureName(const attempt_failed &Event) {
  if (Event.UpstreamDied)
    return "upstream_died";
  switch (Event.Failure) {
  case attempt_failure::NotSent:
    return "not_sent";
  case attempt_failure::Refused:
    return "refused";
  case attempt_failure::Draining:
    return "draining";
  case attempt_failure::SnapshotGone:
    return "snapshot_gone";
  case attempt_failure::Unknown:
    return "unknown";
  case attempt_failure::Misdirected:
    return "misdirected";
  case attempt_failure::Failed:
    return "failed";
  }
  return "unknown";
}

void attempt_log::sent(const send_attempt &Command) {
  begin("attempt_sent", Command.RequestId,
        {Command.Attempt, Command.Shard, Command.Upstream,
         std::string(toString(Command.Kind)), /*End=*/"", /*Profile=*/""});
}

void attempt_log::sent(const send_relay &Command) {
  const relay_request &Request = Command.Request;
  begin("relay_sent", Request.RequestId,
        {Request.Attempt, Request.Shard, Command.Vm, "relay", /*End=*/"",
         /*Profile=*/""});
}

void attempt_log::begin(std::string_view Kind, std::string RequestId,
                        event_facts Facts) {
  if (Events.keeps())
    Events.add(Kind, RequestId, Facts.Shard + " to " + Facts.Upstream, Facts);
  attempt_id Id = Facts.Attempt;
  Open.insert_or_assign(
      Id, open_attempt{std::move(RequestId), std::move(Facts), Clock.now()});
}

void attempt_log::cancelled(attempt_id Attempt) {
  end(Attempt, "attempt_cancelled", "cancelled");
}

std::optional<ended_attempt> attempt_log::ended(const engine_event &Event) {
  if (auto *Answered = std::get_if<attempt_answered>(&Event))
    return end(Answered->Attempt, "attempt_answered", "answered");
  if (auto *Failed = std::get_if<attempt_failed>(&Event))
    return end(Failed->Attempt, "attempt_failed", failureName(*Failed));
  if (auto *Relay = std::get_if<relay_failed>(&Event))
    return end(Relay->Attempt, "attempt_failed", toString(Relay->End));
  return std::nullopt;
}

std::optional<ended_attempt> attempt_log::end(attempt_id Attempt,
                                              std::string_view Kind,
                                              std::string_view End) {
  auto Found = Open.find(Attempt);
  if (Found == Open.end())
    return std::nullopt;
  open_attempt Ended = std::move(Found->second);
  Open.erase(Found);
  Ended.Facts.End = End;
  if (Events.keeps())
    Events.add(Kind, Ended.RequestId,
               Ended.Facts.End + ", " + Ended.Facts.Shard + " at " +
                   Ended.Facts.Upstream,
               Ended.Facts);
  return ended_attempt{std::move(Ended.RequestId), std::move(Ended.Facts),
                       Clock.now() - Ended.SentAt};
}
