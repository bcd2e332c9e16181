#include "masticproxy/src/Daemon/entry_daemon.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/callers_thread.h"
#include "masticproxy/src/Daemon/claims_thread.h"
#include "masticproxy/src/Daemon/control_actor.h"
#include "masticproxy/src/Daemon/control_duty.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/discovery_thread.h"
#include "masticproxy/src/Daemon/effect_log.h"
#include "masticproxy/src/Daemon/engine_thread.h"
#include "masticproxy/src/Daemon/heartbeat_thread.h"
#include "masticproxy/src/Daemon/peers_thread.h"
#include "masticproxy/src/Daemon/platform_thread.h"
#include "masticproxy/src/Daemon/quota_duty.h"
#include "masticproxy/src/Daemon/relay_thread.h"
#include "masticproxy/src/Daemon/request_loops.h"
#include "masticproxy/src/Daemon/suspicion_thread.h"
#include "masticproxy/src/Daemon/upstreams_thread.h"
#include "masticproxy/src/Discovery/check_plan.h"
#include "masticproxy/src/Net/boot_clock.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Net/http_platform.h"
#include "masticproxy/src/Net/os_clock.h"
#include "masticproxy/src/Net/platform_freshness.h"
#include "masticproxy/src/Platform/configuration_codec.h"
#include "masticproxy/src/Platform/evacuation_codec.h"
#include "masticproxy/src/Platform/granter_store.h"
#include "masticproxy/src/Platform/header_names.h"
#include "masticproxy/src/Platform/heartbeat_store.h"
#include "masticproxy/src/Platform/store_writer.h"
#include "masticproxy/src/Platform/suspicion_codec.h"
#include "masticproxy/src/Platform/upstream_codec.h"

#include <algorithm>
#include <stop_token>
#include <thread>
#include <vector>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds FinishPoll{10};

/// Between the checks of two kinds of objects, so that the first one can make
/// the others needless.
constexpr std::chrono::milliseconds CheckStagger{50};

/// Time for the responses to requests that were cut short to be sent.
constexpr std::chrono::milliseconds LastResponses{300};

struct control_system_config : caf::actor_system_config {
  control_system_config() {
    add_message_types<caf::id_block::masticproxy_control>();
    // Only the detached control actor does work.
    set("scheduler.max-threads", 1);
    // Its threads wait to be woken; those that steal work poll for it, 100
    // times a second when there is none.
    set("scheduler.policy", caf::atom("sharing"));
  }
};

window_budget_limits shardBudget(const node_settings &Settings) {
  window_budget_limits Budget;
  Budget.Share = Settings.ExtraLoad;
  Budget.Base = Settings.ExtraLoadBase;
  Budget.HedgePart = Settings.HedgePart;
  Budget.Window = Settings.ExtraLoadWindow;
  return Budget;
}

engine_limits engineLimits(const node_settings &Settings,
                           std::uint64_t Incarnation,
                           const masticproxy::clock &BootClock) {
  engine_limits Limits;
  Limits.Quota = quota_duty::gateSettings(Settings, Incarnation, BootClock);
  Limits.Queries = Settings.Queries;
  Limits.DataCentre = Settings.DataCentre;
  Limits.Policy = toPolicyName(Settings.QueryPolicy);
  Limits.Seed = static_cast<unsigned>(std::hash<std::string>()(Settings.Name));
  Limits.ProbeFirst = Settings.ProbeFirst;
  Limits.AllDataCentres = Settings.AllDataCentres;
  Limits.UpstreamConnections = Settings.UpstreamConnections;
  Limits.RatePerConnection = Settings.RatePerConnection;
  Limits.AnswerMargin = Settings.AnswerMargin;
  Limits.Tuning.HedgeQuantile = Settings.HedgeQuantile;
  Limits.SuspectSlow = Settings.SuspectSlow;
  Limits.Tuning.HedgeFactor = Settings.HedgeFactor;
  Limits.Tuning.RemoteCost = Settings.RemoteCost;
  Limits.Tuning.TroubleCost = Settings.TroubleCost;
  Limits.Tuning.PerShard = shardBudget(Settings);
  return Limits;
}

