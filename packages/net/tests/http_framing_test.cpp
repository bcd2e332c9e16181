/// \file
/// Messages whose end two readers could find at two places.

#include "masticproxy/Net"
#include "masticproxy/StandIns"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace masticproxy;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// \returns what a server sends for \p Text until it closes, and adds the
/// targets that it handled to \p Handled.
std::string talk(const std::string &Text, std::vector<std::string> &Handled) {
  boost::asio::io_context Context;
  http_server Server(
      Context, "127.0.0.1:0", {},
      [&](const http_request &Request, const http_server::responder &Respond) {
        Handled.push_back(Request.Target);
        Respond({});
      });
  tcp::socket Caller(Context);
  Caller.connect({boost::asio::ip::address_v4::loopback(), Server.port()});
  boost::asio::write(Caller, boost::asio::buffer(Text));
  Caller.shutdown(tcp::socket::shutdown_send);
  Context.run_for(milliseconds(100));
  std::string Answer;
  boost::system::error_code Error;
  Caller.non_blocking(true);
  boost::asio::read(Caller, boost::asio::dynamic_buffer(Answer), Error);
  return Answer;
}

} // namespace

// Guards against: what a caller sends as a body is taken for the next request.
Test(framing, refuses_requests_whose_end_can_be_read_in_two_ways) {
  const std::string Inside = "GET /inside HTTP/1.1\r\nhost: x\r\n\r\n";
  for (const char *Fields :
       {"transfer-encoding: gzip", "transfer-encoding: identity",
        "transfer-encoding: xchunked", "transfer-encoding: chunked, identity",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: gzip\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 4",
        "content-length: 4\r\ntransfer-encoding: chunked",
        "content-length: 0\r\ncontent-length: 40",
        "content-length: 0\r\ncontent-length: 0", "content-length: 0, 40",
        "content-length: -1", "content-length: +0", "content-length: 0x0",
        "content-length: 99999999999999999999", "content-length: many",
        "content-length:", "transfer-encoding:"}) {
    std::vector<std::string> Handled;
    std::string Answer = talk("POST /outside HTTP/1.1\r\nhost: x\r\n" +
                                  std::string(Fields) + "\r\n\r\n" + Inside,
                              Handled);
    cr_assert(Handled.empty(), "%s ran after %s", Handled[0].c_str(), Fields);
    cr_assert(Answer.starts_with("HTTP/1.1 400"), "%s after %s", Answer.c_str(),
              Fields);
    cr_assert(Answer.find("\nHTTP/1.1 ") == std::string::npos);
  }
}

Test(framing, refuses_codings_of_a_version_that_has_none) {
  std::vector<std::string> Handled;
  std::string Answer = talk("POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n"
                            "\r\n0\r\n\r\n",
                            Handled);
  cr_assert(Handled.empty() && Answer.find(" 400 ") != std::string::npos);
}

Test(framing, takes_what_is_in_order) {
  for (const char *Message :
       {"content-length: 2\r\n\r\nok", "content-length: 0\r\n\r\n", "\r\n",
        "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n"}) {
    std::vector<std::string> Handled;
    talk("POST /a HTTP/1.1\r\nhost: x\r\n" + std::string(Message), Handled);
    cr_assert(Handled == std::vector<std::string>{"/a"}, "%s", Message);
  }
}

Test(framing, takes_no_response_whose_end_can_be_read_in_two_ways) {
  for (const char *Fields :
       {"transfer-encoding: gzip", "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked, gzip",
        "transfer-encoding: chunked\r\ncontent-length: 2",
        "content-length: 2\r\ncontent-length: 3",
        "content-length: 2\r\ncontent-length: 2", "content-length: -2"}) {
    exchange_result Result =
        readRawResponse("HTTP/1.1 200 OK\r\n" + std::string(Fields) +
                        "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    auto *Error = std::get_if<exchange_error>(&Result);
    cr_assert(Error && Error->MayHaveRun, "%s", Fields);
  }
}

// Guards against: an interim response passes for the final one.
Test(framing, reads_on_after_an_interim_response) {
  const std::string Final = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  for (const char *Interim : {"HTTP/1.1 100 Continue\r\n\r\n",
                              "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"}) {
    exchange_result Result = readRawResponse(Interim + Final);
    auto *Response = std::get_if<http_response>(&Result);
    cr_assert(Response && Response->Status == 200 && Response->Body == "ok");
  }
}
