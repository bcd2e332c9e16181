#include "masticproxy/src/Poison/common_cause_check.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// Longest time that a check is under way; the result of a probe can be lost.
constexpr std::chrono::milliseconds LongestCheck{250};

/// Time before the start of a check in which deaths count as being of the same
/// cause: a reset is noticed by attempts one after the other.
constexpr std::chrono::milliseconds CauseSpan{250};

/// Time after a check that found a common cause in which further deaths are
/// put down to it.
constexpr std::chrono::milliseconds CauseLasts{1000};

} // namespace

std::vector<std::string>
common_cause_check::start(std::vector<std::string> Upstreams) {
  if (isUnderWay() || Upstreams.empty())
    return {};
  StartedAt = Clock.now();
  Awaited = std::move(Upstreams);
  Asked = Awaited.size();
  Unreached = 0;
  return Awaited;
}

std::optional<common_cause_check::result>
common_cause_check::onProbed(std::string_view Upstream, bool Reached) {
  auto Found = std::find(Awaited.begin(), Awaited.end(), Upstream);
  if (Found == Awaited.end())
    return std::nullopt;
  Awaited.erase(Found);
  Unreached += Reached ? 0 : 1;
  if (!Awaited.empty())
    return std::nullopt;
  // One of several may be down for a reason of its own.
  result Result{2 * Unreached > Asked, *StartedAt - CauseSpan};
  if (Result.Found)
    FoundAt = Clock.now();
  return Result;
}

death_evidence common_cause_check::evidence() const {
  bool Found = FoundAt && Clock.now() - *FoundAt < CauseLasts;
  return Found ? death_evidence::Excused : death_evidence::Unchecked;
}

bool common_cause_check::isUnderWay() const {
  return !Awaited.empty() && Clock.now() - *StartedAt < LongestCheck;
}
