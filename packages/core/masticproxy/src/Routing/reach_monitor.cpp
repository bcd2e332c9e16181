#include "masticproxy/src/Routing/reach_monitor.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Silence that makes others be probed: longer than pauses and slow answers.
constexpr std::chrono::milliseconds SuspicionAfter{400};

/// Further silence, of the probes too, that makes a cut.
constexpr std::chrono::milliseconds ConfirmTime{300};

/// Silent upstreams that make a suspicion; fewer may have crashed.
constexpr std::ptrdiff_t LeastSilent = 4;

/// Least time between two looks, as each goes over all upstreams.
constexpr std::chrono::milliseconds LookInterval{100};

/// Probes of one round, and the time between rounds while a cut is suspected.
constexpr std::size_t ProbesInRound = 6;
constexpr std::chrono::milliseconds ProbeInterval{300};

/// Time without a word after which a VM without requests probes; the balancer
/// looks at a VM as often.
constexpr std::chrono::milliseconds QuietProbeInterval{1000};

} // namespace

void reach_monitor::follow(std::span<const std::string> Upstreams) {
  decltype(AskedAt) Followed;
  for (const std::string &Upstream : Upstreams)
    if (auto Known = AskedAt.extract(Upstream))
      Followed.insert(std::move(Known));
    else
      Followed.emplace(Upstream, std::nullopt);
  AskedAt = std::move(Followed);
  // Without any to hear, nothing else would end a cut.
  if (AskedAt.empty())
    endCut();
}

void reach_monitor::sent(std::string_view Upstream) {
  auto Found = AskedAt.find(Upstream);
  if (Found == AskedAt.end())
    return;
  // An ask from before the last word would not count in a cut that follows.
  if (!Found->second || *Found->second <= HeardAt)
    Found->second = Clock.now();
}

void reach_monitor::heard(std::string_view Upstream) {
  auto Found = AskedAt.find(Upstream);
  if (Found == AskedAt.end())
    return;
  Found->second.reset();
  HeardAt = Clock.now();
  endCut();
}

void reach_monitor::endCut() {
  SuspectedAt.reset();
  Cut = false;
}

void reach_monitor::look() {
  if (Clock.now() - LookedAt < LookInterval)
    return;
  LookedAt = Clock.now();
  if (!suspects())
    return;
  if (!SuspectedAt)
    SuspectedAt = Clock.now();
  Cut = Clock.now() - *SuspectedAt >= ConfirmTime;
}

// Only what was asked after the last word counts: an upstream that crashed
// earlier says nothing of the others.
bool reach_monitor::suspects() const {
  if (SuspectedAt)
    return true;
  time_point Latest = Clock.now() - SuspicionAfter;
  if (HeardAt > Latest)
    return false;
  return std::count_if(AskedAt.begin(), AskedAt.end(), [&](const auto &Entry) {
           const std::optional<time_point> &Asked = Entry.second;
           return Asked && *Asked > HeardAt && *Asked <= Latest;
         }) >= LeastSilent;
}

std::vector<std::string> reach_monitor::takeProbes() {
  std::optional<time_point> Due = nextProbe();
  if (!Due || *Due > Clock.now())
    return {};
  ProbedAt = Clock.now();
  std::vector<std::string> Probes;
  auto Next = AskedAt.upper_bound(LastProbed);
  for (std::size_t I = 0; I < std::min(ProbesInRound, AskedAt.size()); ++I) {
    if (Next == AskedAt.end())
      Next = AskedAt.begin();
    Probes.push_back(Next->first);
    ++Next;
  }
  LastProbed = Probes.back();
  for (const std::string &Upstream : Probes)
    sent(Upstream);
  return Probes;
}

std::optional<time_point> reach_monitor::nextProbe() const {
  if (AskedAt.empty())
    return std::nullopt;
  if (SuspectedAt)
    return ProbedAt + ProbeInterval;
  return std::max(HeardAt, ProbedAt) + QuietProbeInterval;
}
