#include "masticproxy/src/Daemon/query_request.h"

#include "masticproxy/src/Daemon/outcome_response.h"
#include "masticproxy/src/Net/http_status.h"
#include "masticproxy/src/Settings/object_name.h"

using namespace masticproxy;

namespace {

constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::string_view QueryPrefix = "/v1/indexes/";
constexpr std::string_view QuerySuffix = "/query";

/// The index named in `/v1/indexes/NAME/query`, or "".
std::string indexIn(std::string_view Path) {
  bool Fits = Path.size() > QueryPrefix.size() + QuerySuffix.size() &&
              Path.starts_with(QueryPrefix) && Path.ends_with(QuerySuffix);
  if (!Fits)
    return {};
  Path.remove_prefix(QueryPrefix.size());
  Path.remove_suffix(QuerySuffix.size());
  return percentDecoded(Path);
}

bool isPrintable(std::string_view Text) {
  for (char C : Text)
    if (C <= ' ' || C > '~')
      return false;
  return true;
}

} // namespace

bool masticproxy::isQueryTarget(std::string_view Target) {
  return !indexIn(targetPath(Target)).empty();
}

std::variant<query_arrived, http_response>
masticproxy::readQueryRequest(http_request Request, std::string RequestId) {
  query_arrived Query;
  Query.Index = indexIn(targetPath(Request.Target));
  Query.Profile = targetParameter(Request.Target, "profile");
  Query.RequestId = std::move(RequestId);
  Query.Body = std::move(Request.Body);
  if (Query.RequestId.empty() || Query.RequestId.size() > MaxRequestIdBytes ||
      !isPrintable(Query.RequestId))
    // An id that is no header's value can't be repeated.
    return errorResponse(StatusBadRequest, "bad_request",
                         "x-request-id needs 1 to 128 printable characters "
                         "without spaces",
                         "");
  if (!isObjectName(Query.Profile) || !isObjectName(Query.Index))
    return toCallerResponse(
        Query.RequestId,
        bad_request{"the query string needs profile=NAME; a name of a profile "
                    "or an index is " +
                    std::string(ObjectNameRule)});
  return Query;
}
