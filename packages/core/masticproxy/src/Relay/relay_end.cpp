#include "masticproxy/src/Relay/relay_end.h"

#include "masticproxy/src/Query/engine_event.h"

using namespace masticproxy;

attempt_failure masticproxy::attemptFailureOf(relay_end End) {
  switch (End) {
  case relay_end::NotSent:
    return attempt_failure::NotSent;
  case relay_end::Refused:
  case relay_end::RefusedLeaving:
    return attempt_failure::Refused;
  case relay_end::RefusedSnapshot:
    return attempt_failure::SnapshotGone;
  case relay_end::Unknown:
  case relay_end::ConnectionLost:
  case relay_end::Silent:
    break;
  }
  return attempt_failure::Unknown;
}

relay_end masticproxy::endOf(refusal_reason Reason) {
  if (Reason == refusal_reason::Leaving)
    return relay_end::RefusedLeaving;
  if (Reason == refusal_reason::SnapshotUnknown)
    return relay_end::RefusedSnapshot;
  return relay_end::Refused;
}

std::string_view masticproxy::toString(relay_end End) {
  switch (End) {
  case relay_end::NotSent:
    return "not_sent";
  case relay_end::Refused:
    return "refused";
  case relay_end::RefusedSnapshot:
    return "refused_snapshot";
  case relay_end::RefusedLeaving:
    return "refused_leaving";
  case relay_end::Unknown:
    return "unknown";
  case relay_end::ConnectionLost:
    return "connection_lost";
  case relay_end::Silent:
    return "silent";
  }
  return "unknown";
}
