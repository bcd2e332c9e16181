#include "masticproxy/src/Daemon/relay_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/relay_link.h"
#include "masticproxy/src/Daemon/relay_session.h"

#include <thread>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

/// How often overdue attempts and silent VMs are looked for.
constexpr std::chrono::milliseconds TickInterval{25};

/// Connections from other VMs open at a time.
constexpr std::size_t MaxSessions = 1024;

} // namespace

relay_thread::relay_thread(const clock &Clock, hybrid_clock &Timeline,
                           counter_registry &Counters, event_log &Events,
                           std::string Origin, std::uint64_t Incarnation)
    : Loop(Counters), Links{Loop.context(),
                            Clock,
                            Timeline,
                            Counters,
                            Events,
                            std::move(Origin),
                            Incarnation,
                            [this](const relay_event &Event) {
                              // The engine never waits for this thread, so its
                              // ring drains.
                              while (!Engine->push(Event))
                                std::this_thread::yield();
                            },
                            [this](const relay_event &Event) {
                              return Engine->push(Event);
                            }},
      Timer(Loop.context()), Commands(RequestRingCapacity, [this] {
        Loop.post([this] {
          Commands.drain([this](relay_command C) {
            std::visit([this](const auto &V) { carryOut(V); }, C);
          });
        });
      }) {}

relay_thread::~relay_thread() { stop(); }

void relay_thread::adopt(tcp::socket Socket, std::string Early) {
  boost::system::error_code Error;
  tcp::endpoint Endpoint = Socket.local_endpoint(Error);
  if (Error)
    return;
  auto Handle = Socket.release(Error);
  if (Error)
    return;
  Loop.post(
      [this, Protocol = Endpoint.protocol(), Handle, Early = std::move(Early)] {
        startSession(tcp::socket(Loop.context(), Protocol, Handle), Early);
      });
}

void relay_thread::start() {
  tick();
  Loop.start();
}

void relay_thread::stop() {
  Loop.stop();
  Outbound.clear();
  Sessions.clear();
}

void relay_thread::carryOut(const send_relay &Command) {
  std::unique_ptr<internal::relay_link> &Link = Outbound[Command.PeerAddress];
  if (!Link)
    Link = std::make_unique<internal::relay_link>(Links, Command.PeerAddress);
  Link->send(Command);
}

void relay_thread::carryOut(const cancel_relay &Command) {
  for (const auto &[Address, Link] : Outbound)
    Link->cancel(Command.Attempt);
}

void relay_thread::carryOut(const answer_relay &Command) {
  auto Found = Sessions.find(Command.Connection);
  if (Found != Sessions.end())
    Found->second->answer(Command);
}

void relay_thread::startSession(tcp::socket Socket, const std::string &Early) {
  if (Sessions.size() >= MaxSessions) {
    // The origin sees the connection end, and takes the outcome as unknown.
    Links.Counters.get("relay_sessions_refused_total").add();
    return;
  }
  std::uint64_t Id = NextSession++;
  auto Session =
      std::make_unique<internal::relay_session>(Links, Id, std::move(Socket));
  Sessions.emplace(Id, std::move(Session)).first->second->start(Early);
}

void relay_thread::tick() {
  for (const auto &[Address, Link] : Outbound)
    Link->tick();
  std::erase_if(Outbound,
                [](const auto &Entry) { return Entry.second->idle(); });
  std::erase_if(Sessions,
                [](const auto &Entry) { return Entry.second->over(); });
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      tick();
  });
}
