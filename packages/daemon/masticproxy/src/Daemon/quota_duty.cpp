#include "masticproxy/src/Daemon/quota_duty.h"

#include "masticproxy/src/Daemon/engine_thread.h"
#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Query/quota_gate.h"
#include "masticproxy/src/Settings/node_settings.h"

#include <functional>

using namespace masticproxy;

namespace {

/// Longest wait before a VM with a whole core takes a free lease. Larger VMs
/// wait less, as the granter works for all.
constexpr std::chrono::milliseconds TakeSpreadOfCore{500};

quota_settings quotasOf(const node_settings &Settings) {
  quota_settings Quotas;
  Quotas.Window = Settings.QuotaWindow;
  Quotas.Overshoot = Settings.QuotaOvershoot;
  Quotas.Slack = Settings.QuotaSlack;
  return Quotas;
}

granter_lease_timing timingOf(const node_settings &Settings) {
  granter_lease_timing Timing;
  Timing.TakeSpread = std::chrono::duration_cast<std::chrono::milliseconds>(
      TakeSpreadOfCore / Settings.QuotaCpuShare);
  return Timing;
}

granter_record selfOf(const node_settings &Settings,
                      std::uint64_t Incarnation) {
  granter_record Self;
  Self.Vm = Settings.Name;
  Self.Incarnation = Incarnation;
  Self.Address = Settings.QuotaAddress;
  return Self;
}

} // namespace

quota_duty::quota_duty(const node_settings &Settings, std::uint64_t Incarnation,
                       const clock &BootClock, granter_storage &Storage,
                       loop_thread &EngineLoop, engine_thread &Engine,
                       counter_registry &Counters)
    : Loop(EngineLoop), Engine(Engine),
      Service(
          EngineLoop, BootClock,
          [&Engine](std::string_view Team) { return Engine.quotaOf(Team); },
          quotasOf(Settings), Settings.QuotaAddress, Settings.QuotaFirstStart,
          Counters),
      Lease(Storage, BootClock, selfOf(Settings, Incarnation),
            timingOf(Settings),
            static_cast<unsigned>(std::hash<std::string>()(Settings.Name)),
            Counters, [this](const granter_place &Place) {
              Loop.post([this, Place] {
                Service.setGranter(Place);
                this->Engine.setGranter(Place.Term);
              });
            }) {
  Service.onGranterAnswers(
      [this](bool Answers) { Lease.setGranterAnswers(Answers); });
  Service.onClaims([this](std::uint64_t Term, granter_claims Claims) {
    Lease.setClaims(Term, std::move(Claims));
  });
  Service.onTerm([this](std::uint64_t Term) { this->Engine.setGranter(Term); });
}

std::optional<quota_gate_settings>
quota_duty::gateSettings(const node_settings &Settings,
                         std::uint64_t Incarnation, const clock &BootClock) {
  if (Settings.QuotaAddress.empty())
    return std::nullopt;
  return quota_gate_settings{quotasOf(Settings), &BootClock, Settings.Name,
                             Incarnation};
}

void quota_duty::start() {
  Engine.connectQuotas(Service);
  Service.start();
  Lease.start();
}
