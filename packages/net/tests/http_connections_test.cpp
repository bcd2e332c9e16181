/// \file
/// A server that holds as many connections as it may, and limits that change
/// while connections are kept.

#include "masticproxy/Net"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <string>
#include <thread>
#include <vector>

using namespace masticproxy;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

const std::string Get = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// A server and its callers on one loop.
struct one_loop {
  explicit one_loop(const http_server_limits &Limits)
      : Server(Context, "127.0.0.1:0", Limits,
               [this](const http_request &Request,
                      const http_server::responder &Respond) {
                 ++HandedOn;
                 if (Request.Target == "/held")
                   return Held.push_back(Respond);
                 Respond({});
               }) {
    // As in a VM, where a wait for the caller's leaving stands beside the read.
    Server.onCallerGone([](std::uint64_t) {});
  }

  tcp::socket connect() {
    tcp::socket Caller(Context);
    Caller.connect({boost::asio::ip::address_v4::loopback(), Server.port()});
    run(milliseconds(20));
    return Caller;
  }

  void run(milliseconds Span) {
    Context.restart();
    Context.run_for(Span);
  }

  /// Lets \p Caller send a request that the server has not read yet.
  static void send(tcp::socket &Caller) {
    Caller.non_blocking(false);
    boost::asio::write(Caller, boost::asio::buffer(Get));
  }

  /// \returns a connection that has served a request and is kept.
  tcp::socket connectAndAsk() {
    tcp::socket Caller = connect();
    cr_assert(not ask(Caller, Get).empty());
    HandedOn = 0;
    return Caller;
  }

  /// \returns the head of the response to \p Request, "" at an end.
  std::string ask(tcp::socket &Caller, const std::string &Request) {
    boost::system::error_code Error;
    boost::asio::write(Caller, boost::asio::buffer(Request), Error);
    run(milliseconds(50));
    return readHead(Caller);
  }

  static std::string readHead(tcp::socket &Caller) {
    boost::system::error_code Error;
    Caller.non_blocking(true, Error);
    std::string Answer;
    boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Answer),
                            "\r\n\r\n", Error);
    return Error ? "" : Answer;
  }

  boost::asio::io_context Context{1};
  std::vector<http_server::responder> Held;
  /// Requests that the server has handed to its handler.
  int HandedOn = 0;
  http_server Server;
};

} // namespace

// Guards against: idle connections of callers leave none for others.
Test(connections, ends_the_longest_idle_one_for_a_new_one) {
  http_server_limits Limits;
  Limits.Connections = 3;
  one_loop Loop(Limits);
  std::vector<tcp::socket> Callers;
  Callers.reserve(4);
  for (int I = 0; I < 3; ++I)
    Callers.push_back(Loop.connect());
  cr_assert(not Loop.ask(Callers[0], Get).empty());
  Callers.push_back(Loop.connect());
  cr_assert(not Loop.ask(Callers[3], Get).empty());
  cr_assert(Loop.ask(Callers[1], Get).empty());
  for (int I : {0, 2, 3})
    cr_assert(not Loop.ask(Callers[I], Get).empty(), "%d", I);
}

Test(connections, refuses_a_new_one_where_none_is_idle) {
  http_server_limits Limits;
  Limits.Connections = 2;
  one_loop Loop(Limits);
  const std::string Held = "GET /held HTTP/1.1\r\nhost: x\r\n\r\n";
  tcp::socket One = Loop.connect();
  tcp::socket Two = Loop.connect();
  Loop.ask(One, Held);
  cr_assert(not Loop.Server.full());
  Loop.ask(Two, Held);
  cr_assert(Loop.Server.full());
  tcp::socket Three = Loop.connect();
  cr_assert(Loop.ask(Three, Get).empty());
  // The oldest one hears with its response that it ends.
  for (const auto &Respond : Loop.Held)
    Respond({});
  Loop.run(milliseconds(50));
  cr_assert(one_loop::readHead(One).find("close") != std::string::npos);
  cr_assert(one_loop::readHead(Two).find("close") == std::string::npos);
}

