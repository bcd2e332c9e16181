/// \file
/// A call that is held back ends soon where the other end was silent, and is
/// waited for elsewhere.

#include "masticproxy/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds ProbeAfter{50};
constexpr milliseconds ProbeTimeout{200};
constexpr milliseconds CallTimeout{3000};

/// What a server does with a held call and with probes.
struct holding_server {
  /// Answers the held call after \p HeldFor, never where that is zero.
  holding_server(milliseconds HeldFor, bool AnswersProbes)
      : Server(Context, "127.0.0.1:0", {},
               [=, this](const http_request &Request,
                         const http_server::responder &Respond) {
                 if (Request.Target == "/check")
                   return check(Respond);
                 if (Request.Target == "/probe") {
                   ++Probes;
                   return answer(Respond, AnswersProbes ? milliseconds(1)
                                                        : milliseconds(0));
                 }
                 answer(Respond, HeldFor);
               }),
        Thread([this] { Context.run(); }) {}
  ~holding_server() {
    Context.stop();
    Thread.join();
  }

  void refuse(const http_server::responder &Respond) {
    http_response Response;
    Response.Status = 503;
    Respond(std::move(Response));
  }

  void answer(const http_server::responder &Respond, milliseconds After) {
    if (After == milliseconds(0))
      return Kept.push_back(Respond);
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context, After);
    Timer->async_wait(
        [Timer, Respond](const boost::system::error_code &) { Respond({}); });
  }

  /// Answers with the number of the check, never from SilentFrom on.
  void check(const http_server::responder &Respond) {
    if (++Checks >= SilentFrom)
      return Kept.push_back(Respond);
    if (RefusesChecks)
      return refuse(Respond);
    http_response Response;
    Response.Body = std::to_string(Checks);
    Respond(std::move(Response));
  }

  /// \returns whether the held call was answered.
  bool call(const call_check &Check = {}) {
    http_request Probe;
    Probe.Target = "/probe";
    auto Start = steady_clock::now();
    exchange_result Result =
        heldCall("127.0.0.1:" + std::to_string(Server.port()), {}, CallTimeout,
                 {std::move(Probe), ProbeAfter, ProbeTimeout}, Check);
    if (auto *Response = std::get_if<http_response>(&Result))
      Answer = Response->Body;
    Took = steady_clock::now() - Start;
    return std::holds_alternative<http_response>(Result);
  }

  boost::asio::io_context Context{1};
  std::vector<http_server::responder> Kept;
  std::atomic<int> Probes{0};
  std::atomic<int> Checks{0};
  int SilentFrom = 1000;
  bool RefusesChecks = false;
  std::string Answer;
  http_server Server;
  std::thread Thread;
  steady_clock::duration Took{0};
};

/// \returns checks of which one is due at each \p Interval, and the one of the
/// number \p NewsAt has news.
call_check checksEach(milliseconds Interval, int NewsAt) {
  auto Last = std::make_shared<steady_clock::time_point>(steady_clock::now());
  call_check Check;
  Check.Due = [=] { return *Last + Interval; };
  Check.Request = [] {
    http_request Request;
    Request.Target = "/check";
    return Request;
  };
  Check.HasNews = [=](const http_response &Response,
                      steady_clock::time_point SentAt) {
    *Last = SentAt;
    return Response.Body == std::to_string(NewsAt);
  };
  return Check;
}

} // namespace

// The answer to the held call was lost on its way.
Test(held_call, ends_with_the_news_that_a_check_brings) {
  holding_server Server(milliseconds(0), true);
  cr_assert(Server.call(checksEach(milliseconds(300), 2)));
  cr_assert(Server.Answer == "2" && Server.Checks == 2);
  cr_assert(Server.Took < CallTimeout / 2);
}

Test(held_call, ends_where_a_check_is_not_answered) {
  holding_server Server(milliseconds(0), true);
  Server.SilentFrom = 2;
  cr_assert(not Server.call(checksEach(milliseconds(300), 5)));
  cr_assert(Server.Took < CallTimeout / 2);
}

Test(held_call, makes_no_check_that_was_put_off) {
  holding_server Server(milliseconds(1000), true);
  call_check Check = checksEach(milliseconds(400), 1);
  auto Start = steady_clock::now();
  auto Due = Check.Due;
  // Something else shows, time and again, that nothing has changed.
  Check.Due = [=] {
    bool Late = steady_clock::now() > Start + milliseconds(200);
    return Due() + (Late ? CallTimeout : milliseconds(0));
  };
  cr_assert(Server.call(Check));
  cr_assert(Server.Checks == 0);
}

// An end that is down refuses each call, and each costs.
Test(held_call, makes_no_check_soon_after_a_refused_one) {
  holding_server Server(milliseconds(900), true);
  Server.RefusesChecks = true;
  call_check Check = checksEach(milliseconds(0), 1);
  Check.HasNews = [](const http_response &, steady_clock::time_point) {
    return false;
  };
  cr_assert(Server.call(Check));
  cr_assert(Server.Checks == 1);
}

// A check shows as much, so that both would be one call too many.
Test(held_call, needs_no_probe_where_there_are_checks) {
  holding_server Server(milliseconds(900), true);
  cr_assert(Server.call(checksEach(milliseconds(400), 5)));
  cr_assert(Server.Probes == 0 && Server.Checks >= 1);
}

// A check that is due at once must not overtake news that come at once.
Test(held_call, needs_no_check_where_the_answer_comes_soon) {
  holding_server Server(milliseconds(5), true);
  cr_assert(Server.call(checksEach(milliseconds(0), 1)));
  cr_assert(Server.Checks == 0);
}

// A refusal says nothing, and must not become a flood of checks.
Test(held_call, pauses_between_checks_that_say_nothing) {
  holding_server Server(milliseconds(2500), true);
  call_check Check = checksEach(milliseconds(0), 1);
  Check.HasNews = [](const http_response &, steady_clock::time_point) {
    return false;
  };
  cr_assert(Server.call(Check));
  cr_assert(Server.Checks >= 2 && Server.Checks <= 3);
}

Test(held_call, needs_no_probe_where_the_answer_comes_soon) {
  holding_server Server(milliseconds(5), true);
  cr_assert(Server.call());
  cr_assert(Server.Probes == 0);
}

Test(held_call, waits_on_where_the_probe_is_answered) {
  holding_server Server(milliseconds(600), true);
  cr_assert(Server.call());
  cr_assert(Server.Probes == 1);
  cr_assert(Server.Took >= milliseconds(600));
}

// The platform fell silent just before the call, and will never answer it.
Test(held_call, ends_where_the_probe_is_not_answered) {
  holding_server Server(milliseconds(0), false);
  cr_assert(not Server.call());
  cr_assert(Server.Took < CallTimeout / 2);
}

Test(held_call, ends_by_its_own_time_out) {
  holding_server Server(milliseconds(0), true);
  cr_assert(not Server.call());
  cr_assert(Server.Took >= CallTimeout);
}
