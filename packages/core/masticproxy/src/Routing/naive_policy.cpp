#include "masticproxy/src/Routing/naive_policy.h"

using namespace masticproxy;

const replica *naive_policy::choose(std::span<const candidate> Set,
                                    time_point Now) {
  const replica *Chosen = nullptr;
  unsigned Open = 0;
  for (const candidate &Candidate : Set)
    if (Candidate.isOpen(Now) && Random() % ++Open == 0)
      Chosen = Candidate.Replica;
  return Chosen;
}
