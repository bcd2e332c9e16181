#include "masticproxy/src/Routing/reach_monitor.h"

using namespace masticproxy;

namespace {

/// Silence after which an upstream counts as out of reach: longer than pauses
/// and slow answers, several times the usual latency.
constexpr std::chrono::milliseconds SilenceLimit{700};

/// How long an upstream that was heard, and not asked since, is counted.
constexpr std::chrono::seconds KnownFor{5};

/// Silent upstreams, of those counted, that make a cut: 4 of 5. Crashes and
/// overload leave more than that.
constexpr std::size_t CutNumerator = 4;
constexpr std::size_t CutDenominator = 5;

/// Least time between two looks, as each goes over all upstreams.
constexpr std::chrono::milliseconds LookInterval{100};

/// Fewer upstreams than this tell nothing.
constexpr std::size_t LeastKnown = 4;

/// Probes of one round, and the time between rounds.
constexpr std::size_t ProbesInRound = 6;
constexpr std::chrono::milliseconds ProbeInterval{300};

} // namespace

void reach_monitor::sent(std::string_view Upstream) {
  auto Found = Upstreams.find(Upstream);
  if (Found == Upstreams.end())
    Found = Upstreams.emplace(std::string(Upstream), upstream_state{}).first;
  if (!Found->second.AskedAt)
    Found->second.AskedAt = Clock.now();
}

void reach_monitor::heard(std::string_view Upstream) {
  auto Found = Upstreams.find(Upstream);
  if (Found == Upstreams.end())
    return;
  Found->second.AskedAt.reset();
  Found->second.HeardAt = Clock.now();
}

void reach_monitor::look() {
  if (Clock.now() - LookedAt < LookInterval)
    return;
  LookedAt = Clock.now();
  std::size_t Known = 0;
  std::size_t Silent = 0;
  for (const auto &[Upstream, State] : Upstreams) {
    Known += isKnown(State) ? 1 : 0;
    Silent += isSilent(State) ? 1 : 0;
  }
  Cut = Known >= LeastKnown && Silent * CutDenominator >= Known * CutNumerator;
}

std::vector<std::string> reach_monitor::takeProbes() {
  std::optional<time_point> Due = nextProbe();
  if (!Due || *Due > Clock.now())
    return {};
  ProbedAt = Clock.now();
  std::vector<std::string> Probes;
  auto Next = Upstreams.upper_bound(LastProbed);
  for (std::size_t I = 0; I < Upstreams.size(); ++I) {
    if (Next == Upstreams.end())
      Next = Upstreams.begin();
    if (isSilent(Next->second))
      Probes.push_back(Next->first);
    if (Probes.size() == ProbesInRound)
      break;
    ++Next;
  }
  if (!Probes.empty())
    LastProbed = Probes.back();
  return Probes;
}

std::optional<time_point> reach_monitor::nextProbe() const {
  if (!Cut)
    return std::nullopt;
  return ProbedAt + ProbeInterval;
}

bool reach_monitor::isSilent(const upstream_state &State) const {
  return State.AskedAt && Clock.now() - *State.AskedAt >= SilenceLimit;
}

bool reach_monitor::isKnown(const upstream_state &State) const {
  return State.AskedAt ? isSilent(State)
                       : Clock.now() - State.HeardAt < KnownFor;
}
