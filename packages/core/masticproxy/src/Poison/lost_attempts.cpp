#include "masticproxy/src/Poison/lost_attempts.h"

#include <algorithm>
#include <iterator>

using namespace masticproxy;

namespace {

constexpr std::size_t MaxLostAttempts = 1024;

} // namespace

void lost_attempts::add(upstream_attempt Attempt) {
  expire();
  if (Attempts.size() == MaxLostAttempts)
    Attempts.pop_front();
  Attempts.push_back(std::move(Attempt));
}

void lost_attempts::removeAt(std::string_view Process) {
  std::erase_if(Attempts, [Process](const upstream_attempt &Attempt) {
    return Attempt.Process == Process;
  });
}

std::vector<upstream_attempt> lost_attempts::takeIf(
    const std::function<bool(const upstream_attempt &)> &Condition) {
  expire();
  std::vector<upstream_attempt> Taken;
  auto Kept = std::stable_partition(Attempts.begin(), Attempts.end(),
                                    std::not_fn(std::cref(Condition)));
  std::move(Kept, Attempts.end(), std::back_inserter(Taken));
  Attempts.erase(Kept, Attempts.end());
  return Taken;
}

bool lost_attempts::hasSuspect(query_fingerprint Fingerprint) const {
  time_point Oldest = Clock.now() - KeepFor;
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [=](const upstream_attempt &Attempt) {
                       return Attempt.Fingerprint == Fingerprint &&
                              Attempt.Suspect && Attempt.Ended > Oldest;
                     });
}

void lost_attempts::expire() {
  time_point Oldest = Clock.now() - KeepFor;
  while (!Attempts.empty() && Attempts.front().Ended <= Oldest)
    Attempts.pop_front();
}