// Guards against: limits of an older configuration for a kept connection.
Test(connections, a_kept_one_has_the_limits_in_force) {
  one_loop Loop({});
  std::size_t BodyBytes = 4;
  Loop.Server.onLimits(
      [&](http_server_limits &Limits) { Limits.BodyBytes = BodyBytes; });
  tcp::socket Caller = Loop.connect();
  cr_assert(not Loop.ask(Caller, Get).empty());
  const std::string Post = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 8"
                           "\r\n\r\n12345678";
  BodyBytes = 8;
  cr_assert(Loop.ask(Caller, Post).starts_with("HTTP/1.1 200"));
  BodyBytes = 7;
  cr_assert(Loop.ask(Caller, Post).starts_with("HTTP/1.1 413"));
}

Test(connections, an_idle_one_is_kept_for_the_time_in_force) {
  http_server_limits Limits;
  Limits.IdleTimeout = milliseconds(100);
  one_loop Loop(Limits);
  milliseconds Idle{100};
  Loop.Server.onLimits([&](http_server_limits &L) { L.IdleTimeout = Idle; });
  tcp::socket Caller = Loop.connect();
  Idle = milliseconds(400);
  Loop.run(milliseconds(250));
  cr_assert(not Loop.ask(Caller, Get).empty());
  Loop.run(milliseconds(600));
  cr_assert(Loop.ask(Caller, Get).empty());
}

// Guards against: a request that has come whole when the server stops is
// dropped, or is handed on and never answered.
Test(connections, serves_a_request_that_came_before_the_stop) {
  one_loop Loop({});
  tcp::socket Caller = Loop.connectAndAsk();
  one_loop::send(Caller);
  Loop.Server.stopAccepting();
  Loop.run(milliseconds(50));
  cr_assert(Loop.HandedOn == 1);
  std::string Head = one_loop::readHead(Caller);
  cr_assert(Head.find("Connection: close") != std::string::npos, "%s",
            Head.c_str());
}

// Guards against: the stop comes between the read of a request and the turn of
// its handler, which then hands on a request of a closed connection.
Test(connections, answers_what_it_hands_on_beside_the_stop) {
  one_loop Loop({});
  tcp::socket Caller = Loop.connectAndAsk();
  one_loop::send(Caller);
  // The first handler that is ready; the read's may be another one.
  Loop.Context.restart();
  Loop.Context.poll_one();
  Loop.Server.stopAccepting();
  Loop.run(milliseconds(50));
  int Answered = one_loop::readHead(Caller).empty() ? 0 : 1;
  cr_assert(Loop.HandedOn == Answered, "%d handed on, %d answered",
            Loop.HandedOn, Answered);
}

// Guards against: a connection is closed to make room for a new one although
// its next request has come.
Test(connections, makes_no_room_by_dropping_a_request) {
  http_server_limits Limits;
  Limits.Connections = 1;
  one_loop Loop(Limits);
  tcp::socket Caller = Loop.connectAndAsk();
  tcp::socket New(Loop.Context);
  New.connect({boost::asio::ip::address_v4::loopback(), Loop.Server.port()});
  one_loop::send(Caller);
  Loop.run(milliseconds(50));
  cr_assert(Loop.HandedOn == 1);
  cr_assert(not one_loop::readHead(Caller).empty());
}

// Guards against: the idle timeout comes between the read of a request and the
// turn of its handler, and the request is handed on and never answered.
Test(connections, serves_a_request_that_comes_with_the_idle_timeout) {
  http_server_limits Limits;
  Limits.IdleTimeout = milliseconds(100);
  one_loop Loop(Limits);
  tcp::socket Caller = Loop.connectAndAsk();
  // Both are due when the loop runs next.
  std::this_thread::sleep_for(milliseconds(150));
  one_loop::send(Caller);
  Loop.run(milliseconds(50));
  cr_assert(Loop.HandedOn == 1);
  cr_assert(not one_loop::readHead(Caller).empty());
}
