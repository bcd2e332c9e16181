#include "masticproxy/src/Cluster/rendezvous.h"

#include <xxhash.h>

using namespace masticproxy;

std::uint64_t masticproxy::rendezvousWeight(std::string_view Key,
                                            std::string_view Candidate) {
  std::uint64_t Seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Candidate.data(), Candidate.size(), Seed);
}
