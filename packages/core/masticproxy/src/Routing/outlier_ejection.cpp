#include "masticproxy/src/Routing/outlier_ejection.h"

#include <algorithm>
#include <cstddef>

using namespace masticproxy;

namespace {

/// At most one of this many replicas may be ejected.
constexpr std::size_t EjectionDivisor = 3;

} // namespace

std::vector<bool> masticproxy::ejectedReplicas(std::span<const candidate> Set,
                                               time_point Now) {
  std::vector<bool> Ejected(Set.size());
  std::vector<std::size_t> Suspects;
  for (std::size_t I = 0; I < Set.size(); ++I)
    if (Set[I].Health->isSuspect(Now))
      Suspects.push_back(I);
  if (2 * Suspects.size() > Set.size())
    return Ejected;
  std::stable_sort(
      Suspects.begin(), Suspects.end(), [Set](std::size_t A, std::size_t B) {
        return Set[A].Health->failures() > Set[B].Health->failures();
      });
  std::size_t MaxEjected =
      std::min(Set.size() / EjectionDivisor, Suspects.size());
  for (std::size_t I = 0; I < MaxEjected; ++I)
    Ejected[Suspects[I]] = true;
  return Ejected;
}
