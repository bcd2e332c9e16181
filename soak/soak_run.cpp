#include "soak_run.h"

#include "../platform/standins/deployed_settings.h"
#include "fault_plan.h"
#include "masticproxy/Platform"
#include "soak_records.h"
#include "soak_timing.h"

#include <fstream>
#include <ostream>
#include <sstream>

using namespace masticproxy;
using namespace masticproxy::soak;
using platform::small_site;
using std::chrono::milliseconds;

namespace {

/// Offsets of the ports: of the links to upstreams from the upstreams' own, and
/// of the first VM, which has these many.
constexpr unsigned LinksOffset = 30;
constexpr unsigned VmsOffset = 100;
constexpr unsigned PortsOfVm = 4;
constexpr unsigned PagesPort = 1;
constexpr unsigned PeersPort = 2;
constexpr unsigned StorePort = 3;

constexpr unsigned UpstreamCount =
    small_site::UsualShards * small_site::Replicas;
constexpr unsigned DataCentres = 2;
constexpr unsigned CallersOfVm = 3;

/// Time that an upstream takes for a request, and takes while it is slow.
constexpr milliseconds UsualWork{5};
constexpr milliseconds SlowWork{250};

constexpr unsigned FailedStatus = 500;

/// A shard that refuses does so with one request in this many.
constexpr unsigned RefusedEach = 2;

/// How often ended processes are looked for.
constexpr milliseconds LookInterval{20};

/// Time before the faults, in which all VMs start, and after the recovery, in
/// which requests are counted.
constexpr std::chrono::seconds WarmUp{4};
constexpr std::chrono::seconds LastRequests{2};

} // namespace

soak_run::soak_run(soak_options NewOptions)
    : Options(std::move(NewOptions)),
      Site(Context, Options.Host, Options.FirstPort),
      Plan(planFaults(Options, UpstreamCount)),
      Book(Clock, Options.Vms, small_site::UsualShards, UpstreamCount) {
  Site.registerElsewhere(LinksOffset, DataCentres);
  Site.registerUpstreams();
  writeConfiguration();
  watchUpstreams();
  addLinks();
  for (unsigned Vm = 0; Vm < Options.Vms; ++Vm) {
    addVm(Vm);
    addCallers(Vm);
  }
}

soak_run::~soak_run() = default;

void soak_run::watchUpstreams() {
  for (unsigned I = 0; I < UpstreamCount; ++I) {
    unsigned Shard = I / small_site::Replicas;
    auto IdOf = [](const http_request &Request) {
      return std::string(
          findHeader(Request.Headers, platform::HeaderNames.RequestId));
    };
    upstream(I).setDelay(UsualWork);
    upstream(I).setBody([=](const http_request &Request) {
      return bodyOf(IdOf(Request), Shard);
    });
    upstream(I).onRefused([=, this](const http_request &Request) {
      if (upstream(I).pausing())
        Book.askedForPause(IdOf(Request), I, AskedPause);
    });
    upstream(I).onRun([=, this](const http_request &Request) {
      Book.ran(IdOf(Request), Request.Target, Shard, I);
    });
  }
}

void soak_run::addLinks() {
  for (unsigned I = 0; I < UpstreamCount; ++I) {
    unsigned Shard = I / small_site::Replicas;
    unsigned Replica = I % small_site::Replicas;
    UpstreamLinks.push_back(std::make_unique<fault_link>(
        Context, Site.upstreamAddress(Shard, Replica, LinksOffset),
        Site.upstreamAddress(Shard, Replica)));
  }
}

void soak_run::addVm(unsigned Vm) {
  unsigned FirstPort = VmsOffset + Vm * PortsOfVm;
  StoreLinks.push_back(std::make_unique<fault_link>(
      Context, Site.address(FirstPort + StorePort), Site.address(0)));
  std::string Base = Options.Folder + "/vm-" + std::to_string(Vm);
  std::ofstream(Base + ".toml") << settingsOf(Vm);
  Vms.push_back(std::make_unique<soak_vm>(
      Clock, Book, Vm,
      std::vector<std::string>{Options.Programs + "/masticproxyd", "--settings",
                               Base + ".toml"},
      Base + ".log"));
}

