#include "masticproxy/src/Relay/replay_window.h"

#include <algorithm>

using namespace masticproxy;

replay_window::verdict replay_window::note(std::uint64_t Number) {
  if (Number + Span <= Newest)
    return verdict::TooOld;
  if (Number > Newest) {
    // The places between the two held numbers that have now become too old.
    std::uint64_t Steps = std::min(Number - Newest, Span);
    for (std::uint64_t I = 0; I < Steps; ++I)
      Bits[(Number - I) % Span] = false;
    Newest = Number;
  }
  if (Bits[Number % Span])
    return verdict::Seen;
  Bits[Number % Span] = true;
  return verdict::New;
}
