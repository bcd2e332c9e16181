#ifndef MASTICPROXY_STANDINS_LOAD_RUN_H
#define MASTICPROXY_STANDINS_LOAD_RUN_H

#include "masticproxy/src/StandIns/load_result.h"
#include "masticproxy/src/StandIns/open_loop.h"

#include <string>
#include <vector>

namespace masticproxy {

/// \brief What a load run over entry VMs sends.
struct load_plan {
  /// Addresses of the entry VMs, asked in turn.
  std::vector<std::string> Targets;
  std::string Index;
  std::string Profile;
  std::string Body = "{}";
  open_loop_plan Loop;
};

/// Runs \p Plan as an open loop on the calling thread.
load_result runLoad(const load_plan &Plan);

} // namespace masticproxy

#endif
