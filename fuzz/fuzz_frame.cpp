/// \file
/// Fuzzes the frames between VMs: any bytes give messages or one error.

#include "masticproxy/Wire"

#include <cstdlib>

using namespace masticproxy;

namespace {

/// A message that was decoded must survive being encoded again.
void checkMessage(std::string_view Payload) {
  auto Decoded = decodePeerFrame(Payload);
  auto *Frame = std::get_if<peer_frame>(&Decoded);
  if (!Frame)
    return;
  auto Again = decodePeerFrame(encodePeerMessage(Frame->Message, Frame->Stamp));
  const auto &Same = std::get<peer_frame>(Again);
  if (Same.Message != Frame->Message || !(Same.Stamp == Frame->Stamp))
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  checkMessage(Bytes);
  frame_reader Reader;
  Reader.append(Bytes);
  while (auto Frame = Reader.next()) {
    auto *Payload = std::get_if<std::string>(&*Frame);
    if (!Payload)
      break;
    checkMessage(*Payload);
  }
  return 0;
}
