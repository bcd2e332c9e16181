#include "masticproxy/src/Poison/lost_attempts.h"

#include <algorithm>
#include <iterator>

using namespace masticproxy;

namespace {

constexpr std::size_t MaxLostAttempts = 1024;

} // namespace

void lost_attempts::add(lost_attempt Attempt) {
  expire();
  if (Attempts.size() == MaxLostAttempts)
    Attempts.pop_front();
  Attempts.push_back(std::move(Attempt));
}

void lost_attempts::removeAt(std::string_view Upstream) {
  std::erase_if(Attempts, [Upstream](const lost_attempt &Attempt) {
    return Attempt.Upstream == Upstream;
  });
}

std::vector<lost_attempt>
lost_attempts::takeAt(const std::function<bool(std::string_view)> &Ended) {
  expire();
  std::vector<lost_attempt> Taken;
  auto Kept = std::stable_partition(Attempts.begin(), Attempts.end(),
                                    [&Ended](const lost_attempt &Attempt) {
                                      return !Ended(Attempt.Upstream);
                                    });
  std::move(Kept, Attempts.end(), std::back_inserter(Taken));
  Attempts.erase(Kept, Attempts.end());
  return Taken;
}

bool lost_attempts::hasSuspect(query_fingerprint Fingerprint) const {
  time_point Oldest = Clock.now() - KeepFor;
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [=](const lost_attempt &Attempt) {
                       return Attempt.Fingerprint == Fingerprint &&
                              Attempt.Suspect && Attempt.Lost > Oldest;
                     });
}

void lost_attempts::expire() {
  time_point Oldest = Clock.now() - KeepFor;
  while (!Attempts.empty() && Attempts.front().Lost <= Oldest)
    Attempts.pop_front();
}
