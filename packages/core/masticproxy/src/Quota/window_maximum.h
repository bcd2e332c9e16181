#ifndef MASTICPROXY_QUOTA_WINDOW_MAXIMUM_H
#define MASTICPROXY_QUOTA_WINDOW_MAXIMUM_H

#include "masticproxy/src/Base/clock.h"

#include <deque>

namespace masticproxy {

/// \brief The greatest value that a quantity had within a sliding window.
class window_maximum {
public:
  explicit window_maximum(duration Window) : Window(Window) {}

  /// Records the \p Value that holds from \p Now on. \returns the greatest one
  /// of the window that ends then.
  double record(double Value, time_point Now) {
    // A value held until the next one was recorded.
    while (Held.size() > 1 && Held[1].Since + Window <= Now)
      Held.pop_front();
    while (!Held.empty() && Held.back().Value <= Value)
      Held.pop_back();
    Held.push_back({Value, Now});
    return Held.front().Value;
  }

private:
  struct sample {
    double Value = 0;
    time_point Since{};
  };

  duration Window;
  /// Falling values; each held until the next one began at the latest.
  std::deque<sample> Held;
};

} // namespace masticproxy

#endif
