#ifndef MASTICPROXY_DAEMON_CONTROL_ACTOR_H
#define MASTICPROXY_DAEMON_CONTROL_ACTOR_H

#include <caf/all.hpp>

#include <chrono>

CAF_BEGIN_TYPE_ID_BLOCK(masticproxy_control, caf::first_custom_type_id)
CAF_ADD_ATOM(masticproxy_control, masticproxy, wake_atom, "wake")
CAF_ADD_ATOM(masticproxy_control, masticproxy, beat_atom, "beat")
CAF_ADD_ATOM(masticproxy_control, masticproxy, leave_atom, "leave")
CAF_END_TYPE_ID_BLOCK(masticproxy_control)

namespace masticproxy {

class control_duty;
class counter_registry;

/// \brief The thread of the control duty, as a detached CAF actor.
///
/// What others send to the duty waits in bounded rings; the mailbox, which is
/// not bounded, only carries wake-ups.
class control_actor : public caf::event_based_actor {
public:
  control_actor(caf::actor_config &Config, control_duty &Duty,
                counter_registry &Counters,
                std::chrono::milliseconds HeartbeatInterval);

  caf::behavior make_behavior() override;

private:
  template <typename Action> void run(Action Do);

  control_duty &Duty;
  counter_registry &Counters;
  std::chrono::milliseconds HeartbeatInterval;
};

} // namespace masticproxy

#endif
