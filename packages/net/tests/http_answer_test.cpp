/// \file
/// Answers of upstreams that are cut, without end, or long.

#include "masticproxy/Net"
#include "masticproxy/src/Net/byte_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <memory>
#include <thread>
#include <vector>

using namespace masticproxy;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds LongEnough{2000};

/// Sends the start of an answer on each connection, then the same bytes, if
/// any, again and again until the other end closes.
class endless_server {
public:
  endless_server(std::string Start, std::string Then)
      : Start(std::move(Start)), Then(std::move(Then)),
        Acceptor(Context, tcp::endpoint(tcp::v4(), 0)) {
    accept();
    Thread = std::thread([this] { Context.run(); });
  }
  ~endless_server() {
    Context.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void accept() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, tcp::socket Socket) {
          if (Error)
            return;
          Sockets.push_back(std::make_shared<tcp::socket>(std::move(Socket)));
          write(Sockets.back(), Start);
          accept();
        });
  }

  void write(const std::shared_ptr<tcp::socket> &Socket,
             const std::string &Bytes) {
    boost::asio::async_write(
        *Socket, boost::asio::buffer(Bytes),
        [this, Socket](const boost::system::error_code &Error, std::size_t) {
          if (!Error && !Then.empty())
            write(Socket, Then);
        });
  }

  std::string Start;
  std::string Then;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<tcp::socket>> Sockets;
  std::thread Thread;
};

} // namespace

// Guards against: a caller gets a success where its upstream closed in the
// middle of an answer's head.
Test(answers, gives_no_response_where_a_head_is_cut) {
  const std::string Whole =
      "HTTP/1.1 200 OK\r\nx-signature: 3e1b.07\r\ncontent-length: 2\r\n\r\nok";
  std::size_t HeadEnd = Whole.find("\r\n\r\n") + 4;
  for (std::size_t Length = 0; Length < HeadEnd; ++Length) {
    boost::asio::io_context Context;
    tcp::acceptor Acceptor(Context, tcp::endpoint(tcp::v4(), 0));
    std::string Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    std::thread Server([&] {
      boost::asio::io_context Own;
      tcp::socket Socket(Own);
      Acceptor.accept(Socket);
      boost::asio::streambuf Request;
      boost::asio::read_until(Socket, Request, "\r\n\r\n");
      boost::asio::write(Socket, boost::asio::buffer(Whole, Length));
    });
    exchange_result Result = httpCall(Address, {}, LongEnough);
    Server.join();
    auto *Error = std::get_if<exchange_error>(&Result);
    cr_assert(Error && Error->MayHaveRun && Error->Closed, "cut at %zu",
              Length);
  }
}

