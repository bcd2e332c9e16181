#include "masticproxy/src/Quota/quota_holder.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Pause for callers while no granter is known or it does not answer.
constexpr milliseconds NoAnswerPause{100};

/// Longest time in which a VM refuses by itself: what the granter has for a
/// team can change before.
constexpr milliseconds LongestRefusal{500};

/// A share is renewed when less than this part of its validity is left.
constexpr double RenewBelow = 2.0 / 3.0;

/// Requests that have to be expected within a share's validity for it to be
/// renewed.
constexpr double LeastRequests = 0.5;

} // namespace

quota_holder::quota_holder(const clock &Clock, quota_limits Limits,
                           quota_settings Settings, std::string Vm,
                           std::uint64_t Incarnation)
    : Clock(Clock), Limits(std::move(Limits)), Settings(Settings),
      Vm(std::move(Vm)), Incarnation(Incarnation) {}

quota_decision quota_holder::take(std::string_view Team, std::uint64_t Ticket,
                                  unsigned Priority) {
  std::optional<quota_limit> Limit = Limits(Team);
  if (!Limit || Limit->RatePerSecond <= 0)
    return quota_taken{};
  time_point Now = Clock.now();
  team_state &State = stateOf(Team);
  State.Demand.add(Now);
  refill(State, *Limit);
  if (State.Waiting.empty() && State.Bucket.take(1) == 1) {
    State.Used.add(1, Now);
    return quota_taken{};
  }
  bool Refused = Now < State.RefusedUntil && Priority >= State.RefusedPriority;
  if (!Term || Refused)
    return quota_exceeded{retryAfter(State, *Limit)};
  auto Position = std::upper_bound(
      State.Waiting.begin() + static_cast<std::ptrdiff_t>(State.Asked),
      State.Waiting.end(), Priority,
      [](unsigned P, const waiting_request &R) { return P < R.Priority; });
  State.Waiting.insert(Position, {Ticket, Now, Priority});
  return quota_pending{};
}

void quota_holder::drop(std::uint64_t Ticket) {
  for (auto &[Team, State] : Teams) {
    for (std::size_t I = 0; I < State.Waiting.size(); ++I) {
      if (State.Waiting[I].Ticket != Ticket)
        continue;
      return removeWaiting(State, I);
    }
  }
}

void quota_holder::setGranter(std::optional<std::uint64_t> NewTerm) {
  if (Term == NewTerm)
    return;
  Term = NewTerm;
  for (auto &[Team, State] : Teams)
    State.GivesBack = false;
}

std::optional<quota_ask> quota_holder::nextAsk() {
  time_point Now = Clock.now();
  if (!Term || SentAt || Now < AsksFrom)
    return std::nullopt;
  quota_ask Ask{Vm, Incarnation, Sequence + 1, *Term, {}};
  for (auto &[Team, State] : Teams) {
    std::optional<time_point> Renewal = renewsAt(State);
    bool Needed = !State.Waiting.empty() || State.GivesBack ||
                  (Renewal && *Renewal <= Now);
    if (!Needed)
      continue;
    State.Asked = State.Waiting.size();
    bool Holds = Now < State.ShareUntil;
    auto Left =
        std::chrono::duration_cast<milliseconds>(State.ShareUntil - Now);
    Ask.Entries.push_back({Team, wantedOf(State), State.Demand.perSecond(Now),
                           Holds ? State.Share : 0.0,
                           Holds ? Left : milliseconds(0),
                           State.Used.byAge(Now)});
  }
  if (Ask.Entries.empty())
    return std::nullopt;
  ++Sequence;
  SentAt = Now;
  SentTerm = *Term;
  return Ask;
}

