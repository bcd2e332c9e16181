/// \file
/// Fuzzes what a caller sends: any bytes give queries, pages or rejections,
/// however the network cuts them, and a query's id reaches upstream and caller
/// as it is.

#include "masticproxy/Claims"
#include "masticproxy/src/Daemon/outcome_response.h"
#include "masticproxy/src/Daemon/query_request.h"
#include "masticproxy/src/Daemon/upstream_protocol.h"
#include "masticproxy/src/Net/http_convert.h"
#include "masticproxy/src/Net/http_request_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdlib>
#include <sstream>
#include <vector>

using namespace masticproxy;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Below the fuzzer's longest input, so that it is met.
constexpr std::size_t HeaderBytes = 16384;
constexpr std::size_t BodyBytes = 64;

struct connection_input {
  std::vector<http_request> Requests;
  std::optional<http_response> Rejection;
  /// The connection ended within a request.
  bool CutShort = false;
};

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// Reads one request off the front of \p Bytes, as a session does off a socket
/// that gives \p FirstPiece bytes at first.
error_code readOne(internal::http_request_parser &Parser,
                   std::string_view &Bytes, std::size_t FirstPiece) {
  internal::setLimits(Parser, HeaderBytes, BodyBytes);
  Parser.eager(true);
  error_code Error;
  std::size_t Received = std::min(FirstPiece, Bytes.size());
  while (!Parser.is_done()) {
    std::size_t Used =
        Parser.put(boost::asio::buffer(Bytes.data(), Received), Error);
    Bytes.remove_prefix(Used);
    Received -= Used;
    bool NeedsMore = Error == http::error::need_more;
    if (Error && !NeedsMore)
      return Error;
    Error = {};
    if (Parser.is_done() || (!NeedsMore && Received > 0))
      continue;
    if (Received == Bytes.size()) {
      Parser.put_eof(Error);
      return Error ? Error : http::error::end_of_stream;
    }
    Received = Bytes.size();
  }
  return Error;
}

connection_input readAll(std::string_view Bytes, std::size_t FirstPiece) {
  connection_input Input;
  while (!Bytes.empty()) {
    std::size_t Before = Bytes.size();
    internal::http_request_parser Parser;
    error_code Error = readOne(Parser, Bytes, FirstPiece);
    Input.Rejection = internal::rejectionOf(Error);
    Input.CutShort = Error == http::error::partial_message;
    if (Error)
      break;
    Input.Requests.push_back(internal::fromBeast(Parser.release()));
    std::size_t Used = Before - Bytes.size();
    FirstPiece = FirstPiece > Used ? FirstPiece - Used : Bytes.size();
  }
  return Input;
}

bool areEqual(const http_request &A, const http_request &B) {
  return A.Method == B.Method && A.Target == B.Target &&
         A.Headers == B.Headers && A.Body == B.Body;
}

void checkCuts(const connection_input &Whole, const connection_input &Cut) {
  require(Whole.Requests.size() == Cut.Requests.size());
  for (std::size_t I = 0; I < Whole.Requests.size(); ++I)
    require(areEqual(Whole.Requests[I], Cut.Requests[I]));
  // The parser may tell of a bad header before it has the whole of it.
  if (Whole.CutShort || Cut.CutShort)
    return;
  require(Whole.Rejection.has_value() == Cut.Rejection.has_value());
  if (Whole.Rejection)
    require(Whole.Rejection->Status == Cut.Rejection->Status);
}

void checkRequestTime(std::string_view RequestId) {
  constexpr claim_timing Timing;
  constexpr std::chrono::milliseconds Now{1764842400000};
  request_id_state State = judgeRequestId(RequestId, Now, Timing);
  require((State == request_id_state::WithoutTime) == !requestTime(RequestId));
  if (claimIsObsolete(RequestId, Now, Timing))
    require(State == request_id_state::TooOld);
}

/// What leaves for the upstream must read back as one request, unchanged.
void checkUpstreamRequest(const query_arrived &Query) {
  send_attempt Attempt;
  Attempt.RequestId = Query.RequestId;
  Attempt.Index = Query.Index;
  Attempt.Body = std::make_shared<const std::string>(Query.Body);
  http_request Sent = toUpstreamRequest(Attempt, std::chrono::seconds(1));
  std::ostringstream Stream;
  Stream << internal::toBeast(Sent);
  std::string Bytes = Stream.str();
  connection_input Read = readAll(Bytes, Bytes.size());
  require(Read.Requests.size() == 1 && !Read.Rejection);
  const http_request &Got = Read.Requests.front();
  for (const auto &[Name, Value] : Sent.Headers)
    require(findHeader(Got.Headers, Name) == Value);
  require(Got.Body == Query.Body);
}

/// A copy without the string's end mark shows a read past the end.
void checkTarget(std::string_view Target) {
  std::vector<char> Copy(Target.begin(), Target.end());
  targetParameter({Copy.data(), Copy.size()}, "request");
}

void checkQuery(const http_request &Request) {
  std::string RequestId(findHeader(Request.Headers, "x-request-id"));
  checkRequestTime(RequestId);
  auto Read = readQueryRequest(Request, RequestId);
  if (auto *Rejection = std::get_if<http_response>(&Read)) {
    require(Rejection->Status == 400);
    return;
  }
  const auto &Query = std::get<query_arrived>(Read);
  require(Query.RequestId == RequestId && Query.Body == Request.Body);
  checkUpstreamRequest(Query);
  http_response Response = toCallerResponse(RequestId, not_run{"busy"});
  require(findHeader(Response.Headers, "x-request-id") == RequestId);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  connection_input Whole = readAll(Bytes, Size);
  std::size_t Cut = Size == 0 ? 0 : Data[Size - 1] * Size / 256;
  checkCuts(Whole, readAll(Bytes, Cut));
  for (const http_request &Request : Whole.Requests) {
    checkTarget(Request.Target);
    if (isQueryTarget(Request.Target))
      checkQuery(Request);
  }
  return 0;
}
