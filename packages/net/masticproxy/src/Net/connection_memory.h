#ifndef MASTICPROXY_NET_CONNECTION_MEMORY_H
#define MASTICPROXY_NET_CONNECTION_MEMORY_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <utility>

namespace masticproxy {

/// \brief What connections of callers hold in memory together, for the servers
/// of one thread.
///
/// Where it is used up, connections whose callers keep the process waiting are
/// closed, those that have waited for longest first.
class connection_memory {
public:
  using time = std::chrono::steady_clock::time_point;
  struct wait {
    time Since{};
    std::function<void()> Close;
  };
  using wait_position = std::list<wait>::iterator;

  /// Time that every caller has to send a request and to read a response.
  static constexpr std::chrono::milliseconds ShortestWait{1000};

  /// \p Closed is called, if set, with each connection that is closed.
  explicit connection_memory(std::size_t Limit,
                             std::function<void()> Closed = {})
      : Limit(Limit), Closed(std::move(Closed)) {}

  /// Takes \p Bytes for a connection. \returns false, with nothing taken, if
  /// there is no room. The connection itself is not closed if it waits at
  /// \p Own.
  bool take(std::size_t Bytes, time Now,
            const std::optional<wait_position> &Own);

  /// Takes \p Bytes also where there is no room.
  void takeAnyway(std::size_t Bytes, time Now);

  /// Gives back what was taken.
  void giveBack(std::size_t Bytes) { Taken -= Bytes; }

  /// Records that a connection waits for its caller; \p Close closes it, and
  /// gives back what it holds.
  wait_position beginWait(time Now, std::function<void()> Close);
  void endWait(wait_position Position) { Waits.erase(Position); }

  /// \returns the bytes that are taken.
  std::size_t taken() const { return Taken; }

private:
  bool hasRoom(std::size_t Bytes) const {
    return Taken <= Limit && Bytes <= Limit - Taken;
  }
  /// Closes connections until there is room, or none has waited for long.
  void makeRoom(std::size_t Bytes, time Now,
                const std::optional<wait_position> &Own);

  std::size_t Limit;
  std::function<void()> Closed;
  std::size_t Taken = 0;
  /// By the beginning of the wait.
  std::list<wait> Waits;
};

} // namespace masticproxy

#endif
