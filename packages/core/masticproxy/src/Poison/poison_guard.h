#ifndef MASTICPROXY_POISON_POISON_GUARD_H
#define MASTICPROXY_POISON_POISON_GUARD_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/death_evidence.h"
#include "masticproxy/src/Poison/lost_attempts.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/poison_register.h"
#include "masticproxy/src/Poison/recent_deaths.h"
#include "masticproxy/src/Poison/upstream_attempt.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticproxy {

/// \brief Decides which attempts one VM may start, so that a query that crashes
/// upstreams reaches few of them.
class poison_guard {
public:
  /// With \p ProbeFirst, a query has at most one attempt in flight until the
  /// first shard answers it.
  poison_guard(const clock &Clock, bool ProbeFirst, poison_timing Timing = {})
      : Clock(Clock), ProbeFirst(ProbeFirst), Register(Clock, Timing),
        Deaths(Clock), Lost(Clock, Timing.LostFor) {}

  /// \returns whether the query must not be run: it is condemned, or it is a
  /// suspect of which an attempt is lost.
  bool condemned(query_fingerprint Fingerprint) const;

  /// \returns whether that is only because an attempt of the suspect is lost.
  bool isHeldBack(query_fingerprint Fingerprint) const;

  /// \returns the shard for which the query was in flight when an upstream last
  /// died; "" if no death is on record.
  std::string_view shardOfDeath(query_fingerprint Fingerprint) const {
    return Register.shardOf(Fingerprint);
  }

  /// \returns whether an attempt at \p Upstream may start now.
  bool mayStart(query_fingerprint Fingerprint, std::string_view Upstream) const;

  /// Records that \p Attempt of the query was sent to \p Process at
  /// \p Address, for \p Shard.
  void started(std::uint64_t Attempt, query_fingerprint Fingerprint,
               std::string_view Process, std::string_view Shard,
               std::string_view Address = {});

  /// \returns the process of the upstream of an attempt; "" if it is unknown.
  std::string_view processOf(std::uint64_t Attempt) const;

  /// Records that an attempt was answered with a result. Unknown attempts are
  /// ignored, here and below. \returns the suspicion that this ends, if any.
  std::optional<suspicion_ended> answered(std::uint64_t Attempt);

  /// Records that the upstream responded to an attempt without a result.
  void refused(std::uint64_t Attempt);

  /// Records that the upstream died while it ran an attempt. \returns the
  /// notice to be sent to the other VMs, if any.
  std::optional<poison_notice> upstreamDied(std::uint64_t Attempt);

  /// Records that an attempt that may have run ended without a response, and
  /// that its upstream may have died or not. \returns the query if it must not
  /// be run until that is known.
  std::optional<query_fingerprint> lost(std::uint64_t Attempt);

  /// Records that an attempt was not sent because its upstream accepts no
  /// connections: it died while it ran its other attempts. \returns the notices
  /// to be sent to the other VMs.
  std::vector<poison_notice> refusedConnection(std::uint64_t Attempt);

  /// Records that the upstreams of the lost attempts that \p Died holds for
  /// have died. \returns the notices to be sent to the other VMs.
  std::vector<poison_notice>
  upstreamsDied(const std::function<bool(const upstream_attempt &)> &Died);

  /// Records that the upstreams of the lost attempts that \p Left holds for
  /// ended as planned.
  void upstreamsLeft(const std::function<bool(const upstream_attempt &)> &Left);

  /// Sets what deaths that are recorded from now on are evidence of, unless
  /// others at the same time show a common cause.
  void setEvidence(death_evidence NewEvidence) { Evidence = NewEvidence; }

  /// Records that the deaths that were recorded unchecked have no common cause.
  /// \returns the notices to be sent to the other VMs.
  std::vector<poison_notice> confirmDeaths() {
    return Register.confirmDeaths();
  }

  /// Records that the deaths since \p Time have a common cause. \returns the
  /// suspicions that this ends.
  std::vector<suspicion_ended> deathsHadCommonCause(time_point Time) {
    return Register.deathsHadCommonCause(Time);
  }

  /// \returns whether upstreamsDied() could have any effect.
  bool hasLost() const { return !Lost.empty(); }

  /// Records that an attempt ended in any other way: it did not crash its
  /// upstream.
  void ended(std::uint64_t Attempt) { removeAttempt(Attempt); }

  /// \returns whether \p Notice says more than this VM knows.
  bool isNews(const poison_notice &Notice) const {
    return Register.isNews(Notice);
  }

  /// Applies a notice of another VM.
  void onNotice(const poison_notice &Notice) { Register.onNotice(Notice); }

  /// Another VM found that a query did not cause a death.
  void onEnded(const suspicion_ended &Ended) { Register.onEnded(Ended); }

private:
  bool isProven(query_fingerprint Fingerprint) const;
  void recordProven(query_fingerprint Fingerprint);
  /// \returns the attempt, which ends now.
  std::optional<upstream_attempt> removeAttempt(std::uint64_t Attempt);
  std::optional<poison_notice> recordDeath(const upstream_attempt &Attempt);
  death_evidence evidenceAgainst(query_fingerprint Fingerprint) const;

  const clock &Clock;
  bool ProbeFirst;
  poison_register Register;
  recent_deaths Deaths;
  lost_attempts Lost;
  std::unordered_map<std::uint64_t, upstream_attempt> Attempts;
  std::unordered_map<query_fingerprint, unsigned> InFlight;
  death_evidence Evidence = death_evidence::Query;
  /// Number of attempts of suspects in flight, by process.
  std::map<std::string, unsigned, std::less<>> SuspectsAt;
  /// Queries that a shard has answered, and the order in which they are
  /// evicted.
  std::unordered_set<query_fingerprint> Proven;
  std::deque<query_fingerprint> ProvenOrder;
};

} // namespace masticproxy

#endif
