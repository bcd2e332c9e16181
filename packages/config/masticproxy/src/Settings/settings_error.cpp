#include "masticproxy/src/Settings/settings_error.h"

#include <algorithm>

using namespace masticproxy;

namespace {

std::string joined(std::span<const settings_problem> Problems) {
  std::string Text;
  for (const settings_problem &Problem : Problems) {
    if (!Text.empty())
      Text.append("\n");
    Text.append(Problem.text());
  }
  return Text;
}

std::vector<settings_problem> sorted(std::vector<settings_problem> Problems) {
  std::stable_sort(Problems.begin(), Problems.end(),
                   [](const settings_problem &A, const settings_problem &B) {
                     return A.Line < B.Line;
                   });
  return Problems;
}

} // namespace

settings_error::settings_error(std::vector<settings_problem> NewProblems)
    : std::runtime_error(joined(NewProblems)),
      Problems(sorted(std::move(NewProblems))) {}
