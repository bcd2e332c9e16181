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

/// \brief Decides which attempts one VM may start, so that a query which kills
/// upstreams meets few of them.
class poison_guard {
public:
  /// With \p ProbeFirst a query not seen before runs on one shard alone until
  /// that one answers.
  poison_guard(const clock &Clock, bool ProbeFirst)
      : Clock(Clock), ProbeFirst(ProbeFirst), Register(Clock, {}) {}

  /// \returns whether the query is not to be run.
  bool condemned(query_fingerprint Fingerprint) const {
    return Register.judge(Fingerprint) == poison_state::Condemned;
  }

  /// \returns the shard at which the query was in flight when an upstream
  /// died; "" where there is none.
  std::string_view shardOfDeath(query_fingerprint Fingerprint) const {
    return Register.shardOf(Fingerprint);
  }

  /// \returns whether an attempt at \p Upstream may start now.
  bool mayStart(query_fingerprint Fingerprint, std::string_view Upstream) const;

  /// Notes that an attempt was sent.
  void started(std::uint64_t Attempt, query_fingerprint Fingerprint,
               std::string_view Upstream, std::string_view Shard);

  /// Notes that an attempt was answered with a result.
  void answered(std::uint64_t Attempt);

  /// Notes that the upstream died while it ran an attempt. \returns what the
  /// other VMs have to hear, if anything.
  std::optional<poison_notice> upstreamDied(std::uint64_t Attempt);

  /// Notes that an attempt ended in any other way.
  void ended(std::uint64_t Attempt) { take(Attempt); }

  /// Takes in what another VM saw.
  void onNotice(const poison_notice &Notice) { Register.onNotice(Notice); }

private:
  struct attempt_record {
    query_fingerprint Fingerprint = 0;
    std::string Upstream;
    std::string Shard;
    time_point Started;
    /// It is the suspect's only attempt.
    bool Suspect = false;
  };

  bool isProven(query_fingerprint Fingerprint) const;
  void remember(query_fingerprint Fingerprint);
  std::optional<attempt_record> take(std::uint64_t Attempt);

  const clock &Clock;
  bool ProbeFirst;
  poison_register Register;
  std::unordered_map<std::uint64_t, attempt_record> Attempts;
  std::unordered_map<query_fingerprint, unsigned> InFlight;
  /// Attempts of suspects at each upstream.
  std::map<std::string, unsigned, std::less<>> SuspectsAt;
  /// Queries that some shard answered, and the order in which they are
  /// forgotten.
  std::unordered_set<query_fingerprint> Proven;
  std::deque<query_fingerprint> ProvenOrder;
};

} // namespace masticproxy

#endif
