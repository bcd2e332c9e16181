// The part of the query engine that keeps teams within their quotas.

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

bool query_engine::takeQuota(query_arrived &Event, unsigned Priority) {
  bool Limited = Quota && !Event.Team.empty() && !Event.HasToken;
  if (!Limited)
    return true;
  Event.ArrivedAt = Clock.now();
  quota_decision Decision = Quota->admit(Event, Priority);
  if (const auto *Exceeded = std::get_if<quota_exceeded>(&Decision))
    refuse(Event, over_quota{Exceeded->RetryAfter});
  return std::holds_alternative<quota_taken>(Decision);
}

void query_engine::resume(std::vector<quota_checked_query> Checked) {
  for (quota_checked_query &One : Checked) {
    if (!One.Granted) {
      refuse(One.Query, over_quota{One.RetryAfter});
      continue;
    }
    One.Query.HasToken = true;
    on(std::move(One.Query));
  }
}

void query_engine::on(const quota_answered &Event) {
  if (Quota)
    resume(Quota->onAnswer(Event.Answer));
}

void query_engine::on(const granter_changed &Event) {
  if (Quota)
    Quota->setGranter(Event.Term);
}

void query_engine::updateQuota() {
  if (!Quota)
    return;
  resume(Quota->takeExpired());
  if (std::optional<quota_ask> Ask = Quota->nextAsk())
    Commands.emplace_back(ask_quota{std::move(*Ask)});
}
