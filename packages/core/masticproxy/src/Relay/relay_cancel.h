#ifndef MASTICPROXY_RELAY_RELAY_CANCEL_H
#define MASTICPROXY_RELAY_RELAY_CANCEL_H

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief Says that the result of a relayed attempt is not needed any more.
struct relay_cancel {
  std::string Origin;
  std::uint64_t Incarnation = 0;
  std::uint64_t Attempt = 0;

  bool operator==(const relay_cancel &) const = default;
};

} // namespace masticproxy

#endif
