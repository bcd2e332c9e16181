/// \file
/// Fuzzes the reader of index maps: any text gives a map or problems.

#include "masticproxy/Query"
#include "masticproxy/Settings"

using namespace masticproxy;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  try {
    readIndexMap({reinterpret_cast<const char *>(Data), Size}, "index");
  } catch (const settings_error &) {
  }
  return 0;
}
