#include "masticproxy/src/Net/socket_peek.h"

#include <boost/asio/buffer.hpp>

using namespace masticproxy;
using boost::asio::ip::tcp;

boost::system::error_code internal::peek(tcp::socket &Socket) {
  char Byte = 0;
  boost::system::error_code Error;
  // Asked for first, as setting it is a system call.
  if (!Socket.non_blocking())
    Socket.non_blocking(true, Error);
  Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                 Error);
  return Error;
}
