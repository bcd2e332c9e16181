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
  calm_record &vm(unsigned Vm) { return Vms[Vm].Process; }
  calm_record &storeLink(unsigned Vm) { return Vms[Vm].Store; }
  calm_record &store() { return Store; }
  calm_record &upstreamLink(unsigned Upstream) { return Links[Upstream]; }
  void terminated(unsigned Vm, unsigned Start) { Terminated[Vm] = Start; }
  void configurationWritten() { Versions.written(Clock.now()); }
  void drained(unsigned Upstream) { DrainedAt[Upstream] = Clock.now(); }
  void undrained(unsigned Upstream) { DrainedAt[Upstream].reset(); }
  /// Notes that all is well again: requests from now on have to be served.
  void startRecovery() { RecoveryFrom = Clock.now(); }
  /// @}

  /// \name What was seen
  /// @{
  void sent(const soak_request &Request);
  void ran(const std::string &Id, const std::string &Target, unsigned Shard,
           unsigned Upstream);
  void answered(const std::string &Id, const caller_answer &Answer);
  /// The connection ended without an answer; \p Unsent where no byte left.
  void closed(const std::string &Id, bool Unsent);
  void left(const std::string &Id);
  /// A VM's process ended without being killed.
  void vmEnded(unsigned Vm, bool Asked, int ExitCode);
  /// @}

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
