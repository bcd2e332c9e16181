#include "masticproxy/src/Routing/naive_policy.h"

using namespace masticproxy;

const replica *naive_policy::choose(std::span<const candidate> Set,
                                    time_point Now) {
  const replica *Chosen = nullptr;
  unsigned Open = 0;
  for (const candidate &One : Set)
    if (One.isOpen(Now) && Random() % ++Open == 0)
      Chosen = One.Replica;
  return Chosen;
}
