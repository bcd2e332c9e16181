#ifndef MASTICPROXY_POISON_POISON_TIMING_H
#define MASTICPROXY_POISON_POISON_TIMING_H

#include <chrono>

namespace masticproxy {

/// \brief How long queries stay suspect or condemned, and when that is shared.
struct poison_timing {
  /// Rounds of deaths after which a query is condemned.
  static constexpr unsigned RoundsToCondemn = 2;

  /// Time for which a query stays suspect after a death, or after it was
  /// condemned.
  std::chrono::milliseconds SuspectFor = std::chrono::minutes(30);
  /// Time for which a query is condemned after its second round of deaths; each
  /// further round multiplies it by CondemnGrowth.
  std::chrono::milliseconds CondemnFor = std::chrono::minutes(5);
  unsigned CondemnGrowth = 4;
  /// Time for which an attempt without a response is remembered, so that a
  /// later sign that its upstream ended still counts. Deaths that may have a
  /// common cause are remembered as long.
  std::chrono::milliseconds LostFor = std::chrono::seconds(15);
  /// Time that a suspicion must last before other VMs are told through the
  /// platform. Most innocent queries are answered before.
  std::chrono::milliseconds ShareAfter{500};
  /// Suspects, not condemned, that a VM shares in a burst, and the time in
  /// which one more is allowed. It bounds the writes of all VMs together.
  unsigned ShareBurst = 4;
  std::chrono::milliseconds ShareInterval{2500};

  /// \returns how long a query is condemned after the last of \p Rounds rounds
  /// of deaths; 0 if it is not.
  std::chrono::milliseconds condemnedFor(unsigned Rounds) const;

  /// \returns how long after the last of \p Rounds rounds of deaths a query is
  /// forgotten.
  std::chrono::milliseconds forgottenAfter(unsigned Rounds) const {
    return condemnedFor(Rounds) + SuspectFor;
  }
};

} // namespace masticproxy

#endif