std::string soak_run::settingsOf(unsigned Vm) const {
  unsigned FirstPort = VmsOffset + Vm * PortsOfVm;
  platform::vm_place Place;
  Place.Name = "vm-" + std::to_string(Vm);
  Place.DataCentre = "dc" + std::to_string(1 + Vm % DataCentres);
  Place.Callers = Site.address(FirstPort);
  Place.Pages = Site.address(FirstPort + PagesPort);
  Place.Host = Options.Host;
  Place.PeersPort = Options.FirstPort + FirstPort + PeersPort;
  Place.Store = Site.address(FirstPort + StorePort);
  std::ostringstream Template;
  Template << std::ifstream(Options.Settings).rdbuf();
  return platform::fillSettings(Template.str(), Place);
}

void soak_run::addCallers(unsigned Vm) {
  std::string Address = Site.address(VmsOffset + Vm * PortsOfVm);
  for (unsigned I = 0; I < CallersOfVm; ++I) {
    std::string Name = "c" + std::to_string(Vm) + "." + std::to_string(I);
    Callers.push_back(std::make_unique<soak_caller>(
        Context, Clock, Book, Address, Vm,
        [this, Vm] { return Vms[Vm]->starts(); }, std::move(Name),
        Options.Seed + Vm * CallersOfVm + I));
  }
}

void soak_run::writeConfiguration() {
  unsigned Version = Book.newestVersion() + 1;
  Site.configure(Version, "/v" + std::to_string(Version) + "/",
                 static_cast<unsigned>(RequestTimeout.count()));
  Book.configurationWritten();
}

void soak_run::lookAtVms() {
  for (auto &Vm : Vms)
    Vm->look();
  LookTimer.expires_after(LookInterval);
  LookTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      lookAtVms();
  });
}

void soak_run::after(duration Span, std::function<void()> Task) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Span);
  Timer->async_wait([Timer, Task = std::move(Task)](
                        const boost::system::error_code &) { Task(); });
}

void soak_run::runFor(duration Span) { Context.run_for(Span); }

void soak_run::play() {
  for (auto &Vm : Vms)
    Vm->start();
  lookAtVms();
  for (auto &Caller : Callers)
    Caller->start();
  milliseconds Last{0};
  for (const planned_fault &Fault : Plan) {
    after(WarmUp + Fault.At, [this, &Fault] {
      std::visit([&](const auto &What) { harm(What, Fault.Span); }, Fault.What);
    });
    Last = std::max(Last, Fault.At + Fault.Span);
  }
  runFor(WarmUp + Last + RecoveryTime);
  Book.startRecovery();
  runFor(LastRequests);
  for (auto &Caller : Callers)
    Caller->stop();
  runFor(RequestTimeout + HeldSlack);
  Book.finish();
}

void soak_run::harm(const vm_killed &Fault, duration) { Vms[Fault.Vm]->kill(); }

void soak_run::harm(const vm_terminated &Fault, duration) {
  Vms[Fault.Vm]->terminate();
}

void soak_run::harm(const vm_paused &Fault, duration Span) {
  Vms[Fault.Vm]->pause();
  after(Span, [this, Fault] { Vms[Fault.Vm]->resume(); });
}

void soak_run::harm(const upstream_link_harmed &Fault, duration Span) {
  UpstreamLinks[Fault.Upstream]->setMode(Fault.Mode);
  Book.upstreamLink(Fault.Upstream).disturbed();
  after(Span, [this, Fault] {
    UpstreamLinks[Fault.Upstream]->setMode(link_mode::Open);
    Book.upstreamLink(Fault.Upstream).calmed(Clock.now());
  });
}

void soak_run::harm(const store_link_harmed &Fault, duration Span) {
  StoreLinks[Fault.Vm]->setMode(Fault.Mode);
  Book.storeLink(Fault.Vm).disturbed();
  after(Span, [this, Fault] {
    StoreLinks[Fault.Vm]->setMode(link_mode::Open);
    Book.storeLink(Fault.Vm).calmed(Clock.now());
  });
}

void soak_run::harm(const store_down &, duration Span) {
  Site.Store.setDown(true);
  ++StoreOutages;
  Book.store().disturbed();
  after(Span, [this] {
    Site.Store.setDown(--StoreOutages > 0);
    Book.store().calmed(Clock.now());
  });
}

