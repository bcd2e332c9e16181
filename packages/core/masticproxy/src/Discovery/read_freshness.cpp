#include "masticproxy/src/Discovery/read_freshness.h"

using namespace masticproxy;

namespace {

/// Longest lag of a copy that is reckoned with.
constexpr std::chrono::milliseconds LongestLag{2000};

/// Longest time from the news to their being in force on a VM short of
/// processor time: the pause in which changes gather, and the catalogue.
constexpr std::chrono::milliseconds ApplyTime{1500};

} // namespace

read_freshness masticproxy::watchFreshness(duration Within) {
  return Within >= LongestLag + ApplyTime ? read_freshness::MayLag
                                          : read_freshness::Newest;
}
