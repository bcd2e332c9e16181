#ifndef MASTICPROXY_BASE_PUBLISHED_H
#define MASTICPROXY_BASE_PUBLISHED_H

#include <memory>
#include <mutex>
#include <utility>

namespace masticproxy {

/// \brief The newest immutable value of \p T, handed from one thread to others.
template <typename T> class published {
public:
  /// Replaces the value.
  void set(std::shared_ptr<const T> NewValue) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Value = std::move(NewValue);
  }

  /// \returns the newest value, or null before the first set().
  std::shared_ptr<const T> get() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Value;
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const T> Value;
};

} // namespace masticproxy

#endif
