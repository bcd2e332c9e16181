#include "masticproxy/src/Routing/routing_policy.h"

using namespace masticproxy;

policy_name masticproxy::toPolicyName(std::string_view Name) {
  return Name == "naive" ? policy_name::Naive : policy_name::Adaptive;
}

routing_policy masticproxy::makePolicy(policy_name Name, unsigned Seed,
                                       policy_tuning Tuning) {
  if (Name == policy_name::Naive)
    return naive_policy(Seed);
  return adaptive_policy(Seed, Tuning);
}
