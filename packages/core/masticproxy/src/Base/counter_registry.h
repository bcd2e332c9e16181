#ifndef MASTICPROXY_BASE_COUNTER_REGISTRY_H
#define MASTICPROXY_BASE_COUNTER_REGISTRY_H

#include "masticproxy/src/Base/counter.h"
#include "masticproxy/src/Base/histogram.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace masticproxy {

/// \brief All counters and histograms of a process, by name.
/// \sa counter
class counter_registry {
public:
  /// \returns the counter called \p Name with \p Labels (in the Prometheus
  /// form `key="value"`), made at the first call; valid for the registry's
  /// life.
  counter &get(std::string_view Name, std::string_view Labels = {});

  /// \returns the histogram called \p Name with \p Labels, made and kept like
  /// a counter.
  histogram &spans(std::string_view Name, std::string_view Labels = {});

  /// \returns all of them in the Prometheus text form.
  std::string prometheusText() const;

private:
  /// Name and labels.
  using histogram_key = std::pair<std::string, std::string>;

  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<counter>, std::less<>> Counters;
  std::map<histogram_key, std::unique_ptr<histogram>> Histograms;
};

} // namespace masticproxy

#endif
