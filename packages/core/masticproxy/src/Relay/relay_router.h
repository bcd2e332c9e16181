#ifndef MASTICPROXY_RELAY_RELAY_ROUTER_H
#define MASTICPROXY_RELAY_RELAY_ROUTER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/member_info.h"
#include "masticproxy/src/Relay/relay_end.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

struct shard;

/// \brief Chooses the VM of another data centre that runs an attempt.
class relay_router {
public:
  /// Replaces the VMs of other data centres.
  void setRemotes(std::vector<member_info> NewRemotes);

  /// \returns the VM to ask for \p Shard, whose data centre has a replica, or
  /// null. VMs in \p Tried and VMs that failed of late are passed over.
  const member_info *choose(const shard &Shard,
                            std::span<const std::string> Tried,
                            time_point Now) const;

  /// Notes that an attempt goes to \p Vm.
  void attemptStarted(std::string_view Vm);

  /// Notes that \p Vm answered an attempt.
  void attemptAnswered(std::string_view Vm);

  /// Notes that an attempt at \p Vm ended without a result.
  void attemptFailed(std::string_view Vm, relay_end End, time_point Now);

private:
  struct vm_state {
    unsigned InFlight = 0;
    unsigned Failures = 0;
    time_point AvoidUntil{};
  };

  bool usable(const member_info &Vm, time_point Now) const;
  unsigned inFlight(std::string_view Vm) const;
  vm_state &endAttempt(std::string_view Vm);

  std::vector<member_info> Remotes;
  std::map<std::string, vm_state, std::less<>> States;
};

} // namespace masticproxy

#endif