discovery_plan configurationPlan(const node_settings &Settings) {
  return {.Kind = "configuration",
          .WatchWait = Settings.PlatformWatchWait,
          .Within = Settings.ConfigurationWithin,
          .CheckedWithin = Settings.LostAnswerWithin - 2 * CheckStagger};
}

discovery_plan registrationPlan(const node_settings &Settings) {
  return {.Kind = "registrations",
          .WatchWait = Settings.PlatformWatchWait,
          .Within = Settings.RegistrationsWithin,
          .CheckedWithin = Settings.LostAnswerWithin - CheckStagger,
          .CallTimeout = Settings.PlatformCallTimeout,
          .OnOutage = registrations_outdated{}};
}

/// What a list lacks, or brings late, costs this VM one upstream at most. So
/// copies will do, and an outage is waited out.
discovery_plan suspicionPlan(const node_settings &Settings) {
  constexpr std::chrono::milliseconds FirstPause{2500};
  return {.Kind = "suspicions",
          .WatchWait = Settings.PlatformWatchWait,
          .Within = Settings.SuspicionsWithin,
          .CheckedWithin = Settings.LostAnswerWithin,
          .ListFreshness = read_freshness::MayLag,
          .FirstPause = FirstPause};
}

discovery_plan evacuationPlan(const node_settings &Settings) {
  return {.Kind = "evacuations",
          .WatchWait = Settings.PlatformWatchWait,
          .Within = Settings.EvacuationsWithin,
          .CheckedWithin = Settings.EvacuationsWithin,
          .Polled = true};
}

/// \returns the longest time for which no change may be known of any kind.
duration longestAge(const node_settings &Settings) {
  std::vector<discovery_plan> Plans = {configurationPlan(Settings),
                                       registrationPlan(Settings),
                                       suspicionPlan(Settings)};
  if (Settings.EvacuationsWithin.count() > 0)
    Plans.push_back(evacuationPlan(Settings));
  duration Longest = duration::max();
  for (const discovery_plan &Plan : Plans)
    Longest = std::min(Longest,
                       checksFor(Plan.Within, Plan.CheckedWithin).LongestAge);
  return Longest;
}

} // namespace

