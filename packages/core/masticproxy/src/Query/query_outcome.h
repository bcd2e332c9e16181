#ifndef MASTICPROXY_QUERY_QUERY_OUTCOME_H
#define MASTICPROXY_QUERY_QUERY_OUTCOME_H

#include "masticproxy/src/Query/coverage.h"
#include "masticproxy/src/Query/partial_answer.h"

#include <string>
#include <variant>
#include <vector>

namespace masticproxy {

/// \brief The request was answered from one snapshot.
struct answered {
  std::string Snapshot;
  coverage Coverage;
  std::vector<shard_result> Results;
};

/// \brief The request was not run by any upstream.
struct not_run {
  std::string Reason;
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

/// \brief What becomes of a request; exactly one for each.
using query_outcome =
    std::variant<answered, not_run, outcome_unknown, too_late, unknown_profile,
                 unknown_index, bad_request, condemned>;

} // namespace masticproxy

#endif
