#ifndef MASTICPROXY_STANDINS_DIRECT_RUN_H
#define MASTICPROXY_STANDINS_DIRECT_RUN_H

#include "masticproxy/src/StandIns/load_result.h"
#include "masticproxy/src/StandIns/open_loop.h"

#include <string>

namespace masticproxy {

struct index_map;

/// \brief A load run that asks the upstreams without an entry VM between.
struct direct_plan {
  std::string Body = "{}";
  open_loop_plan Loop;
};

/// Asks every shard of \p Map for each request, replicas in turn, by a client
/// that is nothing but Boost.Beast: no retries, no limits, no merge.
load_result runDirect(const index_map &Map, const direct_plan &Plan);

} // namespace masticproxy

#endif