struct entry_daemon::parts {
  explicit parts(node_settings NewSettings)
      : Settings(std::move(NewSettings)), Timeline(Clock),
        Events(Timeline, Settings.TimelineEvents),
        Names(Settings.PlatformIsStore ? platform::HeaderNames
                                       : forwarding_names{}),
        StoreCaller(Settings.PlatformAddress, Settings.PlatformCallTimeout,
                    PlatformStop.get_token()),
        Platform(Settings.PlatformAddress, Settings.PlatformCallTimeout,
                 PlatformStop.get_token()),
        Loops(Settings.OneRequestThread, Counters),
        Engine(Loops.engine(), Clock,
               engineLimits(Settings, Incarnation, BootClock), Counters, Events,
               Effects),
        Upstreams(Loops.upstreams(), Clock, Counters, Grant,
                  Settings.UpstreamConnections, Settings.ResponseBytes, Names),
        Callers(Loops.callers(), Settings, Clock, Counters, Events, Status,
                Effects, Names),
        Relay(Clock, Timeline, Counters, Events, Settings.Name, Incarnation),
        Peers(Settings.PeersAddress, Timeline, Counters),
        PlatformDuty(Platform, Clock, Settings.PlatformWatchWait, Counters),
        Claims(Platform, Clock, processName(), {}, Counters),
        SuspicionWriter(StoreCaller, platform::SuspicionKind),
        OwnSuspicions(SuspicionWriter, Clock, Counters),
        FromPlatform(ControlRingCapacity, [this] { wakeControl(); }),
        FromPeers(ControlRingCapacity, [this] { wakeControl(); }),
        FromEngine(ControlRingCapacity, [this] { wakeControl(); }),
        Configurations(ControlRingCapacity, [this] { wakeControl(); }),
        Registrations(ControlRingCapacity, [this] { wakeControl(); }),
        Suspicions(ControlRingCapacity, [this] { wakeControl(); }),
        Evacuations(ControlRingCapacity, [this] { wakeControl(); }),
        ConfigurationDuty(configurationPlan(Settings), Clock, StoreCaller,
                          ConfigurationCodec, Counters, StoreFreshness,
                          Configurations),
        RegistrationDuty(registrationPlan(Settings), Clock, StoreCaller,
                         UpstreamCodec, Counters, StoreFreshness,
                         Registrations),
        SuspicionDuty(suspicionPlan(Settings), Clock, StoreCaller,
                      SuspicionCodec, Counters, StoreFreshness, Suspicions),
        EvacuationDuty(evacuationPlan(Settings), Clock, StoreCaller,
                       EvacuationCodec, Counters, StoreFreshness, Evacuations),
        HeartbeatDuty(HeartbeatStore, Clock, Counters,
                      heartbeat_schedule(Clock, StoreFreshness,
                                         longestAge(Settings),
                                         static_cast<unsigned>(Incarnation)),
                      [this] { return ConfigurationDuty.reachable(); }),
        Links{Settings,
              Clock,
              Counters,
              Events,
              Effects,
              Incarnation,
              FromPlatform,
              FromPeers,
              FromEngine,
              Configurations,
              Registrations,
              Suspicions,
              Evacuations,
              OwnSuspicions.suspicions(),
              Engine.updates(),
              Peers.outbox(),
              Status,
              Grant,
              [this] { return platformReachable(); },
              [this] { return Upstreams.appliedGrant(); },
              [this](bool Watch, std::uint64_t Revision) {
                PlatformDuty.follow(Watch, Revision);
              }},
        Duty(Links), Actors(ActorConfig) {
    if (!Settings.QuotaAddress.empty())
      Quotas.emplace(Settings, Incarnation, BootClock, GranterStore,
                     Loops.engine(), Engine, Counters);
    Engine.connect(Upstreams.commands(), Callers.outcomes(), Relay.commands(),
                   Claims.requests(), FromEngine);
    Claims.connect(Engine.claimDecisions());
    Relay.connect(Engine.relayEvents());
    Peers.handOverRelaysTo(Relay);
    Upstreams.connect(Engine.upstreamEvents());
    Callers.connect(Engine.queries());
    Callers.setCutOff([this] { return Engine.cutOff(); });
    Peers.connect(FromPeers);
    PlatformDuty.connect(FromPlatform);
    ConfigurationDuty.waitFor(RegistrationDuty);
    SuspicionDuty.waitFor(ConfigurationDuty);
    EvacuationDuty.waitFor(ConfigurationDuty);
  }

  /// Names this start of the VM.
  std::string processName() const {
    return Settings.Name + "/" + std::to_string(Clock.wallTime().count());
  }

  bool platformReachable() const {
    if (Settings.PlatformIsStore)
      return ConfigurationDuty.reachable() && RegistrationDuty.reachable();
    return PlatformDuty.reachable();
  }

  /// Waits until no connection of a caller is open, until \p Latest at most.
  void awaitNoConnections(time_point Latest) {
    while (Callers.connections() > 0 && Clock.now() < Latest)
      std::this_thread::sleep_for(FinishPoll);
  }

  void wakeControl() { caf::anon_send(Control, wake_atom_v); }

  node_settings Settings;
  os_clock Clock;
  boot_clock BootClock;
  std::uint64_t Incarnation =
      static_cast<std::uint64_t>(Clock.wallTime().count());
  hybrid_clock Timeline;
  counter_registry Counters;
  event_log Events;
  effect_log Effects;
  published<node_status> Status;
  published<connection_grant> Grant;
  std::stop_source PlatformStop;
  forwarding_names Names;
  platform_caller StoreCaller;
  platform_freshness StoreFreshness;
  platform::configuration_codec ConfigurationCodec;
  platform::upstream_codec UpstreamCodec;
  platform::suspicion_codec SuspicionCodec{Clock};
  platform::evacuation_codec EvacuationCodec;
  http_platform Platform;
  request_loops Loops;
  engine_thread Engine;
  upstreams_thread Upstreams;
  callers_thread Callers;
  relay_thread Relay;
  peers_thread Peers;
  platform_thread PlatformDuty;
  claims_thread Claims;
  platform::store_writer SuspicionWriter;
  suspicion_thread OwnSuspicions;
  platform_event_ring FromPlatform;
  peer_inbox_ring FromPeers;
  notice_ring FromEngine;
  discovery_ring Configurations;
  discovery_ring Registrations;
  discovery_ring Suspicions;
  discovery_ring Evacuations;
  discovery_thread ConfigurationDuty;
  discovery_thread RegistrationDuty;
  discovery_thread SuspicionDuty;
  discovery_thread EvacuationDuty;
  platform::heartbeat_store HeartbeatStore{StoreCaller};
  heartbeat_thread HeartbeatDuty;
  platform::granter_store GranterStore{StoreCaller};
  std::optional<quota_duty> Quotas;
  control_links Links;
  control_duty Duty;
  control_system_config ActorConfig;
  caf::actor_system Actors;
  caf::actor Control;
};

