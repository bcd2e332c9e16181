#include "masticproxy/src/Daemon/control_actor.h"

#include "masticproxy/src/Daemon/control_duty.h"

using namespace masticproxy;

control_actor::control_actor(caf::actor_config &Config, control_duty &Duty,
                             std::chrono::milliseconds HeartbeatInterval)
    : caf::event_based_actor(Config), Duty(Duty),
      HeartbeatInterval(HeartbeatInterval) {}

caf::behavior control_actor::make_behavior() {
  caf::anon_send(this, beat_atom_v);
  return {
      [this](wake_atom) { Duty.drainRings(); },
      [this](beat_atom) {
        Duty.beat();
        delayed_send(this, HeartbeatInterval, beat_atom_v);
      },
      [this](leave_atom) { Duty.leave(); },
  };
}
