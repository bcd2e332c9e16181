#ifndef MASTICPROXY_NET_HTTP_CONNECTION_H
#define MASTICPROXY_NET_HTTP_CONNECTION_H

#include "masticproxy/src/Net/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

class byte_budget;

/// \brief Why an exchange gave no response.
struct exchange_error {
  /// False only where no byte of the request can have left.
  bool MayHaveRun = true;
  std::string Text;
  /// The other end closed the connection.
  bool Closed = false;
  /// Nothing listens at the address.
  bool Refused = false;
  /// The exchange took too long.
  bool TimedOut = false;
};

/// The response, or why there is none.
using exchange_result = std::variant<http_response, exchange_error>;

/// \brief A kept-alive HTTP/1.1 connection to one address; one exchange at a
/// time.
class http_connection {
public:
  /// Responses that hold more bytes than most, read or waiting to be, take them
  /// from \p Budget, if there is one. Where it has too few, the one that holds
  /// most fails.
  http_connection(boost::asio::io_context &Context, std::string_view Address,
                  std::shared_ptr<byte_budget> Budget = nullptr);
  ~http_connection();
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;

  /// Sends \p Request, connecting first where needed, and calls \p Done on the
  /// io_context's thread. After \p Timeout the exchange fails.
  void exchange(http_request Request, std::chrono::milliseconds Timeout,
                std::function<void(exchange_result)> Done);

  /// Lets the exchange under way, whose response nobody needs, go on only as
  /// long as that takes nothing from the budget.
  void release();

  /// \returns whether a connection is open, so that the next exchange needs no
  /// set-up.
  bool warm() const;

  /// Ends the exchange under way, if any, and the connection.
  void close();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace masticproxy

#endif
