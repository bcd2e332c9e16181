#ifndef MASTICPROXY_BASE_COUNTER_REGISTRY_H
#define MASTICPROXY_BASE_COUNTER_REGISTRY_H

#include "masticproxy/src/Base/counter.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief All counters of a process, by name.
/// \sa counter
class counter_registry {
public:
  /// \returns the counter called \p Name with \p Labels (in the Prometheus
  /// form `key="value"`), made at the first call; valid for the registry's
  /// life.
  counter &get(std::string_view Name, std::string_view Labels = {});

  /// \returns all counters in the Prometheus text form.
  std::string prometheusText() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<counter>, std::less<>> Counters;
};

} // namespace masticproxy

#endif
