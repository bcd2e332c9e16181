#include "masticproxy/src/Quota/quota_granter.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Pause for requests of a team that this VM does not know yet.
constexpr milliseconds UnknownTeamPause{100};

/// Requests in a window below which a VM gets no share: what it would reserve
/// is far more than the VM uses, as so few requests come by chance.
constexpr double LeastInWindow = 5;

/// Part of what a team may get unlisted from which on the record lists it. The
/// rest has to last until the record is written.
constexpr double ListedFrom = 0.9;

/// Part of what a team may get unlisted that shares may reserve until it is
/// listed.
constexpr double SharedUnlisted = 0.75;

/// Time for which the record lists a team after its last use of that much. Each
/// change of the record costs all VMs a check of the store.
constexpr std::chrono::seconds ListedFor{60};

/// Most of a pool that is kept for urgent requests, of which some were refused.
/// Callers repeat those, so that there are fewer than were refused.
constexpr double KeptForUrgent = 0.1;

/// Shortest time between two changes of the record.
constexpr milliseconds ClaimsPause{500};

unsigned countOf(const std::vector<quota_wanted> &Wanted) {
  unsigned Count = 0;
  for (const quota_wanted &Class : Wanted)
    Count += Class.Count;
  return Count;
}

} // namespace

quota_granter::quota_granter(const clock &Clock, quota_limits Limits,
                             quota_settings Settings, std::uint64_t Term,
                             std::optional<granter_claims> Predecessor)
    : Clock(Clock), Limits(std::move(Limits)), Settings(Settings), Term(Term),
      Predecessor(std::move(Predecessor)), Began(Clock.now()) {}

quota_answer quota_granter::answer(const quota_ask &Ask) {
  quota_answer Answer{Term, {}};
  if (Ask.Term != Term || !isNewest(Ask))
    return Answer;
  Answer.Entries.reserve(Ask.Entries.size());
  for (const quota_ask_entry &Entry : Ask.Entries)
    Answer.Entries.push_back(answerEntry(Ask, Entry));
  return Answer;
}

bool quota_granter::isNewest(const quota_ask &Ask) {
  // An earlier ask that comes late states an outdated share.
  std::uint64_t &Newest = Sequences[{Ask.Vm, Ask.Incarnation}];
  if (Ask.Sequence <= Newest)
    return false;
  Newest = Ask.Sequence;
  return true;
}

quota_answer_entry quota_granter::answerEntry(const quota_ask &Ask,
                                              const quota_ask_entry &Entry) {
  quota_answer_entry Result;
  Result.Team = Entry.Team;
  std::optional<quota_limit> Limit = Limits(Entry.Team);
  if (!Limit) {
    Result.RetryAfter = UnknownTeamPause;
    return Result;
  }
  if (Limit->RatePerSecond <= 0) {
    Result.Granted = countOf(Entry.Wanted);
    return Result;
  }
  time_point Now = Clock.now();
  team_state &State = stateOf(Entry.Team);
  dropEnded(State);
  if (Entry.Share <= 0)
    takeBack(State, Ask, Entry);
  if (holding *Holding = recordHolding(State, Ask, Entry, *Limit)) {
    grantShare(State, *Holding, Entry, *Limit);
    Result.Share = Holding->Granted.at(Now);
    if (Result.Share > 0)
      Result.ShareFor = std::chrono::duration_cast<milliseconds>(
          Holding->Granted.Until - Now);
  }
  grantTokens(State, Entry.Wanted, *Limit, Result);
  return Result;
}

void quota_granter::takeBack(team_state &State, const quota_ask &Ask,
                             const quota_ask_entry &Entry) const {
  std::size_t Ended = std::erase_if(
      State.Holdings, [&](const holding &H) { return H.isOf(Ask); });
  if (Ended == 0)
    return;
  time_point Now = Clock.now();
  duration Part = duration(Settings.Window) / ReportedParts;
  for (std::size_t Age = 0; Age < Entry.Used.size(); ++Age) {
    // The newest part has just begun, so that the next one may be as new.
    auto Parts = static_cast<std::int64_t>(Age) - 1;
    State.Given.add(Entry.Used[Age],
                    Now - Part * std::max<std::int64_t>(0, Parts));
  }
}

