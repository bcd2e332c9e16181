#ifndef MASTICPROXY_SOAK_SOAK_RUN_H
#define MASTICPROXY_SOAK_SOAK_RUN_H

#include "../platform/standins/small_site.h"
#include "fault.h"
#include "fault_link.h"
#include "masticproxy/Net"
#include "promise_book.h"
#include "soak_caller.h"
#include "soak_options.h"
#include "soak_vm.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <iosfwd>
#include <memory>
#include <vector>

namespace masticproxy::soak {

/// \brief One run: a site of real processes, callers, and faults by a plan.
class soak_run {
public:
  explicit soak_run(soak_options Options);
  ~soak_run();

  /// Plays the plan and the recovery after it.
  void play();

  /// Writes what was done and seen to \p Out.
  void report(std::ostream &Out) const;

  bool passed() const { return Book.violations().empty(); }

  /// \name What a fault does to the site, for as long as \p Span where it ends
  /// @{
  void harm(const vm_killed &Fault, duration Span);
  void harm(const vm_terminated &Fault, duration Span);
  void harm(const vm_paused &Fault, duration Span);
  void harm(const upstream_link_harmed &Fault, duration Span);
  void harm(const store_link_harmed &Fault, duration Span);
  void harm(const store_down &Fault, duration Span);
  void harm(const store_silent &Fault, duration Span);
  void harm(const store_watch_lost &Fault, duration Span);
  void harm(const store_compacted &Fault, duration Span);
  void harm(const configuration_written &Fault, duration Span);
  void harm(const upstream_drained &Fault, duration Span);
  void harm(const upstream_slowed &Fault, duration Span);
  void harm(const upstream_refusing &Fault, duration Span);
  void harm(const upstream_failing &Fault, duration Span);
  void harm(const upstream_leaving &Fault, duration Span);
  void harm(const upstream_pausing &Fault, duration Span);
  void harm(const shard_refusing &Fault, duration Span);
  void harm(const all_refusing &Fault, duration Span);
  /// @}

private:
  void watchUpstreams();
  void addLinks();
  void addVm(unsigned Vm);
  std::string settingsOf(unsigned Vm) const;
  void addCallers(unsigned Vm);
  void writeConfiguration();
  void lookAtVms();
  void after(duration Span, std::function<void()> Task);
  void runFor(duration Span);
  platform::upstream_stand_in &upstream(unsigned Upstream) {
    return *Site.Upstreams[Upstream];
  }
  void setState(unsigned Upstream, const char *State);

  soak_options Options;
  os_clock Clock;
  boost::asio::io_context Context{1};
  platform::small_site Site;
  std::vector<planned_fault> Plan;
  promise_book Book;
  std::vector<std::unique_ptr<fault_link>> UpstreamLinks;
  std::vector<std::unique_ptr<fault_link>> StoreLinks;
  std::vector<std::unique_ptr<soak_vm>> Vms;
  std::vector<std::unique_ptr<soak_caller>> Callers;
  boost::asio::steady_timer LookTimer{Context};
  /// Outages and silences of the store that last.
  unsigned StoreOutages = 0;
  unsigned StoreSilences = 0;
};

} // namespace masticproxy::soak

#endif
