#include "masticproxy/src/Daemon/control_actor.h"

#include "masticproxy/src/Daemon/control_duty.h"
#include "masticproxy/src/Daemon/error_boundary.h"

using namespace masticproxy;

control_actor::control_actor(caf::actor_config &Config, control_duty &Duty,
                             counter_registry &Counters,
                             std::chrono::milliseconds HeartbeatInterval)
    : caf::event_based_actor(Config), Duty(Duty), Counters(Counters),
      HeartbeatInterval(HeartbeatInterval) {}

caf::behavior control_actor::make_behavior() {
  caf::anon_send(this, beat_atom_v);
  return {
      [this](wake_atom) { run([this] { Duty.drainRings(); }); },
      [this](beat_atom) {
        run([this] { Duty.beat(); });
        delayed_send(this, HeartbeatInterval, beat_atom_v);
      },
      [this](leave_atom) { run([this] { Duty.leave(); }); },
  };
}

template <typename Action> void control_actor::run(Action Do) {
  runContained(Counters, "control", Do);
}
