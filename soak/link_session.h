#ifndef MASTICPROXY_SOAK_LINK_SESSION_H
#define MASTICPROXY_SOAK_LINK_SESSION_H

#include "link_mode.h"
#include "masticproxy/StandIns"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace masticproxy::soak {

/// \brief One connection through a fault_link, and the one it opened itself.
class link_session : public std::enable_shared_from_this<link_session> {
public:
  link_session(boost::asio::ip::tcp::socket Caller, link_mode Mode);

  /// Connects to \p Target and passes bytes on until one end closes.
  void start(const boost::asio::ip::tcp::endpoint &Target);

  /// Goes over to \p NewMode. Once bytes were dropped the connection stays
  /// silent: what follows them would make no sense.
  void setMode(link_mode NewMode);

  /// Ends both connections with a reset.
  void reset();

private:
  static constexpr std::size_t ChunkBytes = 16384;

  /// One direction of the session.
  struct pipe {
    boost::asio::ip::tcp::socket *From = nullptr;
    boost::asio::ip::tcp::socket *Into = nullptr;
    std::array<char, ChunkBytes> Chunk{};
    std::shared_ptr<boost::asio::steady_timer> Timer;
    bool Dropping = false;
  };

  void read(pipe &Pipe);
  void passOn(pipe &Pipe, std::size_t Bytes);
  void write(pipe &Pipe, std::size_t Bytes);
  /// Sends the last response again before a request is passed on, if it is time
  /// for that. \returns whether it does.
  bool copyResponse(std::size_t RequestBytes);
  /// Sends \p Bytes, and what follows them without end.
  void writeEndless(const std::string &Bytes);
  /// Sends a part of a response of \p Bytes, and closes.
  void writePart(std::size_t Bytes);
  void close();
  void awaitKeepAlive();

  boost::asio::ip::tcp::socket Caller;
  boost::asio::ip::tcp::socket Target;
  boost::asio::steady_timer KeepAlive;
  link_mode Mode;
  bool Silent = false;
  /// What came back since the last request.
  std::string LastResponse;
  std::string Copy;
  endless_answer Answer;
  unsigned RequestsSeen = 0;
  pipe Requests;
  pipe Responses;
};

} // namespace masticproxy::soak

#endif
