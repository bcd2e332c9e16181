#include "soak_caller.h"

#include "masticproxy/Platform"
#include "promise_book.h"

#include "masticproxy/src/Base/comma_list.h"

using namespace masticproxy;
using namespace masticproxy::soak;
using platform::HeaderNames;
using std::chrono::milliseconds;

namespace {

/// How long a caller waits for an answer: longer than a route's time-out.
constexpr milliseconds CallerWait{3000};

/// Pause between two requests.
constexpr unsigned ShortestPauseMs = 10;
constexpr unsigned LongestPauseMs = 60;

/// One request in this many is left by its caller, after this time at most.
constexpr unsigned LeavesOneIn = 40;
constexpr unsigned LongestStayMs = 60;

/// One request in this many uses the route of the version before the newest.
constexpr unsigned OlderOneIn = 12;

/// Methods of requests to one upstream; one in BodyOneIn has a body.
constexpr const char *Methods[] = {"GET",    "HEAD",    "POST",  "PUT",
                                   "DELETE", "OPTIONS", "TRACE", "PATCH"};
constexpr unsigned BodyOneIn = 2;
constexpr std::size_t BodyBytes = 200;

std::vector<std::string> signaturesIn(const http_headers &Headers) {
  std::vector<std::string> All;
  for (const auto &[Name, Value] : Headers)
    if (Name == HeaderNames.Signatures)
      for (const std::string &One : splitCommaList(Value))
        All.push_back(One.substr(One.find_first_not_of(' ')));
  return All;
}

std::string prefixOf(const soak_request &Request) {
  switch (Request.Kind) {
  case request_kind::Merged:
    return "/v" + std::to_string(Request.Version) + "/";
  case request_kind::Any:
    return "/named/";
  case request_kind::One:
    return "/one/";
  case request_kind::Once:
    return "/once/";
  }
  return "/";
}

caller_answer toAnswer(http_response Response) {
  caller_answer Answer;
  Answer.Status = Response.Status;
  Answer.Signature = findHeader(Response.Headers, HeaderNames.Signature);
  Answer.Signatures = signaturesIn(Response.Headers);
  std::string Missing(findHeader(Response.Headers, HeaderNames.MissingShards));
  if (!Missing.empty())
    Answer.Missing = static_cast<unsigned>(std::stoul(Missing));
  Answer.Body = std::move(Response.Body);
  return Answer;
}

} // namespace

soak_caller::soak_caller(boost::asio::io_context &Context, const clock &Clock,
                         promise_book &Book, std::string_view Address,
                         unsigned Vm, std::function<unsigned()> StartOf,
                         std::string Name, unsigned Seed)
    : Clock(Clock), Book(Book), Vm(Vm), StartOf(std::move(StartOf)),
      Name(std::move(Name)), Random(Seed), Connection(Context, Address),
      Timer(Context) {}

unsigned soak_caller::number(unsigned First, unsigned Last) {
  return First + static_cast<unsigned>(Random() % (Last - First + 1));
}

soak_request soak_caller::next() {
  constexpr request_kind Kinds[] = {request_kind::Merged, request_kind::Merged,
                                    request_kind::Merged, request_kind::Any,
                                    request_kind::One,    request_kind::Once};
  soak_request Request;
  Request.Id = Name + "-" + std::to_string(++Requests);
  Request.Kind = Kinds[number(0, std::size(Kinds) - 1)];
  Request.Version = Book.newestVersion();
  bool Older = Request.Version > 1 && number(1, OlderOneIn) == 1;
  Request.Version -= Older ? 1 : 0;
  Request.Target = prefixOf(Request) + Request.Id;
  if (!isMerged(Request.Kind))
    Request.Method = Methods[number(0, std::size(Methods) - 1)];
  Request.Vm = Vm;
  Request.Start = StartOf();
  Request.SentAt = Clock.now();
  return Request;
}

void soak_caller::send() {
  soak_request Request = next();
  Book.sent(Request);
  http_request Call;
  Call.Method = Request.Method;
  Call.Target = Request.Target;
  bool HasBody = Request.Method != "GET" && number(1, BodyOneIn) == 1;
  if (HasBody)
    Call.Body = std::string(BodyBytes, 'b');
  Call.Headers = {
      {"host", "host"},
      {std::string(HeaderNames.RequestId), Request.Id},
      {std::string(HeaderNames.TimeLeft), std::to_string(CallerWait.count())}};
  bool Leaves = number(1, LeavesOneIn) == 1;
  milliseconds Wait =
      Leaves ? milliseconds(number(1, LongestStayMs)) : CallerWait;
  Connection.exchange(std::move(Call), Wait,
                      [this, Id = Request.Id, Leaves](exchange_result Result) {
                        ended(Id, Leaves, std::move(Result));
                      });
}

void soak_caller::ended(const std::string &Id, bool Leaves,
                        exchange_result Result) {
  if (auto *Response = std::get_if<http_response>(&Result)) {
    bool Closes = Response->Close;
    caller_answer Answer = toAnswer(std::move(*Response));
    // What nothing was asked for ends a connection that was to be kept.
    Answer.MoreBytes = !Closes && !Connection.warm();
    Book.answered(Id, Answer);
    return pause();
  }
  const auto &Error = std::get<exchange_error>(Result);
  if (Error.Closed || (!Error.MayHaveRun && !Leaves))
    Book.closed(Id, !Error.MayHaveRun);
  else
    Book.left(Id);
  pause();
}

void soak_caller::pause() {
  if (Stopped)
    return;
  Timer.expires_after(milliseconds(number(ShortestPauseMs, LongestPauseMs)));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error && !Stopped)
      send();
  });
}
