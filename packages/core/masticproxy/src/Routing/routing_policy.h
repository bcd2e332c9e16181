#ifndef MASTICPROXY_ROUTING_ROUTING_POLICY_H
#define MASTICPROXY_ROUTING_ROUTING_POLICY_H

#include "masticproxy/src/Routing/adaptive_policy.h"
#include "masticproxy/src/Routing/naive_policy.h"

#include <string_view>
#include <variant>

namespace masticproxy {

/// \brief Chooses the replicas of attempts and decides on hedges and retries.
using routing_policy = std::variant<adaptive_policy, naive_policy>;

/// \brief Names a routing_policy.
enum class policy_name { Adaptive, Naive };

/// \returns the policy that the settings call \p Name; the adaptive one if the
/// name is unknown.
policy_name toPolicyName(std::string_view Name);

/// \returns a policy of the kind \p Name, with random choices seeded by
/// \p Seed.
routing_policy makePolicy(policy_name Name, unsigned Seed,
                          policy_tuning Tuning = {});

} // namespace masticproxy

#endif
