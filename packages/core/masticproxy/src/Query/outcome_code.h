#ifndef MASTICPROXY_QUERY_OUTCOME_CODE_H
#define MASTICPROXY_QUERY_OUTCOME_CODE_H

#include "masticproxy/src/Query/query_outcome.h"

#include <string_view>

namespace masticproxy {

/// \returns the code of \p Outcome in answers, metrics and reports.
std::string_view codeOf(const query_outcome &Outcome);

} // namespace masticproxy

#endif
