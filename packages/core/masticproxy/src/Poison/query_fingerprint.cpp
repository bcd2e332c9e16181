#include "masticproxy/src/Poison/query_fingerprint.h"

#include <xxhash.h>

using namespace masticproxy;

query_fingerprint masticproxy::fingerprintOf(std::string_view Index,
                                             std::string_view Body) {
  return XXH3_64bits_withSeed(Body.data(), Body.size(),
                              XXH3_64bits(Index.data(), Index.size()));
}
