#include "masticproxy/src/Harness/raw_exchange.h"

#include "masticproxy/src/Net/tcp_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <cerrno>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

constexpr time_t SilenceSeconds = 5;
constexpr std::size_t ChunkBytes = 4096;

} // namespace

raw_reply masticproxy::exchangeRaw(std::string_view Address,
                                   std::string_view Bytes, bool EndAfter) {
  boost::asio::io_context Context;
  tcp::socket Socket(Context);
  Socket.connect(parseTcpAddress(Address));
  timeval Silence{SilenceSeconds, 0};
  setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Silence,
             sizeof Silence);
  boost::system::error_code Ignored;
  boost::asio::write(Socket, boost::asio::buffer(Bytes.data(), Bytes.size()),
                     Ignored);
  if (EndAfter)
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  raw_reply Reply;
  std::array<char, ChunkBytes> Chunk{};
  for (;;) {
    // Asio's own read would wait on after the time-out.
    ssize_t Count = recv(Socket.native_handle(), Chunk.data(), Chunk.size(), 0);
    if (Count <= 0) {
      Reply.Closed = Count == 0 || errno == ECONNRESET;
      return Reply;
    }
    Reply.Bytes.append(Chunk.data(), static_cast<std::size_t>(Count));
  }
}
