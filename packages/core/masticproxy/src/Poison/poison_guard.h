#ifndef MASTICPROXY_POISON_POISON_GUARD_H
#define MASTICPROXY_POISON_POISON_GUARD_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/poison_register.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace masticproxy {

/// \brief Decides which attempts one VM may start, so that a query that crashes
/// upstreams reaches few of them.
class poison_guard {
public:
  /// With \p ProbeFirst, a query has at most one attempt in flight until the
  /// first shard answers it.
  poison_guard(const clock &Clock, bool ProbeFirst)
      : Clock(Clock), ProbeFirst(ProbeFirst), Register(Clock, {}) {}

  /// \returns whether the query must not be run.
  bool condemned(query_fingerprint Fingerprint) const {
    return Register.stateOf(Fingerprint) == poison_state::Condemned;
  }

  /// \returns the shard for which the query was in flight when an upstream last
  /// died; "" if no death is on record.
  std::string_view shardOfDeath(query_fingerprint Fingerprint) const {
    return Register.shardOf(Fingerprint);
  }

  /// \returns whether an attempt at \p Upstream may start now.
  bool mayStart(query_fingerprint Fingerprint, std::string_view Upstream) const;

  /// Records that \p Attempt of the query was sent to \p Upstream for
  /// \p Shard.
  void started(std::uint64_t Attempt, query_fingerprint Fingerprint,
               std::string_view Upstream, std::string_view Shard);

  /// Records that an attempt was answered with a result. Unknown attempts are
  /// ignored, here and below.
  void answered(std::uint64_t Attempt);

  /// Records that the upstream died while it ran an attempt. \returns the
  /// notice to be sent to the other VMs, if any.
  std::optional<poison_notice> upstreamDied(std::uint64_t Attempt);

  /// Records that an attempt ended in any other way.
  void ended(std::uint64_t Attempt) { removeAttempt(Attempt); }

  /// Applies a notice of another VM.
  void onNotice(const poison_notice &Notice) { Register.onNotice(Notice); }

private:
  struct attempt_record {
    query_fingerprint Fingerprint = 0;
    std::string Upstream;
    std::string Shard;
    time_point Started;
    /// Whether the query was a suspect when the attempt started; a suspect has
    /// only one attempt in flight.
    bool Suspect = false;
  };

  bool isProven(query_fingerprint Fingerprint) const;
  void recordProven(query_fingerprint Fingerprint);
  std::optional<attempt_record> removeAttempt(std::uint64_t Attempt);

  const clock &Clock;
  bool ProbeFirst;
  poison_register Register;
  std::unordered_map<std::uint64_t, attempt_record> Attempts;
  std::unordered_map<query_fingerprint, unsigned> InFlight;
  /// Number of attempts of suspects in flight, by upstream.
  std::map<std::string, unsigned, std::less<>> SuspectsAt;
  /// Queries that a shard has answered, and the order in which they are
  /// evicted.
  std::unordered_set<query_fingerprint> Proven;
  std::deque<query_fingerprint> ProvenOrder;
};

} // namespace masticproxy

#endif
