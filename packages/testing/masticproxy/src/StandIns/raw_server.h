#ifndef MASTICPROXY_STANDINS_RAW_SERVER_H
#define MASTICPROXY_STANDINS_RAW_SERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace masticproxy {

/// \brief Sends the same bytes on each connection, whatever comes: the start of
/// an answer, and then others, if any, again and again until the other end
/// closes.
class raw_server {
public:
  /// Listens at \p Host, at a port that the system chooses.
  raw_server(std::string Start, std::string Then,
             std::string_view Host = "127.0.0.1");
  ~raw_server();
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;

  std::string address() const;

  /// \returns how many connections were opened.
  unsigned connections() const { return Count; }

private:
  void accept();
  void write(const std::shared_ptr<boost::asio::ip::tcp::socket> &Socket,
             const std::string &Bytes);

  std::string Start;
  std::string Then;
  std::atomic<unsigned> Count{0};
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> Sockets;
  std::thread Thread;
};

} // namespace masticproxy

#endif
