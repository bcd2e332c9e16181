#ifndef MASTICPROXY_QUERY_ENGINE_COMMAND_H
#define MASTICPROXY_QUERY_ENGINE_COMMAND_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_wanted.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/query_outcome.h"

#include <memory>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief Send one shard's part of a request to an upstream.
struct send_attempt {
  attempt_id Attempt = 0;
  std::string RequestId;
  std::string Upstream;
  std::string Index;
  std::string Snapshot;
  std::string Shard;
  std::shared_ptr<const std::string> Body;
  time_point Deadline;
};

/// \brief Ask the upstream to stop an attempt whose result is not needed.
struct cancel_attempt {
  attempt_id Attempt = 0;
};

/// \brief Give a caller the outcome of its request.
struct deliver_outcome {
  query_ticket Ticket = 0;
  std::string RequestId;
  query_outcome Outcome;
};

/// \brief All that the query engine asks its surroundings to do.
using engine_command =
    std::variant<send_attempt, cancel_attempt, deliver_outcome, claim_wanted,
                 claim_unused, poison_notice>;

} // namespace masticproxy

#endif