void quota_granter::grantTokens(team_state &State,
                                const std::vector<quota_wanted> &Wanted,
                                const quota_limit &Limit,
                                quota_answer_entry &Result) {
  time_point Now = Clock.now();
  double Most = mostInWindow(Result.Team, Limit);
  double Shares = mostOfShares(State, Result.Team, Limit);
  double Others = std::max(Shares, mostOfPredecessor(Result.Team, Limit));
  double Pool = std::max(0.0, Most - Others);
  unsigned All = countOf(Wanted);
  double InUse = Shares + static_cast<double>(State.Given.sum(Now)) + All;
  if (InUse > ListedFrom * Settings.mostUnlisted(Limit))
    State.FullUntil = Now + ListedFor;
  double Kept = grantByPriority(State, Wanted, Pool, Result);
  if (Result.Granted == All)
    return;
  // What a new granter reserves, and what it may not give yet, says nothing of
  // the team.
  bool Tight = !inFirstWindow() && !adopting(Result.Team) &&
               Most >= Settings.mostInWindow(Limit);
  if (Tight)
    State.TightUntil = Now + Settings.ShareFor;
  duration Wait =
      State.Given.untilBelow(static_cast<std::uint64_t>(Pool - Kept), Now);
  if (inFirstWindow())
    Wait = std::min(Wait, Began + Settings.Window - Now);
  Result.RetryAfter = std::chrono::ceil<milliseconds>(Wait);
}

double quota_granter::grantByPriority(team_state &State,
                                      const std::vector<quota_wanted> &Wanted,
                                      double Pool,
                                      quota_answer_entry &Result) const {
  time_point Now = Clock.now();
  double Kept = 0;
  for (const quota_wanted &Class : Wanted) {
    Kept = 0;
    for (auto &[Priority, Refused] : State.Refused)
      if (Priority < Class.Priority)
        Kept += static_cast<double>(Refused.sum(Now));
    Kept = std::min(Kept, KeptForUrgent * Pool);
    double Given = static_cast<double>(State.Given.sum(Now));
    double Room = std::floor(std::max(0.0, Pool - Kept - Given));
    unsigned Granted =
        Room >= Class.Count ? Class.Count : static_cast<unsigned>(Room);
    State.Given.add(Granted, Now);
    Result.Granted += Granted;
    if (Granted == Class.Count)
      continue;
    auto Ledger = State.Refused.try_emplace(Class.Priority, Settings.Window);
    Ledger.first->second.add(Class.Count - Granted, Now);
  }
  return Kept;
}

double quota_granter::mostInWindow(const std::string &Team,
                                   const quota_limit &Limit) const {
  bool Listed = Recorded.mayBeFull(Team) && Taken.mayBeFull(Team);
  return Listed ? Settings.mostInWindow(Limit) : Settings.mostUnlisted(Limit);
}

double quota_granter::mostOfPredecessor(const std::string &Team,
                                        const quota_limit &Limit) const {
  if (!inFirstWindow())
    return 0;
  if (!Predecessor->mayBeFull(Team))
    return Settings.mostUnlisted(Limit);
  return Settings.mostInWindow(Limit) - Settings.firstPool(Limit);
}

bool quota_granter::mayShare(const std::string &Team) const {
  return !inFirstWindow() && !adopting(Team) && Recorded.mayBeShared(Team) &&
         Taken.mayBeShared(Team);
}

std::optional<granter_claims> quota_granter::takeClaims() {
  time_point Now = Clock.now();
  if (Now < NextClaims || Taken != Recorded)
    return std::nullopt;
  NextClaims = Now + ClaimsPause;
  granter_claims Claims = claims();
  if (Claims == Recorded)
    return std::nullopt;
  Taken = Claims;
  return Claims;
}

void quota_granter::onRecord(const granter_claims &Claims) {
  if (Claims == Taken)
    Recorded = Taken;
}

granter_claims quota_granter::claims() const {
  time_point Now = Clock.now();
  granter_claims Claims;
  Claims.Settled = !inFirstWindow();
  // Shares of earlier granters may have been in use until now.
  time_point SharesEnd = Began + Settings.ShareFor + Settings.Window;
  if (Predecessor && Now < SharesEnd) {
    Claims.Settled = Claims.Settled && Predecessor->Settled;
    Claims.SharedTeams = Predecessor->SharedTeams;
  }
  for (const auto &[Team, State] : Teams) {
    if (Now < State.FullUntil)
      Claims.FullTeams.insert(Team);
    bool Held = std::any_of(
        State.Holdings.begin(), State.Holdings.end(),
        [&](const holding &H) { return Now < H.until() + Settings.Window; });
    if (Held || Now < State.SharedUntil)
      Claims.SharedTeams.insert(Team);
  }
  return Claims;
}

quota_granter::team_state &quota_granter::stateOf(const std::string &Team) {
  auto Found = Teams.find(Team);
  if (Found == Teams.end())
    Found = Teams.emplace(Team, team_state{{}, window_ledger(Settings.Window)})
                .first;
  return Found->second;
}

