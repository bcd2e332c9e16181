#ifndef MASTICPROXY_ROUTING_POLICY_TUNING_H
#define MASTICPROXY_ROUTING_POLICY_TUNING_H

#include "masticproxy/src/Routing/window_budget.h"

namespace masticproxy {

/// \brief Settings of hedges, of the cost of upstreams and of extra load.
struct policy_tuning {
  /// Share of attempts that are expected to end before they are hedged.
  double HedgeQuantile = 0.97;
  /// Multiple of that quantile after which an attempt is hedged.
  double HedgeFactor = 1.0;
  /// Cost of an upstream of another data centre relative to one of this VM's
  /// own.
  double RemoteCost = 1.0;
  /// Additional cost of an upstream at which every attempt is refused, fails or
  /// has to be hedged, in multiples of the usual cost.
  double TroubleCost = 0.0;
  /// Bounds of the budget of each shard of forwarded requests.
  window_budget_limits PerShard = {};
};

} // namespace masticproxy

#endif
