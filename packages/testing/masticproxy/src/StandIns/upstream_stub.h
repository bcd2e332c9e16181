#ifndef MASTICPROXY_STANDINS_UPSTREAM_STUB_H
#define MASTICPROXY_STANDINS_UPSTREAM_STUB_H

#include "masticproxy/src/Net/http_server.h"
#include "masticproxy/src/StandIns/upstream_shape.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace masticproxy {

/// \brief A small stand-in for one upstream server.
///
/// It runs `Shape.Slots` requests at a time, queues a few more, and refuses
/// the rest. `POST /stub/faults` changes its shape while it runs.
class upstream_stub {
public:
  /// Serves at \p Address on \p Context's thread; \p Seed fixes its draws.
  upstream_stub(boost::asio::io_context &Context, std::string Address,
                upstream_shape Shape, unsigned Seed);
  ~upstream_stub();

private:
  struct job {
    std::string Attempt;
    http_request Request;
    http_server::responder Respond;
    std::chrono::steady_clock::time_point Deadline;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };
  using job_list = std::list<job>;

  void listen();
  void handle(http_request Request, http_server::responder Respond);
  void query(http_request Request, http_server::responder Respond);
  void cancel(const http_request &Request,
              const http_server::responder &Respond);
  void startNext();
  void run(job Job);
  void finish(job_list::iterator Job);
  void die();
  std::chrono::microseconds serviceTime();
  http_response stub(const http_request &Request);
  http_response load() const;

  boost::asio::io_context &Context;
  std::string Address;
  upstream_shape Shape;
  std::mt19937 Random;
  std::unique_ptr<http_server> Server;
  boost::asio::steady_timer RestartTimer;
  job_list Running;
  job_list Queued;
  std::map<std::string, unsigned> Runs;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Deaths = 0;
  std::size_t PeakConnections = 0;
  std::uint64_t QueriesWhileDraining = 0;
  std::chrono::steady_clock::time_point ColdUntil{};
};

} // namespace masticproxy

#endif