// Guards against: answers without end take more memory than the process has.
Test(answers, bounds_what_answers_without_end_hold_together) {
  constexpr std::size_t Budget = 4U << 20U;
  constexpr unsigned Calls = 12;
  const std::string Chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  const std::string Starts[] = {
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"};
  for (const std::string &Start : Starts) {
    endless_server Server(Start, Chunk);
    boost::asio::io_context Context;
    auto Bytes = std::make_shared<byte_budget>(Budget);
    std::vector<std::unique_ptr<http_connection>> Connections;
    unsigned Failed = 0;
    for (unsigned I = 0; I < Calls; ++I) {
      Connections.push_back(
          std::make_unique<http_connection>(Context, Server.address(), Bytes));
      Connections.back()->exchange(
          {}, LongEnough, [&](const exchange_result &Result) {
            Failed += std::holds_alternative<exchange_error>(Result) ? 1 : 0;
          });
    }
    Context.run();
    cr_assert(Failed == Calls, "%u failed", Failed);
    cr_assert(Bytes->taken() == 0);
  }
}

Test(answers, fails_where_a_head_has_no_end) {
  for (const char *Then : {"x: y\r\n", "xxxxxxxx"}) {
    endless_server Server("HTTP/1.1 200 OK\r\n", Then);
    exchange_result Result = httpCall(Server.address(), {}, LongEnough);
    auto *Error = std::get_if<exchange_error>(&Result);
    cr_assert(Error && not Error->TimedOut);
  }
}

// Guards against: what is read and not yet understood takes more memory than
// the process has, as chunk headers and trailers have no limit of their own.
Test(answers, ends_an_answer_without_end_in_each_part_of_its_grammar) {
  constexpr unsigned Calls = 12;
  const std::string Line = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Line + "transfer-encoding: chunked\r\n\r\n";
  const struct {
    std::string Start;
    std::string Then;
  } Parts[] = {{"HTTP/1.1 200 ", std::string(4096, 'o')},
               {Line, std::string(4096, 'n')},
               {Line + "x: ", std::string(4096, 'v')},
               {Chunked, std::string(4096, '0')},
               {Chunked + "5;", std::string(4096, 'e')},
               {Chunked + "5;e=\"", std::string(4096, 'q')},
               {Chunked + "0\r\n", std::string(4096, 't')},
               {Chunked + "0\r\nx: ", std::string(4096, 't')},
               {Chunked + "0\r\n", "x: y\r\n"}};
  for (const auto &Part : Parts) {
    endless_server Server(Part.Start, Part.Then);
    boost::asio::io_context Context;
    std::vector<std::unique_ptr<http_connection>> Connections;
    unsigned Ended = 0;
    for (unsigned I = 0; I < Calls; ++I) {
      Connections.push_back(
          std::make_unique<http_connection>(Context, Server.address()));
      Connections.back()->exchange(
          {}, LongEnough, [&](const exchange_result &Result) {
            auto *Error = std::get_if<exchange_error>(&Result);
            Ended += Error && not Error->TimedOut ? 1 : 0;
          });
    }
    Context.run();
    cr_assert(Ended == Calls, "%u of %u ended after %s", Ended, Calls,
              Part.Start.c_str());
  }
}

// Guards against: an answer that nobody waits for takes the bytes of others.
Test(answers, ends_a_long_answer_that_nobody_waits_for) {
  endless_server Server("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
                        std::string(4096, 'x'));
  for (bool AtOnce : {true, false}) {
    boost::asio::io_context Context;
    auto Bytes = std::make_shared<byte_budget>(1U << 30U);
    http_connection Connection(Context, Server.address(), Bytes);
    bool Ended = false;
    Connection.exchange({}, LongEnough, [&](const exchange_result &Result) {
      auto *Error = std::get_if<exchange_error>(&Result);
      Ended = Error && not Error->TimedOut;
    });
    while (not AtOnce && Bytes->taken() == 0)
      Context.run_one();
    Connection.release();
    std::size_t Taken = Bytes->taken();
    Context.run();
    cr_assert(Ended);
    cr_assert(AtOnce ? Taken == 0 : Taken > 0);
    cr_assert(Bytes->taken() == 0);
  }
}

Test(answers, keeps_the_connection_of_a_short_answer_that_nobody_waits_for) {
  endless_server Server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "");
  boost::asio::io_context Context;
  http_connection Connection(Context, Server.address());
  bool Answered = false;
  Connection.exchange({}, LongEnough, [&](const exchange_result &Result) {
    Answered = std::holds_alternative<http_response>(Result);
  });
  Connection.release();
  Context.run();
  cr_assert(Answered && Connection.warm());
}

Test(answers, gives_a_long_response_within_its_budget) {
  std::string Body(1U << 20U, 'b');
  endless_server Server("HTTP/1.1 200 OK\r\ncontent-length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" + Body,
                        "");
  boost::asio::io_context Context;
  http_connection Connection(Context, Server.address(),
                             std::make_shared<byte_budget>(4U << 20U));
  std::string Got;
  Connection.exchange({}, LongEnough, [&](exchange_result Result) {
    if (auto *Response = std::get_if<http_response>(&Result))
      Got = std::move(Response->Body);
    Connection.close();
  });
  Context.run();
  cr_assert(Got == Body);
}