entry_daemon::entry_daemon(node_settings Settings)
    : Parts(std::make_unique<parts>(std::move(Settings))) {}

entry_daemon::~entry_daemon() {
  Parts->ConfigurationDuty.beginStop();
  Parts->RegistrationDuty.beginStop();
  Parts->SuspicionDuty.beginStop();
  Parts->EvacuationDuty.beginStop();
  Parts->HeartbeatDuty.beginStop();
  Parts->PlatformStop.request_stop();
  Parts->ConfigurationDuty.stop();
  Parts->RegistrationDuty.stop();
  Parts->SuspicionDuty.stop();
  Parts->EvacuationDuty.stop();
  Parts->HeartbeatDuty.stop();
  Parts->OwnSuspicions.stop();
  if (Parts->Quotas)
    Parts->Quotas->stop();
  Parts->PlatformDuty.stop();
  Parts->Claims.stop();
  Parts->Peers.stop();
  Parts->Callers.stop();
  Parts->Relay.stop();
  Parts->Engine.stop();
  if (Parts->Quotas)
    Parts->Quotas->close();
  Parts->Upstreams.stop();
  if (Parts->Control)
    caf::anon_send_exit(Parts->Control, caf::exit_reason::user_shutdown);
  Parts->Control = nullptr;
}

void entry_daemon::start() {
  Parts->Control = Parts->Actors.spawn<control_actor, caf::detached>(
      Parts->Duty, Parts->Counters, Parts->Settings.HeartbeatInterval);
  Parts->Upstreams.start();
  Parts->Callers.start();
  if (Parts->Quotas)
    Parts->Quotas->start();
  Parts->Loops.start();
  if (Parts->Settings.PeersExchange) {
    Parts->Relay.start();
    Parts->Peers.start();
  }
  if (Parts->Settings.PlatformIsStore) {
    Parts->ConfigurationDuty.start();
    Parts->RegistrationDuty.start();
    Parts->SuspicionDuty.start();
    if (Parts->Settings.EvacuationsWithin.count() > 0)
      Parts->EvacuationDuty.start();
    Parts->HeartbeatDuty.start();
    Parts->OwnSuspicions.start();
  } else {
    Parts->PlatformDuty.start();
    Parts->Claims.start();
  }
  logInfo("event=started data_centre=" + Parts->Settings.DataCentre +
          " callers=" + Parts->Settings.CallersAddress +
          " peers=" + Parts->Settings.PeersAddress);
}

void entry_daemon::leave() {
  logInfo("event=leaving");
  time_point Now = Parts->Clock.now();
  time_point Latest =
      Now + Parts->Settings.BalancerLag + Parts->Settings.FinishWithin;
  Parts->Engine.planLeave(Latest);
  if (Parts->Quotas)
    Parts->Quotas->leave();
  Parts->Callers.stopBeingReady();
  caf::anon_send(Parts->Control, leave_atom_v);
  // Other VMs have a choice of VMs; refused now, they take another at once.
  Parts->Engine.closeRelays();
  // The balancer goes on sending requests until it has seen the ready check.
  std::this_thread::sleep_for(Parts->Settings.BalancerLag);
  Parts->Callers.stopAccepting();
  // A connection that is open now is owed the response to its last request.
  Parts->awaitNoConnections(Latest);
  std::size_t Unfinished = Parts->Engine.running();
  Parts->Engine.leave();
  Parts->awaitNoConnections(Parts->Clock.now() + LastResponses);
  logInfo("event=left unfinished=" + std::to_string(Unfinished));
}
