#ifndef MASTICPROXY_HARNESS_RAW_EXCHANGE_H
#define MASTICPROXY_HARNESS_RAW_EXCHANGE_H

#include <string>
#include <string_view>

namespace masticproxy {

/// \brief What came back over a raw connection.
struct raw_reply {
  std::string Bytes;
  /// Whether the other end closed the connection before the wait was over.
  bool Closed = false;
};

/// Sends \p Bytes to \p Address over a connection of its own, and reads what
/// comes back until the other end closes it or nothing comes for five seconds.
/// With \p EndAfter the sending direction is ended after the bytes. \throws
/// std::runtime_error where it can't connect.
raw_reply exchangeRaw(std::string_view Address, std::string_view Bytes,
                      bool EndAfter = false);

} // namespace masticproxy

#endif
