#include "masticproxy/src/Query/outcome_code.h"

using namespace masticproxy;

namespace {

struct outcome_code {
  std::string_view operator()(const answered &) { return "answered"; }
  std::string_view operator()(const not_run &) { return "not_run"; }
  std::string_view operator()(const outcome_unknown &) {
    return "outcome_unknown";
  }
  std::string_view operator()(const too_late &) { return "too_late"; }
  std::string_view operator()(const unknown_profile &) {
    return "unknown_profile";
  }
  std::string_view operator()(const unknown_index &) { return "unknown_index"; }
  std::string_view operator()(const condemned &) { return "condemned"; }
  std::string_view operator()(const unknown_route &) { return "unknown_route"; }
  std::string_view operator()(const unknown_key &) { return "unknown_key"; }
  std::string_view operator()(const over_quota &) { return "over_quota"; }
  std::string_view operator()(const caller_gone &) { return "caller_gone"; }
  std::string_view operator()(const bad_request &) { return "bad_request"; }
};

} // namespace

std::string_view masticproxy::codeOf(const query_outcome &Outcome) {
  return std::visit(outcome_code{}, Outcome);
}
