#ifndef MASTICPROXY_DRAIN_DRAIN_NOTICE_H
#define MASTICPROXY_DRAIN_DRAIN_NOTICE_H

#include <chrono>
#include <string>

namespace masticproxy {

/// \brief Sent by one VM to the others of its data centre: an upstream refused
/// the VM's work because it is draining.
struct drain_notice {
  std::string Upstream;
  /// Time since the last such refusal of an attempt of the sender itself.
  std::chrono::milliseconds Age{0};

  bool operator==(const drain_notice &) const = default;
};

} // namespace masticproxy

#endif