quota_granter::holding *
quota_granter::recordHolding(team_state &State, const quota_ask &Ask,
                             const quota_ask_entry &Entry,
                             const quota_limit &Limit) {
  time_point Now = Clock.now();
  bool Reported = Entry.Share > 0 && Entry.ShareLeft.count() > 0;
  auto Found = std::find_if(State.Holdings.begin(), State.Holdings.end(),
                            [&](const holding &H) { return H.isOf(Ask); });
  if (Found == State.Holdings.end()) {
    bool Room = State.Holdings.size() < Settings.maxShares(Limit);
    bool Useful = Room && isUseful(Entry) && Now >= State.TightUntil;
    if (Useful)
      State.SharedUntil = Now + ListedFor;
    if (!Reported && !(Useful && mayShare(Entry.Team)))
      return nullptr;
    State.Holdings.push_back(
        {Ask.Vm, Ask.Incarnation, window_maximum(Settings.Window)});
    Found = std::prev(State.Holdings.end());
  }
  // The VM ignores an answer that comes late, so what it reports is what it
  // holds.
  Found->Reported = {};
  if (Reported)
    Found->Reported = {std::min(Entry.Share, 1.0),
                       Now + std::min(Entry.ShareLeft, Settings.ShareFor)};
  Found->Granted.Share = 0;
  return &*Found;
}

void quota_granter::grantShare(team_state &State, holding &Holding,
                               const quota_ask_entry &Entry,
                               const quota_limit &Limit) {
  time_point Now = Clock.now();
  Holding.Desired = std::min(1.0, Entry.Demand / Limit.RatePerSecond);
  double Target = roomFor(State, Holding);
  double Before = Holding.Reported.at(Now);
  double Growth =
      Settings.mostOfShare(Target, Limit) - Settings.mostOfShare(Before, Limit);
  if (Growth > freeForShares(State, Entry.Team, Limit)) {
    Target = Before;
    State.FullUntil = Now + ListedFor;
  }
  // What nobody has reported may still be in use.
  if (!mayShare(Entry.Team))
    Target = std::min(Target, Before);
  // A share reserves more than the VM uses of it, which a team near its quota
  // needs elsewhere.
  if (Now < State.TightUntil) {
    Holding.Granted = {};
    return;
  }
  bool Wanted = Target > 0 && isUseful(Entry);
  // A share that is not renewed is good until its end.
  Holding.Granted =
      Wanted ? timed_share{Target, Now + Settings.ShareFor} : Holding.Reported;
}

bool quota_granter::isUseful(const quota_ask_entry &Entry) const {
  std::chrono::duration<double> Window = Settings.Window;
  return Entry.Demand * Window.count() >= LeastInWindow;
}

double quota_granter::freeForShares(team_state &State, const std::string &Team,
                                    const quota_limit &Limit) const {
  double Most = mostInWindow(Team, Limit);
  if (Most < Settings.mostInWindow(Limit))
    Most *= SharedUnlisted;
  double Reserved = mostOfShares(State, Team, Limit);
  // What the pool has given in this window is used already.
  double Given = static_cast<double>(State.Given.sum(Clock.now()));
  double Free = std::min(Most - Given, Settings.mostReserved(Limit)) - Reserved;
  return std::max(0.0, Free);
}

double quota_granter::roomFor(const team_state &State,
                              const holding &Holding) const {
  time_point Now = Clock.now();
  double AllDesired = Holding.Desired;
  double Others = 0;
  for (const holding &Other : State.Holdings) {
    if (&Other == &Holding || Other.until() <= Now)
      continue;
    AllDesired += Other.Desired;
    Others += Other.share(Now);
  }
  double Scale =
      AllDesired > Settings.SharesPart ? Settings.SharesPart / AllDesired : 1;
  double Room = std::max(0.0, Settings.SharesPart - Others);
  return std::min(Holding.Desired * Scale, Room);
}

double quota_granter::mostOfShares(team_state &State, const std::string &Team,
                                   const quota_limit &Limit) const {
  time_point Now = Clock.now();
  double Most = 0;
  // Those that ended or became smaller within the window may have been used in
  // it.
  for (holding &Holding : State.Holdings) {
    double Largest = Holding.Largest.record(Holding.lastShare(), Now);
    Most += Settings.mostOfShare(Largest, Limit);
  }
  if (adopting(Team))
    Most = std::max(Most, Settings.mostOfUnknownShares(Limit));
  return Most;
}

void quota_granter::dropEnded(team_state &State) const {
  // Its first token may have been used in the present window.
  time_point Now = Clock.now();
  std::erase_if(State.Holdings, [&](const holding &Holding) {
    return Holding.until() + Settings.Window <= Now;
  });
}
