#include "masticproxy/src/Net/http_convert.h"

#include "masticproxy/src/Net/http_status.h"

#include <utility>

using namespace masticproxy;
namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11;

/// \returns whether responses of \p Status have a body, be it an empty one.
bool hasBody(unsigned Status) {
  return http::to_status_class(Status) != http::status_class::informational &&
         Status != StatusNoContent && Status != StatusNotModified;
}

/// \returns whether a request of \p Method states its length although that is
/// zero.
bool expectsBody(http::verb Method) {
  return Method == http::verb::post || Method == http::verb::put ||
         Method == http::verb::options;
}

} // namespace

internal::beast_request internal::toBeast(http_request From) {
  beast_request To;
  To.version(HttpVersion);
  To.method_string(From.Method);
  To.target(From.Target);
  if (findHeader(From.Headers, "host").empty())
    To.set(http::field::host, "masticproxy");
  for (const auto &[Name, Value] : From.Headers)
    To.insert(Name, Value);
  To.body() = std::move(From.Body);
  // Not by prepare_payload(), which throws where a method should have no body.
  bool StatesLength = !To.body().empty() || expectsBody(To.method());
  if (StatesLength)
    To.content_length(To.body().size());
  return To;
}

internal::beast_response internal::toBeast(http_response From, bool KeepAlive,
                                           http::verb Method) {
  beast_response To;
  To.version(HttpVersion);
  To.result(From.Status);
  for (const auto &[Name, Value] : From.Headers)
    To.insert(Name, Value);
  To.keep_alive(KeepAlive && !From.Close);
  if (Method == http::verb::head) {
    // The length is that of the body which GET would get, if it is known.
    if (!From.Body.empty())
      To.content_length(From.Body.size());
    return To;
  }
  To.erase(http::field::content_length);
  if (!hasBody(From.Status))
    return To;
  To.content_length(From.Body.size());
  To.body() = std::move(From.Body);
  return To;
}

http_request internal::fromBeast(beast_request From) {
  http_request To;
  To.Method = std::string(From.method_string());
  To.Target = std::string(From.target());
  To.Headers = headersOf(From);
  To.Body = std::move(From.body());
  return To;
}

http_response internal::fromBeast(beast_response From) {
  http_response To;
  To.Status = From.result_int();
  To.Headers = headersOf(From);
  To.Close = !From.keep_alive();
  To.Body = std::move(From.body());
  return To;
}
