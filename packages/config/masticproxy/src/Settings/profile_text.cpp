#include "masticproxy/src/Settings/profile_text.h"

#include "masticproxy/src/Query/profile.h"
#include "masticproxy/src/Settings/checked_values.h"

#include <array>
#include <charconv>
#include <sstream>

using namespace masticproxy;

namespace {

/// Room for any number of its shortest form.
constexpr std::size_t NumberBytes = 32;

/// \returns the shortest text that reads as \p Number.
std::string shortest(double Number) {
  std::array<char, NumberBytes> Text{};
  char *End = std::to_chars(Text.data(), Text.data() + Text.size(), Number).ptr;
  return {Text.data(), End};
}

} // namespace

profile masticproxy::readProfile(std::string_view Text, std::string_view Name) {
  checked_values Values = checked_values::read(Text, Name, profileSpecs());
  profile Profile;
  Profile.Name = std::string(Name);
  Profile.Wait = Values.span("wait");
  Profile.Coverage = Values.number("coverage");
  Profile.MayRepeat = Values.flag("may_repeat");
  return Profile;
}

std::string masticproxy::profileText(const profile &Profile) {
  std::ostringstream Text;
  Text << "wait = \"" << Profile.Wait.count() << "ms\"\n";
  Text << "coverage = " << shortest(Profile.Coverage) << "\n";
  Text << "may_repeat = " << (Profile.MayRepeat ? "true" : "false") << "\n";
  return Text.str();
}
