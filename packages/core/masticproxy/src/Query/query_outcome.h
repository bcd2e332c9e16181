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
struct answered {
  std::string Snapshot;
  coverage Coverage;
  std::vector<shard_result> Results;
  /// How the caller wants the results.
  answer_form Form = answer_form::Listed;
  /// Records wanted, for the form GreatestRecords.
  std::size_t Records = 0;
};

/// \brief The request was not run by any upstream.
struct not_run {
  std::string Reason;
  /// When the caller may come again; 0: at its own choice.
  std::chrono::milliseconds RetryAfter{0};
};

/// \brief The request may have run, wholly or in part.
struct outcome_unknown {
  std::string Reason;
};

/// \brief The profile's wait ended below the profile's coverage; the request
/// is idempotent, so the caller may send it again.
struct too_late {
  coverage Coverage;
};

/// \brief The request can't be admitted as it is; it was not run.
struct bad_request {
  std::string Reason;
};

/// \brief Upstreams died while they ran the same query: it is not run again.
struct condemned {
  /// This very request may have run; otherwise it was not run.
  bool MayHaveRun = false;
};

/// \brief No profile of that name is in force.
struct unknown_profile {};

/// \brief No index of that name is in force.
struct unknown_index {};

/// \brief No route in force takes the host and path of a forwarded request.
struct unknown_route {};

/// \brief The caller left; nobody hears of the outcome.
struct caller_gone {};

/// \brief What becomes of a request; exactly one for each.
using query_outcome = std::variant<answered, not_run, outcome_unknown, too_late,
                                   unknown_profile, unknown_index, bad_request,
                                   condemned, unknown_route, caller_gone>;

} // namespace masticproxy

#endif
