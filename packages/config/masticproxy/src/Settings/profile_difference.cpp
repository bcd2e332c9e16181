#include "masticproxy/src/Settings/profile_difference.h"

#include "masticproxy/src/Settings/checked_values.h"
#include "masticproxy/src/Settings/key_spec.h"

#include <sstream>

using namespace masticproxy;

namespace {

std::string valueText(const checked_values &Values, const key_spec &Spec) {
  std::ostringstream Out;
  switch (Spec.Kind) {
  case value_kind::Duration:
    Out << Values.span(Spec.Path).count() << "ms";
    break;
  case value_kind::Integer:
    Out << Values.integer(Spec.Path);
    break;
  case value_kind::Number:
    Out << Values.number(Spec.Path);
    break;
  case value_kind::Boolean:
    Out << (Values.flag(Spec.Path) ? "true" : "false");
    break;
  case value_kind::Text:
  case value_kind::Address:
  case value_kind::Choice:
    Out << Values.text(Spec.Path);
    break;
  }
  return Out.str();
}

} // namespace

std::vector<profile_difference>
masticproxy::compareProfiles(std::string_view Left, std::string_view Right) {
  checked_values LeftValues =
      checked_values::read(Left, "profile", profileSpecs());
  checked_values RightValues =
      checked_values::read(Right, "profile", profileSpecs());
  std::vector<profile_difference> Differences;
  for (const key_spec &Spec : profileSpecs()) {
    profile_difference Field{std::string(Spec.Path),
                             valueText(LeftValues, Spec),
                             valueText(RightValues, Spec)};
    if (Field.Left != Field.Right)
      Differences.push_back(std::move(Field));
  }
  return Differences;
}
