#ifndef MASTICPROXY_DAEMON_QUOTA_SERVICE_H
#define MASTICPROXY_DAEMON_QUOTA_SERVICE_H

#include "masticproxy/src/Daemon/granter_place.h"
#include "masticproxy/src/Net/http_connection.h"
#include "masticproxy/src/Net/http_server.h"
#include "masticproxy/src/Quota/quota_granter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticproxy {

class counter_registry;
class loop_thread;

/// \brief Carries messages about quotas between this VM and the granter, which
/// may be this VM itself. All calls come from the thread of its loop.
class quota_service {
public:
  /// Called with the answer to an ask, or nothing.
  using answer_handler = std::function<void(std::optional<quota_answer>)>;

  quota_service(loop_thread &Loop, const clock &BootClock, quota_limits Limits,
                quota_settings Settings, std::string ListenAddress,
                bool FirstStart, counter_registry &Counters);
  ~quota_service();

  /// Sets what is called where the granter begins or ceases to answer.
  void onGranterAnswers(std::function<void(bool)> NewReport) {
    Report = std::move(NewReport);
  }

  /// Sets what is called with the term and with what this VM's record as the
  /// granter has to say.
  void onClaims(std::function<void(std::uint64_t, granter_claims)> NewClaim) {
    Claim = std::move(NewClaim);
  }
  /// Sets what is called where the granter that is asked has a later term than
  /// was known.
  void onTerm(std::function<void(std::uint64_t)> NewChange) {
    TermChanged = std::move(NewChange);
  }

  /// Begins to listen for other VMs. \throws std::runtime_error if it can't.
  void start();

  /// Closes all connections.
  void stop();

  /// Sets the present granter.
  void setGranter(const granter_place &NewPlace);

  /// Sends \p Ask to the granter, and hands its answer to \p Done, but not from
  /// within this call.
  void ask(const quota_ask &Ask, answer_handler Done);

private:
  void serve(const http_request &Request,
             const http_server::responder &Respond);
  /// \returns this VM's answer; empty if it may not grant now.
  std::optional<quota_answer> answer(const quota_ask &Ask);
  void onExchange(const exchange_result &Result, const answer_handler &Done);
  void onFailure(bool Refused);
  /// Has the record written where it has to say something else.
  void updateClaims();

  loop_thread &Loop;
  const clock &Clock;
  quota_limits Limits;
  quota_settings Settings;
  std::string ListenAddress;
  /// Whether the whole system starts for the first time, so that the first
  /// granter knows that nobody holds a share.
  bool FirstStart;
  counter_registry &Counters;
  std::function<void(bool)> Report;
  std::function<void(std::uint64_t, granter_claims)> Claim;
  std::function<void(std::uint64_t)> TermChanged;
  granter_place Place;
  std::optional<quota_granter> Granter;
  std::unique_ptr<http_server> Server;
  std::unique_ptr<http_connection> Connection;
  /// Since when the granter does not answer.
  std::optional<time_point> FailingSince;
  bool Reported = true;
};

} // namespace masticproxy

#endif
