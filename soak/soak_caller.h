#ifndef MASTICPROXY_SOAK_SOAK_CALLER_H
#define MASTICPROXY_SOAK_SOAK_CALLER_H

#include "masticproxy/Net"
#include "soak_request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <random>
#include <string>

namespace masticproxy::soak {

class promise_book;

/// \brief A caller that sends one request after the other to one VM, over a
/// connection that it uses for as long as it is open.
class soak_caller {
public:
  /// Calls \p StartOf for the number of the VM's present start. \p Name begins
  /// the ids of its requests.
  soak_caller(boost::asio::io_context &Context, const clock &Clock,
              promise_book &Book, std::string_view Address, unsigned Vm,
              std::function<unsigned()> StartOf, std::string Name,
              unsigned Seed);

  void start() { pause(); }

  /// Sends nothing more.
  void stop() { Stopped = true; }

private:
  unsigned number(unsigned First, unsigned Last);
  soak_request next();
  void send();
  void ended(const std::string &Id, bool Leaves, exchange_result Result);
  void pause();

  const clock &Clock;
  promise_book &Book;
  unsigned Vm;
  std::function<unsigned()> StartOf;
  std::string Name;
  std::mt19937 Random;
  http_connection Connection;
  boost::asio::steady_timer Timer;
  unsigned Requests = 0;
  bool Stopped = false;
};

} // namespace masticproxy::soak

#endif
