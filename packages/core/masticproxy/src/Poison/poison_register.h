#ifndef MASTICPROXY_POISON_POISON_REGISTER_H
#define MASTICPROXY_POISON_POISON_REGISTER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/poison_timing.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace masticproxy {

/// \brief What is held against a query.
enum class poison_state {
  /// Nothing.
  Clear,
  /// It was in flight when an upstream died: it runs alone until a shard
  /// answers.
  Suspect,
  /// It was in flight at two deaths, the second one begun after the first was
  /// known: it is not run.
  Condemned,
};

/// \brief The queries of one data centre that were in flight when upstreams
/// died.
class poison_register {
public:
  poison_register(const clock &Clock, poison_timing Timing)
      : Clock(Clock), Timing(Timing) {}

  /// \returns what is held against the query.
  poison_state judge(query_fingerprint Fingerprint) const;

  /// \returns the shard at which a suspect was in flight; "" where unknown.
  std::string_view shardOf(query_fingerprint Fingerprint) const;

  /// Notes that an upstream died while it ran the query's attempt that started
  /// at \p Started. \returns what the other VMs have to hear, if anything.
  std::optional<poison_notice> upstreamDied(query_fingerprint Fingerprint,
                                            std::string_view Shard,
                                            time_point Started);

  /// Notes that \p Shard answered the query: a death at that shard was not its
  /// doing.
  void shardAnswered(query_fingerprint Fingerprint, std::string_view Shard);

  /// Takes in what another VM saw.
  void onNotice(const poison_notice &Notice);

  /// \returns the queries that something is held against.
  std::size_t size() const { return Records.size(); }

private:
  struct record {
    unsigned Rounds = 0;
    std::string Shard;
    time_point LastDeath;
  };
  using record_map = std::unordered_map<query_fingerprint, record>;

  record &recordOf(query_fingerprint Fingerprint);
  void makeRoom();

  const clock &Clock;
  poison_timing Timing;
  record_map Records;
};

} // namespace masticproxy

#endif
