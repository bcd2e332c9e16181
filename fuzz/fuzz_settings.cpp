/// \file
/// Fuzzes the settings and profile readers: any text gives values or problems.

#include "masticproxy/Query"
#include "masticproxy/Settings"

using namespace masticproxy;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  try {
    readNodeSettings(Text, "settings");
  } catch (const settings_error &) {
  }
  try {
    readProfile(Text, "profile");
  } catch (const settings_error &) {
  }
  return 0;
}
