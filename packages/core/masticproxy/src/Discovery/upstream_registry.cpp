#include "masticproxy/src/Discovery/upstream_registry.h"

#include <algorithm>
#include <set>
#include <utility>

using namespace masticproxy;

namespace {

/// Live upstreams register again within about two seconds of the platform's
/// return.
constexpr std::chrono::milliseconds ReturnTime{2200};

/// Latest time after the platform was out of reach at which an upstream whose
/// registration lapsed meanwhile is used: the bounds on work that goes to
/// upstreams that left hold again 4 s after the platform's return.
constexpr std::chrono::milliseconds LatestUse{3700};

} // namespace

void upstream_registry::onListed(std::vector<upstream_entry> Entries,
                                 std::optional<time_point> OutOfReachAt) {
  time_point GoneAt = Clock.now() + ReturnTime;
  if (OutOfReachAt)
    GoneAt = std::min(GoneAt, *OutOfReachAt + LatestUse);
  std::set<std::string_view> Listed;
  for (const upstream_entry &Entry : Entries)
    Listed.insert(Entry.Instance);
  std::vector<std::string> Missing;
  for (const auto &Known : Records)
    if (Listed.count(Known.first) == 0)
      Missing.push_back(Known.first);
  for (const std::string &Instance : Missing)
    lapse(Instance, GoneAt);
  for (upstream_entry &Entry : Entries)
    onEntry(std::move(Entry));
}

void upstream_registry::onEntry(upstream_entry Entry) {
  std::string Instance = Entry.Instance;
  Records.insert_or_assign(std::move(Instance),
                           record{std::move(Entry), std::nullopt});
}

void upstream_registry::onLapsed(std::string_view Instance) {
  lapse(Instance, Clock.now() + ReturnTime);
}

void upstream_registry::lapse(std::string_view Instance, time_point GoneAt) {
  auto Found = Records.find(Instance);
  if (Found == Records.end())
    return;
  // One that said it was leaving is not expected back.
  if (Found->second.Entry.Draining) {
    Records.erase(Found);
    return;
  }
  if (Found->second.GoneAt)
    return;
  Found->second.GoneAt = GoneAt;
  Found->second.Entry.Lapsed = true;
}

bool upstream_registry::expire() {
  time_point Now = Clock.now();
  return std::erase_if(Records, [Now](const auto &Entry) {
           return Entry.second.GoneAt && *Entry.second.GoneAt <= Now;
         }) > 0;
}

std::vector<upstream_entry> upstream_registry::entries() const {
  std::vector<upstream_entry> All;
  All.reserve(Records.size());
  for (const auto &[Instance, Record] : Records)
    All.push_back(Record.Entry);
  return All;
}
