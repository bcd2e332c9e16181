#ifndef MASTICPROXY_CTL_FAN_OUT_H
#define MASTICPROXY_CTL_FAN_OUT_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticproxy {

struct vm_event;

/// \brief One attempt of a request, from its beginning to its end.
struct attempt_span {
  /// VM that made it.
  std::string Vm;
  std::string Shard;
  /// Address of the upstream, or name of the VM that was asked instead.
  std::string Upstream;
  /// `first`, `hedge`, `retry` or `relay`.
  std::string Kind;
  /// Microseconds after the first event of the request; nothing where the
  /// event gave way to newer ones.
  std::optional<std::int64_t> Begin;
  /// Nothing while it is out.
  std::optional<std::int64_t> End;
  /// How it ended; `open` while it is out.
  std::string Ending;
};

/// \brief All attempts of one request, in the order of their hybrid times.
struct fan_out {
  std::string RequestId;
  /// What the caller was told; empty where it is not known.
  std::string Outcome;
  /// Microseconds from the first event of the request to the last.
  std::int64_t Length = 0;
  std::vector<attempt_span> Attempts;
  /// VMs that gave no events: attempts may be missing.
  std::vector<std::string> Unreached;
};

/// \returns the fan-out of the request that all of \p Events, in causal order,
/// belong to.
fan_out toFanOut(std::span<const vm_event> Events);

} // namespace masticproxy

#endif
