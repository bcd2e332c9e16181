#ifndef MASTICPROXY_NET_RING_CHANNEL_H
#define MASTICPROXY_NET_RING_CHANNEL_H

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace masticproxy {

/// \brief A bounded ring from one thread to one other, which it wakes.
template <typename T> class ring_channel {
public:
  /// Makes a ring for \p Capacity items; \p Wakeup is called by the sender
  /// when the receiver has to call drain().
  ring_channel(std::size_t Capacity, std::function<void()> Wakeup)
      : Queue(Capacity), Wakeup(std::move(Wakeup)) {}

  /// Sends \p Item. \returns false, with nothing sent, when the ring is full.
  bool push(const T &Item) {
    if (!Queue.push(Item))
      return false;
    if (!WakeupPending.exchange(true))
      Wakeup();
    return true;
  }

  /// Hands all waiting items to \p Receive, in order.
  template <typename Receiver> void drain(Receiver Receive) {
    // Cleared first: an item pushed from here on causes another wakeup.
    WakeupPending.store(false);
    T Item;
    while (Queue.pop(Item))
      Receive(std::move(Item));
  }

private:
  boost::lockfree::spsc_queue<T> Queue;
  std::function<void()> Wakeup;
  std::atomic<bool> WakeupPending{false};
};

} // namespace masticproxy

#endif
