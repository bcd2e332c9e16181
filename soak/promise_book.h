#ifndef MASTICPROXY_SOAK_PROMISE_BOOK_H
#define MASTICPROXY_SOAK_PROMISE_BOOK_H

#include "caller_answer.h"
#include "calm_record.h"
#include "soak_request.h"
#include "version_record.h"
#include "violation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticproxy::soak {

/// \brief Holds what callers and upstreams saw against what the system
/// promises.
class promise_book {
public:
  promise_book(const clock &Clock, unsigned Vms, unsigned Shards,
               unsigned Upstreams);

  /// \name What is done to the site
  /// @{
  /// Kills, pauses and starts of a VM's process.
  calm_record &vm(unsigned Vm) { return Vms[Vm].Process; }
  /// Harm to a VM's connections to the store.
  calm_record &storeLink(unsigned Vm) { return Vms[Vm].Store; }
  /// Outages and silences of the store.
  calm_record &store() { return Store; }
  /// Harm to all connections to an upstream.
  calm_record &upstreamLink(unsigned Upstream) { return Links[Upstream]; }
  /// A VM's process was asked to end, the one of its start \p Start.
  void terminated(unsigned Vm, unsigned Start) { Terminated[Vm] = Start; }
  /// The store acknowledged the next configuration.
  void configurationWritten() { Versions.written(Clock.now()); }
  /// The store acknowledged that an upstream drains, or does no more.
  void drained(unsigned Upstream) { DrainedAt[Upstream] = Clock.now(); }
  void undrained(unsigned Upstream) { DrainedAt[Upstream].reset(); }
  /// An upstream says from now on that it leaves, until it starts again.
  void leaving(unsigned Upstream) { LeavingSince[Upstream] = Clock.now(); }
  void startedAgain(unsigned Upstream);
  /// Notes that all is well again: requests from now on have to be served.
  void startRecovery() { RecoveryFrom = Clock.now(); }
  /// @}

  /// \name What was seen
  /// @{
  /// A caller sent a request.
  void sent(const soak_request &Request);
  /// An upstream of \p Shard began to run the request \p Id.
  void ran(const std::string &Id, const std::string &Target, unsigned Shard,
           unsigned Upstream);
  /// An upstream refused the request \p Id, and wants none of its VM for
  /// \p Pause.
  void askedForPause(const std::string &Id, unsigned Upstream, duration Pause);
  /// The caller has the whole answer.
  void answered(const std::string &Id, const caller_answer &Answer);
  /// The connection ended without an answer; \p Unsent where no byte left.
  void closed(const std::string &Id, bool Unsent);
  /// The caller closed its connection before it had an answer.
  void left(const std::string &Id);
  /// A VM's process ended without being killed.
  void vmEnded(unsigned Vm, bool Asked, int ExitCode);
  /// A VM's process has held \p Peak bytes, more than it may.
  void vmMemory(unsigned Vm, std::uint64_t Peak);
  /// @}

  /// \returns the newest version of the configuration.
  unsigned newestVersion() const { return Versions.newest(); }

  /// Checks what only the whole run shows.
  void finish();

  /// \returns the promises that were broken so far.
  const std::vector<violation> &violations() const { return Broken; }

  /// \returns the requests that were sent, and those that were served.
  std::uint64_t sentCount() const { return Sent; }
  std::uint64_t servedCount() const { return Served; }

private:
  struct vm_record {
    calm_record Process;
    calm_record Store;
  };
  struct asked_pause {
    time_point From{};
    time_point Until{};
    unsigned Arrivals = 0;
  };
  struct request_record {
    soak_request Request;
    std::map<unsigned, unsigned> RunsOfShard;
    unsigned Runs = 0;
    bool Refused = false;
    std::optional<time_point> LeftAt;
    bool InTouch = false;
    bool Ended = false;
  };

  void breaks(const char *Promise, const request_record &Of,
              std::string Detail);
  bool inTouch(unsigned Vm) const;
  bool isAfterFaults(const soak_request &Request) const;
  request_record *end(const std::string &Id);
  /// Checks that \p Upstream wanted what reaches it.
  void checkWanted(const request_record &Record, unsigned Upstream);
  /// Notes of which upstreams \p Answer passed on that they leave.
  void noteLeaving(const request_record &Record, const caller_answer &Answer);
  /// Notes that \p Vm passed on that \p Upstream leaves.
  void notePassedOn(unsigned Vm, unsigned Upstream);
  /// \returns whether the VM's process and its link to the upstream were
  /// without disruption since then.
  bool calmSince(unsigned Vm, unsigned Upstream, time_point Since) const;
  void checkHeld(const request_record &Record);
  void checkLost(const request_record &Record);

  const clock &Clock;
  time_point StartedAt;
  unsigned Shards;
  std::vector<vm_record> Vms;
  calm_record Store;
  std::vector<calm_record> Links;
  /// The start of each VM that was asked to end.
  std::map<unsigned, unsigned> Terminated;
  std::vector<std::optional<time_point>> DrainedAt;
  std::vector<std::optional<time_point>> LeavingSince;
  /// By VM and upstream: when the VM's process first passed on that it leaves.
  std::map<std::pair<unsigned, unsigned>, time_point> LeavingPassedOn;
  /// The same: the pause that the upstream asked the VM for.
  std::map<std::pair<unsigned, unsigned>, asked_pause> Pauses;
  version_record Versions;
  std::unordered_map<std::string, request_record> Requests;
  std::vector<violation> Broken;
  std::uint64_t Sent = 0;
  std::uint64_t Served = 0;
  unsigned Long = 0;
  unsigned Held = 0;
  unsigned Lost = 0;
  std::optional<time_point> RecoveryFrom;
  unsigned ServedAfter = 0;
};

} // namespace masticproxy::soak

#endif
