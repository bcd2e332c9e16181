#ifndef MASTICPROXY_QUOTA_QUOTA_SETTINGS_H
#define MASTICPROXY_QUOTA_QUOTA_SETTINGS_H

#include "masticproxy/src/Quota/quota_limit.h"

#include <chrono>
#include <cstddef>

namespace masticproxy {

/// \brief Bounds and times of quotas that all VMs share.
struct quota_settings {
  /// Length of the sliding window in which the bound holds.
  std::chrono::milliseconds Window{5000};
  /// Part of the quota of a window by which it may be exceeded.
  double Overshoot = 0.1;
  /// Requests in a window by which it may be exceeded besides.
  double Slack = 20;
  /// Validity of a VM's share.
  std::chrono::milliseconds ShareFor{15000};
  /// Part of a quota that all shares together may hold.
  double SharesPart = 0.6;
  /// Longest wait of a request for a token.
  std::chrono::milliseconds LongestWait{150};

  /// \returns the requests that may be admitted in a window.
  double mostInWindow(const quota_limit &Limit) const;

  /// \returns how many VMs may hold a share of a quota of \p Limit at a time.
  std::size_t maxShares(const quota_limit &Limit) const;

  /// \returns the most tokens that a VM with \p Share of \p Limit saves up.
  static double shareCapacity(double Share, const quota_limit &Limit);

  /// \returns the most requests that a VM with \p Share admits in a window.
  double mostOfShare(double Share, const quota_limit &Limit) const;

  /// \returns the requests of a window that may be reserved for VMs with
  /// shares.
  double mostReserved(const quota_limit &Limit) const;

  /// \returns the most requests that all VMs with shares admit in a window, if
  /// the shares are not known.
  double mostOfUnknownShares(const quota_limit &Limit) const;

  /// \returns the most requests of a window that a granter admits of a team
  /// that its record does not list, so that its successor has the rest at once.
  double mostUnlisted(const quota_limit &Limit) const;

  /// \returns the tokens that a new granter's pool has in its first window
  /// whatever its predecessor gave: a part of the tolerance that is not used
  /// else.
  double firstPool(const quota_limit &Limit) const;

private:
  double seconds() const;
};

} // namespace masticproxy

#endif
