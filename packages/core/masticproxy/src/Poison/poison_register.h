#ifndef MASTICPROXY_POISON_POISON_REGISTER_H
#define MASTICPROXY_POISON_POISON_REGISTER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/death_evidence.h"
#include "masticproxy/src/Poison/death_tally.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/poison_timing.h"
#include "masticproxy/src/Poison/suspicion_ended.h"
#include "masticproxy/src/Poison/upstream_attempt.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticproxy {

/// \brief Whether a query is held responsible for deaths of upstreams.
enum class poison_state {
  /// The query is under no suspicion.
  Clear,
  /// The query was in flight when an upstream died. Each VM runs one attempt of
  /// it at a time, until the shard of that death answers or
  /// poison_timing::SuspectFor has passed.
  Suspect,
  /// The query was in flight at two deaths, and its attempt at the second one
  /// started after the first was known. It is not run for
  /// poison_timing::condemnedFor() after the last death, then it is Suspect
  /// again.
  Condemned,
};

/// \brief Records the queries that were in flight when upstreams died, at this
/// VM and at those that notified it.
class poison_register {
public:
  poison_register(const clock &Clock, poison_timing Timing)
      : Clock(Clock), Timing(Timing) {}

  /// \returns the current state of the query.
  poison_state stateOf(query_fingerprint Fingerprint) const;

  /// \returns the shard for which the query was in flight at the last death of
  /// an upstream that ran it; "" if no death is on record.
  std::string_view shardOf(query_fingerprint Fingerprint) const;

  /// Records that an upstream died while it ran \p Attempt, which has ended. A
  /// death counts for half a round unless \p Evidence is of the query alone.
  /// \returns the notice to be sent to the other VMs, or nothing if the death
  /// belongs to a round already recorded, or if the query is no suspect.
  std::optional<poison_notice> upstreamDied(const upstream_attempt &Attempt,
                                            death_evidence Evidence);

  /// Records that the deaths that were recorded unchecked have no common cause:
  /// they count whole. \returns the notices to be sent to the other VMs.
  std::vector<poison_notice> confirmDeaths();

  /// Records that the deaths since \p Time have a common cause. \returns the
  /// suspicions that this ends: those of queries without an earlier death.
  std::vector<suspicion_ended> deathsHadCommonCause(time_point Time);

  /// Records that \p Shard answered the query. If the last death was at that
  /// shard, the query did not cause it and its record is removed. \returns
  /// whether it was.
  bool shardAnswered(query_fingerprint Fingerprint, std::string_view Shard);

  /// Another VM found that the query did not cause a death. Removes its record
  /// unless it is condemned.
  void onEnded(const suspicion_ended &Ended);

  /// \returns whether \p Notice says more than is on record.
  bool isNews(const poison_notice &Notice) const;

  /// Applies a notice of another VM.
  void onNotice(const poison_notice &Notice);

  /// \returns the number of queries on record.
  std::size_t size() const { return Records.size(); }

private:
  struct record {
    death_tally Deaths;
    std::string Shard;
    /// When the first of the deaths became known.
    time_point Since;
    /// Whether the last death counts for half as it is unchecked.
    bool Unchecked = false;
    /// Whether all deaths may have a common cause: the query is no suspect
    /// before they condemn it.
    bool Doubtful = false;
  };
  using record_map = std::unordered_map<query_fingerprint, record>;

  record &recordOf(query_fingerprint Fingerprint);
  bool isForgotten(const record &Record) const;
  void evictRecords();

  const clock &Clock;
  poison_timing Timing;
  record_map Records;
};

} // namespace masticproxy

#endif
