#include "masticproxy/src/Net/held_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

using namespace masticproxy;

namespace {

/// Pause after a check that was refused, and so is still due.
constexpr std::chrono::milliseconds RefusedCheckPause{1000};

/// One held call, from its start to its end.
class held_call {
public:
  held_call(std::string_view Address, call_probe Probe, const call_check &Check)
      : Held(Context, Address), Probing(Context, Address), Timer(Context),
        Probe(std::move(Probe)), Check(Check) {}

  exchange_result run(http_request Request, std::chrono::milliseconds Timeout,
                      const std::stop_token &Stop) {
    Held.exchange(std::move(Request), Timeout,
                  [this](exchange_result R) { end(std::move(R)); });
    // A call that brings news soon costs neither of them. Checks show all that
    // a probe does.
    at(std::chrono::steady_clock::now() + Probe.After,
       [this] { Check.Due ? awaitCheck() : probe(); });
    std::stop_callback OnStop(Stop, [this] { Context.stop(); });
    Context.run();
    return std::move(Result);
  }

private:
  void end(exchange_result R) {
    Result = std::move(R);
    Context.stop();
  }

  template <typename Action> void at(time_point Time, Action Do) {
    Timer.expires_at(Time);
    Timer.async_wait([Do](const boost::system::error_code &Error) {
      if (!Error)
        Do();
    });
  }

  /// Sends \p Request, and hands its answer to \p Read.
  void ask(http_request Request, std::function<void(http_response)> Read) {
    Probing.exchange(std::move(Request), Probe.Timeout,
                     [this, Read = std::move(Read)](exchange_result Answer) {
                       if (auto *Response = std::get_if<http_response>(&Answer))
                         return Read(std::move(*Response));
                       end(exchange_error{true, "silent when it was called"});
                     });
  }

  // What the other end got while it answers is answered later, also if it is
  // silent in between: one probe shows that it got the call.
  void probe() {
    ask(std::move(Probe.Request), [](const http_response &) {});
  }

  // An answer that is lost on its way gives no sign: only further requests show
  // that it should have come.
  void awaitCheck() {
    at(Check.Due(), [this] { check(); });
  }

  void check() {
    time_point Now = std::chrono::steady_clock::now();
    // It may have been put off meanwhile.
    if (Check.Due() > Now)
      return awaitCheck();
    ask(Check.Request(), [this, Now](http_response Response) {
      if (Check.HasNews(Response, Now))
        return end(std::move(Response));
      if (Check.Due() > Now)
        return awaitCheck();
      // Each call costs an end that refuses all of them.
      at(std::chrono::steady_clock::now() + RefusedCheckPause,
         [this] { check(); });
    });
  }

  exchange_result Result = exchange_error{true, "stopped"};
  boost::asio::io_context Context;
  http_connection Held;
  http_connection Probing;
  boost::asio::steady_timer Timer;
  call_probe Probe;
  const call_check &Check;
};

} // namespace

exchange_result masticproxy::heldCall(std::string_view Address,
                                      http_request Request,
                                      std::chrono::milliseconds Timeout,
                                      call_probe Probe, const call_check &Check,
                                      const std::stop_token &Stop) {
  return held_call(Address, std::move(Probe), Check)
      .run(std::move(Request), Timeout, Stop);
}
