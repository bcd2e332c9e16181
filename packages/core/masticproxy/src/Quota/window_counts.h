#ifndef MASTICPROXY_QUOTA_WINDOW_COUNTS_H
#define MASTICPROXY_QUOTA_WINDOW_COUNTS_H

#include "masticproxy/src/Base/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticproxy {

/// \brief Counts events in a sliding window, by \p Slots parts of its length.
///
/// An event counts for the window's length at least, and a part longer at most.
template <std::size_t Slots> class window_counts {
public:
  explicit window_counts(duration Window)
      : SlotLength(std::max<duration>(Window / Slots, duration(1))) {}

  /// Records \p Count events at \p Time; those that have left the window are
  /// not counted.
  void add(std::uint32_t Count, time_point Time) {
    std::int64_t Slot = Time.time_since_epoch() / SlotLength;
    if (Slot > Newest)
      advance(Time);
    if (Slot + static_cast<std::int64_t>(Counts.size()) <= Newest)
      return;
    countOf(Slot) += Count;
    Sum += Count;
  }

  /// \returns the events of the window that ends at \p Now.
  std::uint64_t sum(time_point Now) {
    advance(Now);
    return Sum;
  }

  /// \returns the events of each part of the window that ends at \p Now, those
  /// of the newest part, which may have just begun, first.
  std::vector<std::uint32_t> byAge(time_point Now) {
    advance(Now);
    std::vector<std::uint32_t> Result;
    for (std::size_t Age = 0; Age < Counts.size(); ++Age)
      Result.push_back(countOf(Newest - static_cast<std::int64_t>(Age)));
    return Result;
  }

  /// \returns the time until fewer than \p Count events are in the window;
  /// the whole window at most.
  duration untilBelow(std::uint64_t Count, time_point Now) {
    advance(Now);
    std::uint64_t Left = Sum;
    for (std::size_t Age = Counts.size(); Age-- > 0;) {
      std::int64_t Slot = Newest - static_cast<std::int64_t>(Age);
      if (Left < Count)
        return duration(0);
      Left -= countOf(Slot);
      if (Left < Count) {
        time_point Leaves(SlotLength *
                          (Slot + static_cast<std::int64_t>(Counts.size())));
        return std::max(duration(0), Leaves - Now);
      }
    }
    return SlotLength * Slots;
  }

private:
  std::uint32_t &countOf(std::int64_t Slot) {
    return Counts[static_cast<std::size_t>(Slot) % Counts.size()];
  }

  /// Drops what has left the window.
  void advance(time_point Now) {
    std::int64_t Present = Now.time_since_epoch() / SlotLength;
    std::int64_t First =
        std::max(Newest + 1, Present - static_cast<std::int64_t>(Slots));
    for (std::int64_t Slot = First; Slot <= Present; ++Slot) {
      Sum -= countOf(Slot);
      countOf(Slot) = 0;
    }
    Newest = std::max(Newest, Present);
  }

  duration SlotLength;
  /// By the number of the part, modulo the size; one more, as the newest part
  /// has just begun.
  std::array<std::uint32_t, Slots + 1> Counts{};
  std::int64_t Newest = 0;
  std::uint64_t Sum = 0;
};

/// The tokens that a granter gave, to a fiftieth of the window.
using window_ledger = window_counts<50>;

/// The tokens that a VM used, as it reports them to the granter.
inline constexpr std::size_t ReportedParts = 5;
using recent_use = window_counts<ReportedParts>;

} // namespace masticproxy

#endif
