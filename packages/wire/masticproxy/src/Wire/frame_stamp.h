#ifndef MASTICPROXY_WIRE_FRAME_STAMP_H
#define MASTICPROXY_WIRE_FRAME_STAMP_H

#include <cstdint>

namespace masticproxy {

/// \brief The sender's hybrid time when it made a frame.
struct frame_stamp {
  std::int64_t Microseconds = 0;
  std::uint32_t Counter = 0;

  bool operator==(const frame_stamp &) const = default;
};

} // namespace masticproxy

#endif