std::vector<quota_resolution>
quota_holder::onAnswer(const quota_answer &Answer) {
  std::vector<quota_resolution> Resolved;
  if (!SentAt)
    return Resolved;
  if (Answer.Term != SentTerm) {
    // Another granter has begun: the requests are asked for again, in the order
    // of those that came since.
    SentAt.reset();
    for (auto &[Team, State] : Teams) {
      State.Asked = 0;
      std::stable_sort(State.Waiting.begin(), State.Waiting.end(),
                       [](const waiting_request &A, const waiting_request &B) {
                         return A.Priority < B.Priority;
                       });
    }
    return Resolved;
  }
  for (const quota_answer_entry &Entry : Answer.Entries) {
    auto Found = Teams.find(Entry.Team);
    if (Found != Teams.end())
      apply(Found->second, Entry, Resolved);
  }
  std::vector<quota_resolution> Unanswered = endAsked();
  Resolved.insert(Resolved.end(), Unanswered.begin(), Unanswered.end());
  return Resolved;
}

std::vector<quota_resolution> quota_holder::onNoAnswer() {
  // A share that is due for renewal would be asked for at once, again and
  // again.
  AsksFrom = Clock.now() + NoAnswerPause;
  return endAsked();
}

std::vector<quota_resolution> quota_holder::endAsked() {
  std::vector<quota_resolution> Resolved;
  SentAt.reset();
  for (auto &[Team, State] : Teams)
    while (State.Asked > 0)
      endWait(Team, State, 0, Resolved);
  dropUnused();
  return Resolved;
}

std::vector<quota_resolution> quota_holder::takeExpired() {
  std::vector<quota_resolution> Resolved;
  time_point Latest = Clock.now() - Settings.LongestWait;
  for (auto &[Team, State] : Teams)
    for (std::size_t I = 0; I < State.Waiting.size();) {
      bool Expired = !Term || State.Waiting[I].Since <= Latest;
      if (Expired)
        endWait(Team, State, I, Resolved);
      else
        ++I;
    }
  return Resolved;
}

void quota_holder::endWait(const std::string &Team, team_state &State,
                           std::size_t Index,
                           std::vector<quota_resolution> &Resolved) {
  if (std::optional<quota_limit> Limit = Limits(Team))
    refill(State, *Limit);
  if (State.Bucket.take(1) == 0)
    return refuse(State, Index, NoAnswerPause, Resolved);
  State.Used.add(1, Clock.now());
  grant(State, Index, Resolved);
}

std::optional<time_point> quota_holder::nextWakeup() const {
  std::optional<time_point> Next;
  auto Include = [&Next](time_point Time) {
    Next = std::min(Next.value_or(Time), Time);
  };
  bool Paused = !SentAt && Clock.now() < AsksFrom;
  for (const auto &[Team, State] : Teams) {
    for (const waiting_request &Request : State.Waiting)
      Include(Request.Since + Settings.LongestWait);
    if (Paused && !State.Waiting.empty())
      Include(AsksFrom);
    if (std::optional<time_point> Renewal = renewsAt(State))
      Include(std::max(*Renewal, AsksFrom));
    if (State.GivesBack && Term && !SentAt)
      Include(std::max(Clock.now(), AsksFrom));
  }
  return Next;
}

double quota_holder::share(std::string_view Team) const {
  auto Found = Teams.find(Team);
  bool Holds = Found != Teams.end() && Clock.now() < Found->second.ShareUntil;
  return Holds ? Found->second.Share : 0;
}

quota_holder::team_state &quota_holder::stateOf(std::string_view Team) {
  auto Found = Teams.find(Team);
  if (Found == Teams.end())
    Found = Teams
                .emplace(std::string(Team),
                         team_state(Clock.now(), Settings.Window))
                .first;
  return Found->second;
}

double quota_holder::rateOfShare(const team_state &State,
                                 const quota_limit &Limit) const {
  bool Holds = Clock.now() < State.ShareUntil;
  return Holds ? State.Share * Limit.RatePerSecond : 0;
}

void quota_holder::refill(team_state &State, const quota_limit &Limit) {
  time_point Now = Clock.now();
  if (Now < State.ShareUntil)
    return State.Bucket.refill(
        rateOfShare(State, Limit),
        quota_settings::shareCapacity(State.Share, Limit), Now);
  // What was saved up ends with the share.
  State.Share = 0;
  State.Bucket = refilled_bucket(0, Now);
}

