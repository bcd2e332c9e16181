#ifndef MASTICPROXY_ROUTING_ROUTING_POLICY_H
#define MASTICPROXY_ROUTING_ROUTING_POLICY_H

#include "masticproxy/src/Routing/adaptive_policy.h"
#include "masticproxy/src/Routing/naive_policy.h"

#include <string_view>
#include <variant>

namespace masticproxy {

/// \brief How attempts are placed, hedged and retried.
using routing_policy = std::variant<adaptive_policy, naive_policy>;

/// \brief Names a routing_policy.
enum class policy_name { Adaptive, Naive };

/// \returns the policy called \p Name in the settings; any unknown name is
/// the adaptive one.
policy_name toPolicyName(std::string_view Name);

/// \returns the policy \p Name, with draws fixed by \p Seed.
routing_policy makePolicy(policy_name Name, unsigned Seed,
                          policy_tuning Tuning = {});

} // namespace masticproxy

#endif
