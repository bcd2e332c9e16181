#include "masticproxy/src/Wire/frame_reader.h"

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

using namespace masticproxy;

namespace {

constexpr std::size_t VersionOffset = 4;
constexpr std::size_t ChannelOffset = 6;
constexpr std::size_t ChecksumOffset = 8;

std::uint32_t checksum(std::string_view Payload) {
  return XXH32(Payload.data(), Payload.size(), /*seed=*/0);
}

template <typename T> void appendLittle(std::string &Out, T Value) {
  boost::endian::native_to_little_inplace(Value);
  Out.append(reinterpret_cast<const char *>(&Value), sizeof Value);
}

template <typename T> T loadLittle(const std::string &In, std::size_t Offset) {
  return boost::endian::endian_load<T, sizeof(T), boost::endian::order::little>(
      reinterpret_cast<const unsigned char *>(In.data() + Offset));
}

} // namespace

std::string masticproxy::makeFrame(std::string_view Payload,
                                   frame_channel Channel) {
  std::string Frame;
  Frame.reserve(FrameHeaderBytes + Payload.size());
  appendLittle(Frame, static_cast<std::uint32_t>(Payload.size()));
  appendLittle(Frame, ProtocolVersion);
  appendLittle(Frame, static_cast<std::uint16_t>(Channel));
  appendLittle(Frame, checksum(Payload));
  Frame.append(Payload);
  return Frame;
}

std::optional<std::variant<std::string, frame_error>> frame_reader::next() {
  if (Buffer.size() < FrameHeaderBytes)
    return std::nullopt;
  auto Length = loadLittle<std::uint32_t>(Buffer, 0);
  if (Length > MaxFrameBytes)
    return frame_error::TooLong;
  if (loadLittle<std::uint16_t>(Buffer, VersionOffset) != ProtocolVersion)
    return frame_error::WrongVersion;
  if (Buffer.size() < FrameHeaderBytes + Length)
    return std::nullopt;
  std::string Payload = Buffer.substr(FrameHeaderBytes, Length);
  if (loadLittle<std::uint32_t>(Buffer, ChecksumOffset) != checksum(Payload))
    return frame_error::WrongChecksum;
  Buffer.erase(0, FrameHeaderBytes + Length);
  return Payload;
}

std::optional<frame_channel> frame_reader::channel() const {
  if (Buffer.size() < FrameHeaderBytes)
    return std::nullopt;
  auto Value = loadLittle<std::uint16_t>(Buffer, ChannelOffset);
  return Value == static_cast<std::uint16_t>(frame_channel::Relay)
             ? frame_channel::Relay
             : frame_channel::Control;
}
