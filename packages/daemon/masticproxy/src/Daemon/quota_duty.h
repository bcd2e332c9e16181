#ifndef MASTICPROXY_DAEMON_QUOTA_DUTY_H
#define MASTICPROXY_DAEMON_QUOTA_DUTY_H

#include "masticproxy/src/Daemon/granter_thread.h"
#include "masticproxy/src/Daemon/quota_service.h"

#include <cstdint>
#include <optional>

namespace masticproxy {

class engine_thread;
struct node_settings;
struct quota_gate_settings;

/// \brief All that this VM does for quotas besides the decisions of its engine:
/// the granter's lease and the messages between VMs.
class quota_duty {
public:
  /// \p Incarnation names this start of the process; the others have to outlive
  /// it. Settings.QuotaAddress must not be empty.
  quota_duty(const node_settings &Settings, std::uint64_t Incarnation,
             const clock &BootClock, granter_storage &Storage,
             loop_thread &EngineLoop, engine_thread &Engine,
             counter_registry &Counters);

  /// \returns the settings of the engine's quotas; empty if they are off.
  static std::optional<quota_gate_settings>
  gateSettings(const node_settings &Settings, std::uint64_t Incarnation,
               const clock &BootClock);

  /// Begins to listen, and to follow the lease. \throws std::runtime_error if
  /// the address can't be used.
  void start();

  /// Lets another VM take the lease.
  void leave() { Lease.leave(); }

  /// Ends the thread of the lease.
  void stop() { Lease.stop(); }

  /// Closes all connections; on the engine's thread, or after its end.
  void close() { Service.stop(); }

private:
  loop_thread &Loop;
  engine_thread &Engine;
  quota_service Service;
  granter_thread Lease;
};

} // namespace masticproxy

#endif