milliseconds quota_holder::retryAfter(const team_state &State,
                                      const quota_limit &Limit) const {
  time_point Now = Clock.now();
  duration Pool = Term ? std::max(duration(0), State.RefusedUntil - Now)
                       : duration(NoAnswerPause);
  duration Own = State.Bucket.untilNext(rateOfShare(State, Limit));
  return std::chrono::ceil<milliseconds>(std::min(Pool, Own));
}

std::optional<time_point>
quota_holder::renewsAt(const team_state &State) const {
  time_point Now = Clock.now();
  std::chrono::duration<double> Validity = Settings.ShareFor;
  bool Used = State.Demand.perSecond(Now) * Validity.count() >= LeastRequests;
  bool Holds = State.Share > 0 && Now < State.ShareUntil;
  if (!Term || SentAt || !Used || !Holds)
    return std::nullopt;
  return State.ShareUntil -
         std::chrono::duration_cast<duration>(Validity * RenewBelow);
}

void quota_holder::apply(team_state &State, const quota_answer_entry &Entry,
                         std::vector<quota_resolution> &Resolved) {
  time_point Now = Clock.now();
  std::optional<quota_limit> Limit = Limits(Entry.Team);
  if (Limit)
    refill(State, *Limit);
  bool Begins = State.Share <= 0 && Entry.Share > 0;
  // The last message said that it still holds the share.
  State.GivesBack = State.Share > 0 && Entry.Share <= 0;
  if (Begins)
    State.Bucket = refilled_bucket(1, Now);
  State.Share = std::clamp(Entry.Share, 0.0, 1.0);
  State.ShareUntil = *SentAt + std::min(Entry.ShareFor, Settings.ShareFor);
  unsigned Granted = Entry.Granted;
  while (State.Asked > 0 && (Granted > 0 || State.Bucket.take(1) == 1)) {
    if (Granted > 0)
      --Granted;
    else
      State.Used.add(1, Now);
    grant(State, 0, Resolved);
  }
  if (State.Asked > 0) {
    State.RefusedUntil = Now + std::min(Entry.RetryAfter, LongestRefusal);
    State.RefusedPriority = State.Waiting.front().Priority;
  }
  while (State.Asked > 0)
    refuse(State, 0, Entry.RetryAfter, Resolved);
}

void quota_holder::grant(team_state &State, std::size_t Index,
                         std::vector<quota_resolution> &Resolved) {
  Resolved.push_back({State.Waiting[Index].Ticket, true, milliseconds(0)});
  removeWaiting(State, Index);
}

void quota_holder::refuse(team_state &State, std::size_t Index,
                          milliseconds RetryAfter,
                          std::vector<quota_resolution> &Resolved) {
  Resolved.push_back({State.Waiting[Index].Ticket, false, RetryAfter});
  removeWaiting(State, Index);
}

void quota_holder::removeWaiting(team_state &State, std::size_t Index) {
  State.Waiting.erase(State.Waiting.begin() +
                      static_cast<std::ptrdiff_t>(Index));
  State.Asked -= Index < State.Asked ? 1 : 0;
}

std::vector<quota_wanted> quota_holder::wantedOf(const team_state &State) {
  std::vector<quota_wanted> Wanted;
  for (const waiting_request &Request : State.Waiting) {
    if (Wanted.empty() || Wanted.back().Priority != Request.Priority)
      Wanted.push_back({Request.Priority, 0});
    ++Wanted.back().Count;
  }
  return Wanted;
}

void quota_holder::dropUnused() {
  time_point Now = Clock.now();
  std::chrono::duration<double> Validity = Settings.ShareFor;
  std::erase_if(Teams, [&](const auto &Entry) {
    const team_state &State = Entry.second;
    return State.Waiting.empty() && !State.GivesBack &&
           State.ShareUntil <= Now && State.RefusedUntil <= Now &&
           State.Demand.perSecond(Now) * Validity.count() < LeastRequests;
  });
}
