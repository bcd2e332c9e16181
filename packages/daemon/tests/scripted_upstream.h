#ifndef MASTICPROXY_DAEMON_TESTS_SCRIPTED_UPSTREAM_H
#define MASTICPROXY_DAEMON_TESTS_SCRIPTED_UPSTREAM_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace masticproxy {

/// \brief Answers each request without a body, over any connection, with the
/// next raw text.
class scripted_upstream {
public:
  explicit scripted_upstream(std::vector<std::string> Answers)
      : Answers(std::move(Answers)),
        Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Accepting([this] { acceptAll(); }) {}

  ~scripted_upstream() {
    // An accept under way ends by a last connection.
    Stopping = true;
    boost::asio::ip::tcp::socket Last(Context);
    boost::system::error_code Ignored;
    Last.connect(Acceptor.local_endpoint(), Ignored);
    Accepting.join();
    for (std::thread &Thread : Serving)
      Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// \returns how many connections were opened.
  int connections() const { return Count; }

private:
  using socket = boost::asio::ip::tcp::socket;

  void acceptAll() {
    while (true) {
      socket Socket(Context);
      Acceptor.accept(Socket);
      if (Stopping)
        return;
      ++Count;
      Serving.emplace_back(
          [this, Socket = std::move(Socket)]() mutable { serve(Socket); });
    }
  }

  /// Until the other end closes.
  void serve(socket &Socket) {
    boost::asio::streambuf Buffer;
    boost::system::error_code Error;
    while (true) {
      std::size_t Head =
          boost::asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
      if (Error)
        return;
      Buffer.consume(Head);
      boost::asio::write(Socket, boost::asio::buffer(nextAnswer()), Error);
    }
  }

  std::string nextAnswer() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Next < Answers.size() ? Answers[Next++] : std::string();
  }

  std::vector<std::string> Answers;
  std::size_t Next = 0;
  std::mutex Mutex;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Count{0};
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::thread> Serving;
  std::thread Accepting;
};

} // namespace masticproxy

#endif
