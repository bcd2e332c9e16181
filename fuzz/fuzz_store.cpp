/// \file
/// Fuzzes the readers of the store's answers: any bytes give objects, problems
/// or an unavailable store, and each object gives events or problems.

#include "masticproxy/Platform"
#include "masticproxy/src/Net/os_clock.h"

using namespace masticproxy;

namespace {

void readAll(const object_codec &Codec, const http_response &Answer) {
  std::vector<std::string> Problems;
  auto Page = Codec.readPage(Answer);
  if (auto *Read = std::get_if<object_page>(&Page))
    Codec.readList(Read->Objects, Problems);
  auto Watched = Codec.readChanges(Answer);
  if (auto *Read = std::get_if<platform_changes>(&Watched))
    for (const platform_object &Object : Read->Objects)
      Codec.readChange(Object, Problems);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static const os_clock Clock;
  http_response Answer;
  Answer.Body.assign(reinterpret_cast<const char *>(Data), Size);
  readAll(platform::upstream_codec(), Answer);
  readAll(platform::configuration_codec(), Answer);
  readAll(platform::suspicion_codec(Clock), Answer);
  return 0;
}
