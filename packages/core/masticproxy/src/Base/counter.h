#ifndef MASTICPROXY_BASE_COUNTER_H
#define MASTICPROXY_BASE_COUNTER_H

#include <atomic>
#include <cstdint>

namespace masticproxy {

/// \brief A number that any thread may change and any thread may read.
class counter {
public:
  /// Adds \p Amount.
  void add(std::int64_t Amount = 1) noexcept {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }

  /// Replaces the value; for gauges.
  void set(std::int64_t NewValue) noexcept {
    Value.store(NewValue, std::memory_order_relaxed);
  }

  /// \returns the current value.
  std::int64_t value() const noexcept {
    return Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> Value{0};
};

} // namespace masticproxy

#endif