void soak_run::harm(const store_silent &, duration Span) {
  Site.Store.setSilent(true);
  ++StoreSilences;
  Book.store().disturbed();
  after(Span, [this] {
    Site.Store.setSilent(--StoreSilences > 0);
    Book.store().calmed(Clock.now());
  });
}

void soak_run::harm(const store_watch_lost &Fault, duration Span) {
  Site.Store.loseNextWatch(Fault.Kind);
  // The change whose answer is lost comes at once.
  Book.store().struck(Clock.now());
  if (Fault.Kind == "config")
    writeConfiguration();
  else
    harm(upstream_drained{}, Span);
  // Where no VM waits for it, no answer is lost.
  after(LookInterval, [this] { Site.Store.loseNoWatch(); });
}

void soak_run::harm(const store_compacted &, duration) { Site.Store.compact(); }

void soak_run::harm(const configuration_written &, duration) {
  writeConfiguration();
}

void soak_run::harm(const upstream_drained &Fault, duration Span) {
  setState(Fault.Upstream, "draining");
  Book.drained(Fault.Upstream);
  after(Span, [this, Fault] {
    Book.undrained(Fault.Upstream);
    setState(Fault.Upstream, "ready");
  });
}

void soak_run::harm(const upstream_slowed &Fault, duration Span) {
  upstream(Fault.Upstream).setDelay(SlowWork);
  after(Span, [this, Fault] { upstream(Fault.Upstream).setDelay(UsualWork); });
}

void soak_run::harm(const upstream_refusing &Fault, duration Span) {
  upstream(Fault.Upstream).setRefusing(true);
  after(Span, [this, Fault] { upstream(Fault.Upstream).setRefusing(false); });
}

void soak_run::harm(const upstream_failing &Fault, duration Span) {
  upstream(Fault.Upstream).setStatus(FailedStatus);
  after(Span, [this, Fault] { upstream(Fault.Upstream).setStatus(200); });
}

void soak_run::harm(const upstream_leaving &Fault, duration Span) {
  upstream(Fault.Upstream).setLeaving(true);
  Book.leaving(Fault.Upstream);
  after(Span, [this, Fault] {
    upstream(Fault.Upstream).setLeaving(false);
    Book.startedAgain(Fault.Upstream);
    Site.startAgain(Fault.Upstream / small_site::Replicas,
                    Fault.Upstream % small_site::Replicas);
  });
}

void soak_run::harm(const upstream_pausing &Fault, duration Span) {
  double Seconds = std::chrono::duration<double>(AskedPause).count();
  upstream(Fault.Upstream).setRetryAfter(std::to_string(Seconds));
  after(Span, [this, Fault] { upstream(Fault.Upstream).setRetryAfter(""); });
}

void soak_run::harm(const shard_refusing &Fault, duration Span) {
  // Both together make a request come back to an upstream over a connection on
  // which its own refusal is sent again.
  for (unsigned R = 0; R < small_site::Replicas; ++R) {
    unsigned Upstream = Fault.Shard * small_site::Replicas + R;
    upstream(Upstream).refuseEach(RefusedEach);
    harm(upstream_link_harmed{Upstream, link_mode::Copying}, Span);
    after(Span, [this, Upstream] { upstream(Upstream).setRefusing(false); });
  }
}

void soak_run::harm(const all_refusing &, duration Span) {
  for (unsigned I = 0; I < UpstreamCount; ++I)
    harm(upstream_refusing{I}, Span);
}

void soak_run::setState(unsigned Upstream, const char *State) {
  Site.registerUpstream(Upstream / small_site::Replicas,
                        Upstream % small_site::Replicas, State);
}

void soak_run::report(std::ostream &Out) const {
  Out << "seed " << Options.Seed << ": " << Options.Vms << " VMs, "
      << Plan.size() << " faults, " << Book.sentCount() << " requests, "
      << Book.servedCount() << " served, " << Book.violations().size()
      << " broken promises\n";
  for (const violation &Broken : Book.violations())
    Out << "  " << Broken.Promise << " " << Broken.Request << " "
        << Broken.Detail << "\n";
}
