#ifndef MASTICPROXY_QUERY_QUERY_OUTCOME_H
#define MASTICPROXY_QUERY_QUERY_OUTCOME_H

#include "masticproxy/src/Query/coverage.h"
#include "masticproxy/src/Query/partial_answer.h"
#include "masticproxy/src/Query/route.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace masticproxy {

/// \brief The request was answered from one snapshot.
///
/// For the form Whole the only result may be an error response of the upstream;
/// Coverage does not count it.
struct answered {
  std::string Snapshot;
  coverage Coverage;
  std::vector<shard_result> Results;
  /// How the results are combined in the answer.
  answer_form Form = answer_form::Listed;
  /// Maximum number of records, for the form TopK.
  std::size_t Records = 0;
};

/// \brief The request was not run by any upstream.
struct not_run {
  std::string Reason;
  /// Delay after which the caller may retry; 0 if none is given.
  std::chrono::milliseconds RetryAfter{0};
};

/// \brief The request may have run, completely or in part.
struct outcome_unknown {
  std::string Reason;
};

/// \brief The request ended below the profile's coverage, because its wait
/// ended or no further attempt was allowed.
///
/// The request is idempotent, so the caller may send it again.
struct too_late {
  coverage Coverage;
};

/// \brief The request is invalid: it was not admitted and not run.
struct bad_request {
  std::string Reason;
};

/// \brief Upstreams died while they ran the same query, so it is not run again.
struct condemned {
  /// Whether this request may have run; otherwise it was not run.
  bool MayHaveRun = false;
};

/// \brief No profile of that name is in force.
struct unknown_profile {};

/// \brief No index of that name is in force. For a relayed attempt also: this
/// VM does not hold the requested snapshot or shard.
struct unknown_index {};

/// \brief No route in force matches the host and path of a forwarded request.
struct unknown_route {};

/// \brief The request has no key of a team in force; it was not run.
struct unknown_key {};

/// \brief The request is beyond its team's quota; it was not run.
struct over_quota {
  /// Delay after which the team is expected to have room again.
  std::chrono::milliseconds RetryAfter{0};
};

/// \brief The caller disconnected; no one receives the outcome.
struct caller_gone {};

/// \brief The outcome of a request; each request has exactly one.
using query_outcome =
    std::variant<answered, not_run, outcome_unknown, too_late, unknown_profile,
                 unknown_index, bad_request, condemned, unknown_route,
                 unknown_key, over_quota, caller_gone>;

} // namespace masticproxy

#endif
