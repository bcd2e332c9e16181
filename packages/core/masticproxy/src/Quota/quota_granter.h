#ifndef MASTICPROXY_QUOTA_QUOTA_GRANTER_H
#define MASTICPROXY_QUOTA_QUOTA_GRANTER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Quota/granter_claims.h"
#include "masticproxy/src/Quota/quota_answer.h"
#include "masticproxy/src/Quota/quota_ask.h"
#include "masticproxy/src/Quota/quota_limit.h"
#include "masticproxy/src/Quota/quota_settings.h"
#include "masticproxy/src/Quota/window_counts.h"
#include "masticproxy/src/Quota/window_maximum.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticproxy {

/// \brief Divides the quotas of all teams among the VMs, as the holder of the
/// granter's lease.
///
/// A VM gets a share of a quota for some seconds, and single tokens from what
/// no share holds. \p Clock has to count the time of a suspension. The state
/// dies with the process: a successor learns of shares from the VMs, and from
/// the granter's record how much this granter may have given at most.
class quota_granter {
public:
  /// \p Clock has to outlive the granter. \p Predecessor is what the record
  /// said that this granter's replaced; empty if there was none, so that no VM
  /// holds anything.
  quota_granter(const clock &Clock, quota_limits Limits,
                quota_settings Settings, std::uint64_t Term,
                std::optional<granter_claims> Predecessor);

  /// \returns what the VM gets that sent \p Ask; no entries if the ask is of
  /// another term, or older than one that was answered.
  quota_answer answer(const quota_ask &Ask);

  /// \returns what the record is to say from now on, if that changes; the
  /// granter keeps to it from now on. Until onRecord() has it nothing is
  /// returned.
  std::optional<granter_claims> takeClaims();

  /// The record says \p Claims.
  void onRecord(const granter_claims &Claims);

private:
  struct timed_share {
    double Share = 0;
    time_point Until{};

    double at(time_point Now) const { return Now < Until ? Share : 0; }
  };
  /// What one start of a VM holds of a quota. An answer may be lost, so the
  /// larger of both counts.
  struct holding {
    std::string Vm;
    std::uint64_t Incarnation = 0;
    /// The greatest share of the last window.
    window_maximum Largest;
    timed_share Reported = {};
    timed_share Granted = {};
    /// Share by its demand alone.
    double Desired = 0;

    bool isOf(const quota_ask &Ask) const {
      return Vm == Ask.Vm && Incarnation == Ask.Incarnation;
    }
    double share(time_point Now) const {
      return std::max(Reported.at(Now), Granted.at(Now));
    }
    /// \returns the share, also where it has ended.
    double lastShare() const { return std::max(Reported.Share, Granted.Share); }
    time_point until() const { return std::max(Reported.Until, Granted.Until); }
  };
  struct team_state {
    std::vector<holding> Holdings;
    /// Tokens that were given to requests that waited, and those that VMs have
    /// used of shares that they gave back.
    window_ledger Given;
    /// Requests that got no token, by priority; of a team within its quota,
    /// none.
    std::map<unsigned, window_ledger> Refused = {};
    /// Until when the record is to list the team, as its quota is in use.
    time_point FullUntil{};
    /// The same for shares.
    time_point SharedUntil{};
    /// The pool had no token lately, so that shares are not renewed.
    time_point TightUntil{};
  };

  bool isNewest(const quota_ask &Ask);
  quota_answer_entry answerEntry(const quota_ask &Ask,
                                 const quota_ask_entry &Entry);
  team_state &stateOf(const std::string &Team);
  /// Counts what the VM has used of a share that it holds no more, in place of
  /// all that it could have used.
  void takeBack(team_state &State, const quota_ask &Ask,
                const quota_ask_entry &Entry) const;
  /// Gives tokens to requests that wait, as far as the window has room.
  void grantTokens(team_state &State, const std::vector<quota_wanted> &Wanted,
                   const quota_limit &Limit, quota_answer_entry &Result);
  /// Gives tokens of \p Pool, the most urgent requests first, and keeps some
  /// back for those more urgent than one that got none lately. \returns how
  /// many of \p Pool are kept back.
  double grantByPriority(team_state &State,
                         const std::vector<quota_wanted> &Wanted, double Pool,
                         quota_answer_entry &Result) const;
  /// \returns the most requests of a window that may be admitted.
  double mostInWindow(const std::string &Team, const quota_limit &Limit) const;
  /// \returns the requests of this window that the predecessor may have
  /// admitted, shares included.
  double mostOfPredecessor(const std::string &Team,
                           const quota_limit &Limit) const;
  /// \returns whether VMs may be given shares of \p Team.
  bool mayShare(const std::string &Team) const;
  /// \returns the holding of the VM, as it reports it; null if it may have
  /// none.
  holding *recordHolding(team_state &State, const quota_ask &Ask,
                         const quota_ask_entry &Entry,
                         const quota_limit &Limit);
  /// Grants \p Holding a share by its demand, if there is room.
  void grantShare(team_state &State, holding &Holding,
                  const quota_ask_entry &Entry, const quota_limit &Limit);
  /// \returns whether the VM sends enough for a share to be of use.
  bool isUseful(const quota_ask_entry &Entry) const;
  /// \returns the requests of a window that may be reserved for larger shares.
  double freeForShares(team_state &State, const std::string &Team,
                       const quota_limit &Limit) const;
  /// \returns the part of a quota that the share of \p Holding may have.
  double roomFor(const team_state &State, const holding &Holding) const;
  /// \returns the most requests of a window that VMs with shares admit.
  double mostOfShares(team_state &State, const std::string &Team,
                      const quota_limit &Limit) const;
  /// Whether this window has begun before this granter did.
  bool inFirstWindow() const {
    return Predecessor && Clock.now() < Began + Settings.Window;
  }
  /// Whether shares of the predecessor may be in use that nobody has reported.
  bool adopting(const std::string &Team) const {
    return Predecessor && Clock.now() < Began + Settings.ShareFor &&
           Predecessor->mayBeShared(Team);
  }
  /// \returns what the record has to say now.
  granter_claims claims() const;
  void dropEnded(team_state &State) const;

  const clock &Clock;
  quota_limits Limits;
  quota_settings Settings;
  std::uint64_t Term;
  std::optional<granter_claims> Predecessor;
  time_point Began;
  /// What the record says, and what it will say once it is written.
  granter_claims Recorded;
  granter_claims Taken;
  time_point NextClaims{};
  std::unordered_map<std::string, team_state> Teams;
  /// Sequence of the newest ask of each start of a VM.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> Sequences;
};

} // namespace masticproxy

#endif
