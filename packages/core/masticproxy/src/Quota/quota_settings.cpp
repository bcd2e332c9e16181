#include "masticproxy/src/Quota/quota_settings.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Parts of the tolerance that are used. The rest is for requests that reach
/// upstreams later than they were admitted.
constexpr double OvershootPart = 0.5;
constexpr double SlackPart = 0.75;

/// Part of a window's requests that may be first tokens of shares.
constexpr double FirstTokensPart = 0.25;

/// Part of a burst that a VM saves up if it holds a whole quota.
constexpr double SharesBurstPart = 0.5;

/// Part of a window's requests that may be reserved for VMs with shares. The
/// rest has room for all that a team usually sends.
constexpr double ReservablePart = 0.5;

/// Part of a window's requests for a team that the granter's record does not
/// list. Few teams at their usual rate exceed it, and the rest is about what
/// they usually send.
constexpr double UnlistedPart = 2.0 / 3.0;

/// Changes of the granter within one window for which the bound holds.
constexpr double MostGranters = 4;

} // namespace

double quota_settings::mostInWindow(const quota_limit &Limit) const {
  return (Limit.RatePerSecond * seconds() + Limit.Burst) *
             (1 + OvershootPart * Overshoot) +
         SlackPart * Slack;
}

std::size_t quota_settings::maxShares(const quota_limit &Limit) const {
  return static_cast<std::size_t>(FirstTokensPart * mostInWindow(Limit));
}

double quota_settings::shareCapacity(double Share, const quota_limit &Limit) {
  return 1 + Share * SharesBurstPart * Limit.Burst;
}

double quota_settings::mostOfShare(double Share,
                                   const quota_limit &Limit) const {
  return shareCapacity(Share, Limit) + Share * Limit.RatePerSecond * seconds();
}

double quota_settings::mostReserved(const quota_limit &Limit) const {
  return ReservablePart * mostInWindow(Limit);
}

double quota_settings::mostOfUnknownShares(const quota_limit &Limit) const {
  // Each begins with a token.
  double Most = mostOfShare(SharesPart, Limit) +
                static_cast<double>(maxShares(Limit)) - 1;
  return std::min(Most, mostReserved(Limit));
}

double quota_settings::mostUnlisted(const quota_limit &Limit) const {
  return UnlistedPart * mostInWindow(Limit);
}

double quota_settings::firstPool(const quota_limit &Limit) const {
  double InWindow = Limit.RatePerSecond * seconds() + Limit.Burst;
  double Unused =
      (1 - OvershootPart) * Overshoot * InWindow + (1 - SlackPart) * Slack;
  return Unused / MostGranters;
}

double quota_settings::seconds() const {
  return std::chrono::duration<double>(Window).count();
}
