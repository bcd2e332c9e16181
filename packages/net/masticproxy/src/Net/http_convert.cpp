#include "masticproxy/src/Net/http_convert.h"

#include <utility>

using namespace masticproxy;
namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11;

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
  To.prepare_payload();
  return To;
}

internal::beast_response internal::toBeast(http_response From, bool KeepAlive) {
  beast_response To;
  To.version(HttpVersion);
  To.result(From.Status);
  for (const auto &[Name, Value] : From.Headers)
    To.insert(Name, Value);
  To.keep_alive(KeepAlive && !From.Close);
  To.body() = std::move(From.Body);
  To.prepare_payload();
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
