/// \file
/// What a fault_link does to the connections that go through it.

#include "fault_link.h"
#include "masticproxy/Net"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <optional>

using namespace masticproxy;
using namespace masticproxy::soak;
using std::chrono::milliseconds;

namespace {

/// A server behind a link, and a connection to it.
struct link_fixture {
  link_fixture()
      : Server(Context, "127.0.0.1:0", {},
               [this](const http_request &,
                      const http_server::responder &Respond) {
                 ++Requests;
                 Respond({});
               }),
        Link(Context, "127.0.0.1:0", at(Server.port())),
        Connection(Context, at(Link.port())) {}

  static std::string at(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// \returns the end of an exchange, or nothing after \p Longest.
  std::optional<exchange_result>
  exchange(milliseconds Longest = milliseconds(200)) {
    std::optional<exchange_result> Result;
    Connection.exchange({}, std::chrono::seconds(20),
                        [&](exchange_result End) { Result = std::move(End); });
    auto Latest = std::chrono::steady_clock::now() + Longest;
    while (!Result && std::chrono::steady_clock::now() < Latest)
      Context.run_for(milliseconds(5));
    Context.restart();
    if (Result)
      return Result;
    Connection.close();
    Context.poll();
    Context.restart();
    return std::nullopt;
  }

  bool answered(milliseconds Longest = milliseconds(200)) {
    auto Result = exchange(Longest);
    return Result && std::holds_alternative<http_response>(*Result);
  }

  boost::asio::io_context Context;
  unsigned Requests = 0;
  http_server Server;
  fault_link Link;
  http_connection Connection;
};

} // namespace

Test(fault_link, passes_on_while_it_is_open) {
  link_fixture F;
  cr_assert(F.answered());
  cr_assert(F.answered());
}

Test(fault_link, delays_both_ways) {
  link_fixture F;
  F.Link.setMode(link_mode::Delayed);
  cr_assert(not F.answered(milliseconds(700)));
  cr_assert(F.answered(milliseconds(2000)));
}

Test(fault_link, resets_open_connections_and_new_ones) {
  link_fixture F;
  cr_assert(F.answered());
  F.Link.setMode(link_mode::Resetting);
  auto Result = F.exchange();
  cr_assert(Result && std::holds_alternative<exchange_error>(*Result));
  F.Link.setMode(link_mode::Open);
  cr_assert(F.answered());
}

Test(fault_link, passes_requests_on_and_drops_responses) {
  link_fixture F;
  F.Link.setMode(link_mode::OneWay);
  cr_assert(not F.exchange());
  cr_assert(F.Requests == 1);
}

Test(fault_link, drops_everything_while_it_is_silent) {
  link_fixture F;
  cr_assert(F.answered());
  F.Link.setMode(link_mode::Silent);
  cr_assert(not F.exchange());
  cr_assert(F.Requests == 1);
}

// Bytes were lost, so the connection can't be used again; a new one can.
Test(fault_link, leaves_a_connection_silent_that_has_lost_bytes) {
  link_fixture F;
  F.Link.setMode(link_mode::Silent);
  bool Ended = false;
  F.Connection.exchange({}, std::chrono::seconds(20),
                        [&](const exchange_result &) { Ended = true; });
  F.Context.run_for(milliseconds(100));
  F.Link.setMode(link_mode::Open);
  F.Context.run_for(milliseconds(500));
  cr_assert(not Ended);
  // By the keep-alive probes of a real connection.
  F.Context.run_for(milliseconds(5000));
  cr_assert(Ended);
  F.Context.restart();
  cr_assert(F.answered());
}
