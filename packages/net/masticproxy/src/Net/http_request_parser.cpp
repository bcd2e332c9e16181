#include "masticproxy/src/Net/http_request_parser.h"

#include "masticproxy/src/Net/http_framing.h"
#include "masticproxy/src/Net/http_status.h"

using namespace masticproxy;
namespace http = boost::beast::http;

namespace {

http_response rejection(unsigned Status, std::string_view Code,
                        std::string_view Message) {
  http_response Response;
  Response.Status = Status;
  Response.Close = true;
  Response.Headers.emplace_back("content-type", "application/json");
  Response.Body = "{\"code\":\"" + std::string(Code) + "\",\"message\":\"" +
                  std::string(Message) + "; the request was not run\"}\n";
  return Response;
}

} // namespace

void internal::setLimits(http_request_parser &Parser, std::size_t HeaderBytes,
                         std::size_t BodyBytes) {
  Parser.body_limit(BodyBytes);
  Parser.header_limit(static_cast<std::uint32_t>(HeaderBytes));
}

std::optional<http_response> internal::lateHeader() {
  return rejection(StatusRequestTimeout, "header_timeout",
                   "the header did not come in time");
}

http_response internal::noRoom() {
  http_response Response =
      rejection(StatusUnavailable, "not_run", "requests take all memory now");
  Response.Headers.emplace_back("retry-after", "1");
  return Response;
}

std::optional<http_response>
internal::refusalOf(const http_request_parser::value_type &Request) {
  if (!isFramedClearly(Request, Request.version()))
    return rejection(StatusBadRequest, "malformed_http",
                     "the end of the body can be read in two ways");
  if (Request.method() == http::verb::trace && !Request.body().empty())
    return rejection(StatusBadRequest, "malformed_http",
                     "a TRACE request has no body");
  return std::nullopt;
}

std::optional<http_response>
internal::rejectionOf(const boost::system::error_code &Error) {
  if (Error == http::error::body_limit)
    return rejection(413, "body_too_large", "the body is above the limit");
  if (Error == http::error::header_limit)
    return rejection(431, "header_too_large", "the header is above the limit");
  bool Malformed =
      Error && Error.category() ==
                   http::make_error_code(http::error::bad_version).category();
  if (Malformed && Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return rejection(400, "malformed_http", "this is no HTTP/1.1 request");
  return std::nullopt;
}
