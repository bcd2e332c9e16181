#ifndef MASTICPROXY_NET_RING_CHANNEL_H
#define MASTICPROXY_NET_RING_CHANNEL_H

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

namespace masticproxy {

/// \brief A bounded ring from one thread to one other, which it wakes.
///
/// Both ends may also be on one thread: MakeRoom then lets the receiver work
/// while a sender waits.
template <typename T> class ring_channel {
public:
  /// Makes a ring for \p Capacity items; \p Wakeup is called by the sender
  /// when the receiver has to call drain(), \p MakeRoom while a sender waits
  /// for room.
  ring_channel(std::size_t Capacity, std::function<void()> Wakeup,
               std::function<void()> MakeRoom = std::this_thread::yield)
      : Queue(Capacity), Wakeup(std::move(Wakeup)),
        MakeRoom(std::move(MakeRoom)) {}

  ~ring_channel() {
    Queue.consume_all([](T *Item) { delete Item; });
  }

  ring_channel(const ring_channel &) = delete;
  ring_channel &operator=(const ring_channel &) = delete;

  /// Sends \p Item. \returns false, with nothing sent, when the ring is full.
  bool push(T Item) {
    auto Boxed = std::make_unique<T>(std::move(Item));
    return pushBoxed(Boxed);
  }

  /// Sends \p Item, and waits for room as long as the ring is full.
  void pushWaiting(T Item) {
    auto Boxed = std::make_unique<T>(std::move(Item));
    while (!pushBoxed(Boxed))
      MakeRoom();
  }

  /// Hands all waiting items to \p Receive, in order.
  template <typename Receiver> void drain(Receiver Receive) {
    // Cleared first: an item pushed from here on causes another wakeup.
    WakeupPending.store(false);
    T *Item = nullptr;
    while (Queue.pop(Item)) {
      std::unique_ptr<T> Owned(Item);
      Receive(std::move(*Owned));
    }
  }

private:
  bool pushBoxed(std::unique_ptr<T> &Boxed) {
    if (!Queue.push(Boxed.get()))
      return false;
    // The receiver owns it from here on.
    (void)Boxed.release(); // NOLINT(bugprone-unused-return-value)
    if (!WakeupPending.exchange(true))
      Wakeup();
    return true;
  }

  // Pointers, as the queue can only copy what it is given.
  boost::lockfree::spsc_queue<T *> Queue;
  std::function<void()> Wakeup;
  std::function<void()> MakeRoom;
  std::atomic<bool> WakeupPending{false};
};

} // namespace masticproxy

#endif
