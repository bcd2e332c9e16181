#include "masticproxy/src/Routing/partition_detector.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Time without a response after which a partition is suspected and others are
/// probed; longer than pauses and slow responses.
constexpr std::chrono::milliseconds SuspicionTimeout{400};

/// Further time without a response, also to probes, that confirms a partition.
constexpr std::chrono::milliseconds ConfirmTime{300};

/// Number of unresponsive upstreams that raise a suspicion; fewer may just have
/// crashed.
constexpr std::ptrdiff_t MinUnresponsive = 4;

/// Minimum time between two evaluations, as each goes over all upstreams.
constexpr std::chrono::milliseconds EvaluationInterval{100};

/// Number of probes of one round, and the time between rounds while a partition
/// is suspected.
constexpr std::size_t ProbesPerRound = 6;
constexpr std::chrono::milliseconds ProbeInterval{300};

/// Time without a response after which a VM without requests probes; the
/// balancer checks a VM as often.
constexpr std::chrono::milliseconds IdleProbeInterval{1000};

} // namespace

void partition_detector::follow(std::span<const std::string> Upstreams) {
  decltype(UnansweredSince) Followed;
  for (const std::string &Upstream : Upstreams)
    if (auto Known = UnansweredSince.extract(Upstream))
      Followed.insert(std::move(Known));
    else
      Followed.emplace(Upstream, std::nullopt);
  UnansweredSince = std::move(Followed);
  // Without upstreams no response can arrive that would end a partition.
  if (UnansweredSince.empty())
    clearPartition();
}

void partition_detector::recordSent(std::string_view Upstream) {
  auto Found = UnansweredSince.find(Upstream);
  if (Found == UnansweredSince.end())
    return;
  // What was sent before the last response would not count in a partition
  // that follows.
  if (!Found->second || *Found->second <= LastResponseAt)
    Found->second = Clock.now();
}

void partition_detector::recordResponse(std::string_view Upstream) {
  auto Found = UnansweredSince.find(Upstream);
  if (Found == UnansweredSince.end())
    return;
  Found->second.reset();
  LastResponseAt = Clock.now();
  clearPartition();
}

void partition_detector::clearPartition() {
  SuspectedAt.reset();
  Partitioned = false;
}

void partition_detector::evaluate() {
  if (Clock.now() - LastEvaluatedAt < EvaluationInterval)
    return;
  LastEvaluatedAt = Clock.now();
  if (!isSuspected())
    return;
  if (!SuspectedAt)
    SuspectedAt = Clock.now();
  Partitioned = Clock.now() - *SuspectedAt >= ConfirmTime;
}

// Only what was sent after the last response counts: an upstream that crashed
// earlier is no evidence about the others.
bool partition_detector::isSuspected() const {
  if (SuspectedAt)
    return true;
  time_point Latest = Clock.now() - SuspicionTimeout;
  if (LastResponseAt > Latest)
    return false;
  return std::count_if(UnansweredSince.begin(), UnansweredSince.end(),
                       [&](const auto &Entry) {
                         const std::optional<time_point> &Since = Entry.second;
                         return Since && *Since > LastResponseAt &&
                                *Since <= Latest;
                       }) >= MinUnresponsive;
}

std::vector<std::string> partition_detector::takeProbes() {
  std::optional<time_point> Due = nextProbe();
  if (!Due || *Due > Clock.now())
    return {};
  LastProbeAt = Clock.now();
  std::vector<std::string> Probes;
  auto Next = UnansweredSince.upper_bound(LastProbed);
  for (std::size_t I = 0; I < std::min(ProbesPerRound, UnansweredSince.size());
       ++I) {
    if (Next == UnansweredSince.end())
      Next = UnansweredSince.begin();
    Probes.push_back(Next->first);
    ++Next;
  }
  LastProbed = Probes.back();
  for (const std::string &Upstream : Probes)
    recordSent(Upstream);
  return Probes;
}

std::optional<time_point> partition_detector::nextProbe() const {
  if (UnansweredSince.empty())
    return std::nullopt;
  if (SuspectedAt)
    return LastProbeAt + ProbeInterval;
  return std::max(LastResponseAt, LastProbeAt) + IdleProbeInterval;
}
