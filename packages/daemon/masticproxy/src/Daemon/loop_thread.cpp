#include "masticproxy/src/Daemon/loop_thread.h"

#include "masticproxy/src/Daemon/error_boundary.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <future>

using namespace masticproxy;

loop_thread::loop_thread(counter_registry &Counters)
    : Counters(Counters), Context(1),
      Work(boost::asio::make_work_guard(Context)) {}

loop_thread::~loop_thread() { stop(); }

void loop_thread::start() {
  if (Thread.joinable())
    return;
  Thread = std::thread([this] {
    Id.store(std::this_thread::get_id());
    run();
  });
}

void loop_thread::run() {
  // The loop goes on where the handler that failed left it.
  while (!runContained(Counters, "loop", [this] { Context.run(); }))
    continue;
}

void loop_thread::post(std::function<void()> Task) {
  boost::asio::post(Context, std::move(Task));
}

void loop_thread::dispatch(std::function<void()> Task) {
  boost::asio::dispatch(Context, std::move(Task));
}

void loop_thread::call(const std::function<void()> &Task) {
  std::promise<void> Done;
  post([&] {
    try {
      Task();
      Done.set_value();
    } catch (...) {
      Done.set_exception(std::current_exception());
    }
  });
  Done.get_future().get();
}

void loop_thread::stop() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}
