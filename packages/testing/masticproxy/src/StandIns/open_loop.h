#ifndef MASTICPROXY_STANDINS_OPEN_LOOP_H
#define MASTICPROXY_STANDINS_OPEN_LOOP_H

#include "masticproxy/src/StandIns/load_result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <set>

namespace masticproxy {

/// \brief Rate and length of an open loop.
struct open_loop_plan {
  /// Requests a second, due at even intervals whatever the answers do.
  double Rate = 100;
  std::chrono::milliseconds Length{5000};
  /// How long after that the last answers may take; then the run ends.
  std::chrono::milliseconds Timeout{5000};
};

/// \brief Starts requests when they are due and keeps account of them.
class open_loop {
public:
  explicit open_loop(open_loop_plan Plan);

  boost::asio::io_context &context() { return Context; }

  /// Runs on the calling thread; \p Send starts the request of a number, and
  /// finish() has to follow for each. Takes Length + Timeout at the most.
  load_result run(std::function<void(std::size_t)> Send);

  /// Notes that the request \p Number ended with \p Code.
  void finish(std::size_t Number, const std::string &Code, double Coverage);

private:
  using time = std::chrono::steady_clock::time_point;

  time dueTime(std::size_t Number) const;
  void sendDue();
  void giveUpRest();
  void addLatency(std::size_t Number);

  open_loop_plan Plan;
  boost::asio::io_context Context;
  boost::asio::steady_timer DueTimer;
  boost::asio::steady_timer EndTimer;
  std::function<void(std::size_t)> Send;
  std::set<std::size_t> Open;
  load_result Result;
  time Start;
  std::size_t Total;
  std::size_t Sent = 0;
};

} // namespace masticproxy

#endif
