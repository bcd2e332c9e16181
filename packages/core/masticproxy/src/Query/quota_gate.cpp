#include "masticproxy/src/Query/quota_gate.h"

#include "masticproxy/src/Teams/team_directory.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

quota_gate::quota_gate(const quota_gate_settings &Settings)
    : Clock(*Settings.Clock),
      Holder(
          *Settings.Clock,
          [this](std::string_view Name) {
            return Teams ? Teams->quotaOf(Name) : std::nullopt;
          },
          Settings.Quotas, Settings.Vm, Settings.Incarnation) {}

quota_decision quota_gate::admit(query_arrived &Query, unsigned Priority) {
  quota_decision Decision = Holder.take(Query.Team, Query.Ticket, Priority);
  if (std::holds_alternative<quota_pending>(Decision)) {
    query_ticket Ticket = Query.Ticket;
    Waiting.insert_or_assign(Ticket, std::move(Query));
  }
  return Decision;
}

std::optional<query_arrived> quota_gate::drop(query_ticket Ticket) {
  auto Found = Waiting.find(Ticket);
  if (Found == Waiting.end())
    return std::nullopt;
  Holder.drop(Ticket);
  query_arrived Query = std::move(Found->second);
  Waiting.erase(Found);
  return Query;
}

std::vector<query_arrived> quota_gate::takeAll() {
  std::vector<query_arrived> All;
  for (auto &[Ticket, Query] : Waiting) {
    Holder.drop(Ticket);
    All.push_back(std::move(Query));
  }
  Waiting.clear();
  return All;
}

std::vector<quota_checked_query>
quota_gate::onAnswer(const std::optional<quota_answer> &Answer) {
  return take(Answer ? Holder.onAnswer(*Answer) : Holder.onNoAnswer());
}

std::vector<quota_checked_query> quota_gate::takeExpired() {
  return take(Holder.takeExpired());
}

std::optional<duration> quota_gate::untilWakeup() const {
  std::optional<time_point> Next = Holder.nextWakeup();
  if (!Next)
    return std::nullopt;
  return std::max(duration(0), *Next - Clock.now());
}

std::vector<quota_checked_query>
quota_gate::take(const std::vector<quota_resolution> &Resolutions) {
  std::vector<quota_checked_query> Checked;
  for (const quota_resolution &Resolution : Resolutions) {
    auto Found = Waiting.find(Resolution.Ticket);
    if (Found == Waiting.end())
      continue;
    Checked.push_back(
        {std::move(Found->second), Resolution.Granted, Resolution.RetryAfter});
    Waiting.erase(Found);
  }
  return Checked;
}
