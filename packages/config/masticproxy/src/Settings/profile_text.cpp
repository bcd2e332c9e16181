#include "masticproxy/src/Settings/profile_text.h"

#include "masticproxy/src/Query/profile.h"
#include "masticproxy/src/Settings/checked_values.h"

using namespace masticproxy;

profile masticproxy::readProfile(std::string_view Text, std::string_view Name) {
  checked_values Values = checked_values::read(Text, Name, profileSpecs());
  profile Profile;
  Profile.Name = std::string(Name);
  Profile.Wait = Values.span("wait");
  Profile.Coverage = Values.number("coverage");
  Profile.MayRepeat = Values.flag("may_repeat");
  return Profile;
}
