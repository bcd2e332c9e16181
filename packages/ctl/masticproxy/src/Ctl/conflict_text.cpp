#include "masticproxy/src/Ctl/conflict_text.h"

#include "masticproxy/src/Net/platform_api.h"
#include "masticproxy/src/Settings/profile_difference.h"
#include "masticproxy/src/Settings/settings_error.h"

using namespace masticproxy;

namespace {

std::string fieldLines(std::string_view Title, std::string_view LeftName,
                       std::string_view RightName,
                       const std::vector<profile_difference> &Fields) {
  std::string Text = std::string(Title) + "\n";
  for (const profile_difference &Field : Fields)
    Text += "  " + Field.Key + ": " + std::string(LeftName) + " " + Field.Left +
            ", " + std::string(RightName) + " " + Field.Right + "\n";
  if (Fields.empty())
    Text += "  no field\n";
  return Text;
}

} // namespace

std::string
masticproxy::conflictText(std::string_view Yours,
                          const platform_object &Current,
                          const std::optional<platform_object> &Before) {
  std::string Text = "It now has version " + std::to_string(Current.Version);
  try {
    if (Current.Kind != "profile" || Yours.empty())
      return Text + ":\n" + Current.Value;
    Text += ".\n";
    if (Before)
      Text += fieldLines("What the other changed:", "before", "now",
                         compareProfiles(Before->Value, Current.Value));
    Text += fieldLines("What differs from yours:", "yours", "now",
                       compareProfiles(Yours, Current.Value));
    return Text + "To write yours all the same, apply it with --if-version " +
           std::to_string(Current.Version) + ".";
  } catch (const settings_error &) {
    // A text that this version can't read is shown as it is.
    return Text + "\n" + Current.Value;
  }
}
