#ifndef MASTICPROXY_STANDINS_PLATFORM_STUB_H
#define MASTICPROXY_STANDINS_PLATFORM_STUB_H

#include "masticproxy/src/Net/http_server.h"
#include "masticproxy/src/StandIns/object_store.h"

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace masticproxy {

/// \brief Faults of the platform's stand-in, set by `POST /stub/faults`.
struct platform_faults {
  /// Close every call but `/stub/...` without an answer.
  bool Down = false;
  /// Delay of each answer.
  std::chrono::milliseconds Delay{0};
  /// How many of the next writes take effect and lose their answer.
  unsigned LoseWriteAnswers = 0;
  /// How many of the next reads show the objects as they were when this was
  /// set.
  unsigned StaleReads = 0;
};

/// \brief A small stand-in for the platform: object API, watches, VM list.
class platform_stub {
public:
  /// Serves at \p Address on \p Context's thread.
  platform_stub(boost::asio::io_context &Context, std::string_view Address);

  /// \returns the port it listens on.
  std::uint16_t port() const { return Server.port(); }

private:
  struct watcher {
    std::uint64_t After;
    http_server::responder Respond;
    boost::asio::steady_timer Timer;
  };

  void handle(http_request Request, http_server::responder Respond);
  void handleStub(const http_request &Request,
                  const http_server::responder &Respond);
  void serve(const http_request &Request, http_server::responder Respond);
  http_response serveObject(const http_request &Request, std::string_view Kind,
                            std::string_view Name);
  void watch(const http_request &Request, http_server::responder Respond);
  void notifyWatchers();
  void readFaults(const std::string &Body);

  boost::asio::io_context &Context;
  object_store Store;
  object_store StaleStore;
  platform_faults Faults;
  std::string Vms = "[]";
  std::map<std::string, std::uint64_t> Calls;
  std::list<std::shared_ptr<watcher>> Watchers;
  http_server Server;
};

} // namespace masticproxy

#endif
