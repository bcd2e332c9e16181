#ifndef MASTICPROXY_RELAY_REPLAY_WINDOW_H
#define MASTICPROXY_RELAY_REPLAY_WINDOW_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticproxy {

/// \brief Remembers which of the newest numbers were seen, in bounded memory.
class replay_window {
public:
  /// Numbers that are told apart; older ones count as too old.
  static constexpr std::uint64_t Span = 65536;

  /// What is known of a number.
  enum class verdict {
    /// Not seen before.
    New,
    /// Seen before.
    Seen,
    /// Too far behind the newest to tell.
    TooOld,
  };

  replay_window() : Bits(Span) {}

  /// Notes \p Number. \returns what was known of it before.
  verdict note(std::uint64_t Number);

private:
  std::vector<bool> Bits;
  std::uint64_t Newest = 0;
};

} // namespace masticproxy

#endif
