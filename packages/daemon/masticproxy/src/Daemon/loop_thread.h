#ifndef MASTICPROXY_DAEMON_LOOP_THREAD_H
#define MASTICPROXY_DAEMON_LOOP_THREAD_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace masticproxy {

class counter_registry;

/// \brief A thread that runs one io_context until stopped. An exception that
/// leaves a handler ends that handler alone.
class loop_thread {
public:
  explicit loop_thread(counter_registry &Counters);
  ~loop_thread();
  loop_thread(const loop_thread &) = delete;
  loop_thread &operator=(const loop_thread &) = delete;

  /// \returns the loop that the thread runs.
  boost::asio::io_context &context() { return Context; }

  /// Starts the thread; safe to call twice.
  void start();

  /// \returns whether the caller runs on the thread.
  bool isCurrent() const { return std::this_thread::get_id() == Id.load(); }

  /// Runs \p Task on the thread.
  void post(std::function<void()> Task);

  /// Runs \p Task on the thread: at once where the caller runs there.
  void dispatch(std::function<void()> Task);

  /// Runs \p Task on the thread and waits for its end. \throws what it throws.
  void call(const std::function<void()> &Task);

  /// Stops the loop and joins the thread; safe to call twice.
  void stop();

private:
  void run();

  counter_registry &Counters;
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Thread;
  std::atomic<std::thread::id> Id;
};

} // namespace masticproxy

#endif
