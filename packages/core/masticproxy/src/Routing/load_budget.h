#ifndef MASTICPROXY_ROUTING_LOAD_BUDGET_H
#define MASTICPROXY_ROUTING_LOAD_BUDGET_H

namespace masticproxy {

/// \brief Shares and bounds of a load_budget.
struct load_budget_limits {
  /// Further attempts earned by one first attempt, for hedges and retries.
  double CommonShare = 0.045;
  /// Further attempts earned by one first attempt, for retries alone.
  double RetryShare = 0.045;
  /// Attempts that each of the two balances holds at the start.
  double Initial = 8;
  /// Maximum number of attempts that each of the two balances can hold.
  double Capacity = 10;
};

/// \brief Bounds the attempts made beyond the first at each shard.
///
/// Over any span it grants at most CommonShare of the first attempts to
/// hedges, and at most CommonShare + RetryShare to hedges and retries
/// together, in addition to the balances at the start of the span. Including
/// these balances, that is at most 5 % and 10 % of any 2000 first attempts.
class load_budget {
public:
  load_budget() : load_budget(load_budget_limits{}) {}
  explicit load_budget(load_budget_limits Limits);

  /// Records a first attempt, which earns a share of a further one.
  void firstAttempt();

  /// \returns whether a hedge may be sent now, and deducts it if so.
  bool takeHedge();

  /// \returns whether a retry may be sent now, and deducts it if so.
  bool takeRetry();

  /// \returns whether takeRetry() would grant one.
  bool hasRetry() const;

private:
  load_budget_limits Limits;
  double CommonBalance;
  double RetryBalance;
};

} // namespace masticproxy

#endif
