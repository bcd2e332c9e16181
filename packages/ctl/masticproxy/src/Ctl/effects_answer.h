#ifndef MASTICPROXY_CTL_EFFECTS_ANSWER_H
#define MASTICPROXY_CTL_EFFECTS_ANSWER_H

#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

struct vm_effect;
struct vm_report;

/// \brief One VM's answer to `/v1/effects`.
struct effects_answer {
  std::string Vm;
  /// Why there is none; empty where there is one.
  std::string Unreachable;
  /// What the VM sent; discarded where that is no JSON.
  nlohmann::json Root;
};

/// \returns the answers in \p Reports, in their order.
std::vector<effects_answer> readAnswers(std::span<const vm_report> Reports);

/// \returns what each of \p Answers says of the profile called \p Name.
std::vector<vm_effect> effectsIn(std::span<const effects_answer> Answers,
                                 std::string_view Name);

/// \returns the names of the profiles in \p Answers.
std::set<std::string> profilesIn(std::span<const effects_answer> Answers);

} // namespace masticproxy

#endif
