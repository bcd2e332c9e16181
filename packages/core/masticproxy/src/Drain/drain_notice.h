#ifndef MASTICPROXY_DRAIN_DRAIN_NOTICE_H
#define MASTICPROXY_DRAIN_DRAIN_NOTICE_H

#include <chrono>
#include <string>

namespace masticproxy {

/// \brief What one VM tells the others of its data centre about an upstream
/// that refused its work because it is leaving.
struct drain_notice {
  std::string Upstream;
  /// Time since the last such refusal that the sender met itself.
  std::chrono::milliseconds Age{0};

  bool operator==(const drain_notice &) const = default;
};

} // namespace masticproxy

#endif
