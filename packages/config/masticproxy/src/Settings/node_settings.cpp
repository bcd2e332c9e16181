#include "masticproxy/src/Settings/node_settings.h"

#include "masticproxy/src/Settings/address_text.h"
#include "masticproxy/src/Settings/checked_values.h"
#include "masticproxy/src/Settings/settings_error.h"

using namespace masticproxy;

namespace {

/// Stands for no address of its own.
constexpr std::string_view NoAddress = "-";

/// Checks what no single key can tell.
void checkTogether(const node_settings &S, std::string_view Source) {
  std::vector<settings_problem> Problems;
  auto Need = [&](bool Good, std::string_view Key, std::string_view Expected) {
    if (!Good)
      Problems.push_back({std::string(Source), 0, std::string(Key),
                          "does not fit the other keys",
                          std::string(Expected)});
  };
  Need(S.SuspectAfter > S.HeartbeatInterval, "peers.suspect_after",
       "more than peers.heartbeat_interval");
  Need(S.DeadAfter > S.SuspectAfter, "peers.dead_after",
       "more than peers.suspect_after");
  Need(S.CallersAddress != S.PeersAddress, "listen.peers",
       "another address than listen.callers");
  Need(S.PagesAddress.empty() || isAddressText(S.PagesAddress), "listen.pages",
       "an IP number and a port, or -");
  Need(S.PagesAddress != S.CallersAddress, "listen.pages",
       "another address than listen.callers");
  Need(!S.ForwardCallers || !S.PagesAddress.empty(), "listen.pages",
       "an address of its own with callers.forward, as routes take any path");
  Need(S.QuotaAddress.empty() || isAddressText(S.QuotaAddress), "quota.listen",
       "an IP number and a port, or -");
  Need(S.QuotaAddress.empty() || S.PlatformIsStore, "quota.listen",
       "platform.interface = \"store\", which keeps the granter's lease");
  if (!Problems.empty())
    throw settings_error(std::move(Problems));
}

} // namespace

node_settings masticproxy::readNodeSettings(std::string_view Text,
                                            std::string_view Source) {
  checked_values Values =
      checked_values::read(Text, Source, nodeSettingsSpecs());
  node_settings S;
  S.Name = Values.text("node.name");
  S.DataCentre = Values.text("node.data_centre");
  S.OneRequestThread = Values.flag("node.one_request_thread");
  S.CallersAddress = Values.text("listen.callers");
  S.PagesAddress = Values.text("listen.pages");
  if (S.PagesAddress == NoAddress)
    S.PagesAddress.clear();
  S.PeersAddress = Values.text("listen.peers");
  S.PlatformAddress = Values.text("platform.address");
  S.PlatformIsStore = Values.text("platform.interface") == "store";
  S.PlatformCallTimeout = Values.span("platform.call_timeout");
  S.PlatformWatchWait = Values.span("platform.watch_wait");
  S.ConfigurationWithin = Values.span("platform.configuration_within");
  S.RegistrationsWithin = Values.span("platform.registrations_within");
  S.SuspicionsWithin = Values.span("platform.suspicions_within");
  S.EvacuationsWithin = Values.span("platform.evacuations_within");
  S.LostAnswerWithin = Values.span("platform.lost_answer_within");
  S.PeersExchange = Values.flag("peers.exchange");
  S.HeartbeatInterval = Values.span("peers.heartbeat_interval");
  S.SuspectAfter = Values.span("peers.suspect_after");
  S.DeadAfter = Values.span("peers.dead_after");
  S.Queries = static_cast<std::size_t>(Values.integer("limits.queries"));
  S.BodyBytes = static_cast<std::size_t>(Values.integer("limits.body_bytes"));
  S.RequestBytes =
      static_cast<std::size_t>(Values.integer("limits.request_bytes"));
  S.ResponseBytes =
      static_cast<std::size_t>(Values.integer("limits.response_bytes"));
  S.CallerConnections =
      static_cast<std::size_t>(Values.integer("limits.caller_connections"));
  S.QuotaAddress = Values.text("quota.listen");
  if (S.QuotaAddress == NoAddress)
    S.QuotaAddress.clear();
  S.QuotaWindow = Values.span("quota.window");
  S.QuotaOvershoot = Values.number("quota.overshoot");
  S.QuotaSlack = Values.number("quota.slack");
  S.QuotaCpuShare = Values.number("quota.cpu_share");
  S.QuotaFirstStart = Values.flag("quota.first_start");
  S.ForwardCallers = Values.flag("callers.forward");
  S.AllDataCentres = Values.flag("upstreams.all_data_centres");
  S.UpstreamConnections =
      static_cast<unsigned>(Values.integer("upstreams.connections"));
  S.HedgeQuantile = Values.number("query.hedge_quantile");
  S.HedgeFactor = Values.number("query.hedge_factor");
  S.SuspectSlow = Values.flag("query.suspect_slow");
  S.RatePerConnection = Values.number("upstreams.rate_per_connection");
  S.RemoteCost = Values.number("query.remote_cost");
  S.TroubleCost = Values.number("query.trouble_cost");
  S.HedgePart = Values.number("query.hedge_part");
  S.ExtraLoad = Values.number("query.extra_load");
  S.ExtraLoadBase = Values.number("query.extra_load_base");
  S.ExtraLoadWindow = Values.span("query.extra_load_window");
  S.AnswerMargin = Values.span("query.answer_margin");
  S.QueryPolicy = Values.text("query.policy");
  S.BalancerLag = Values.span("leave.balancer_lag");
  S.FinishWithin = Values.span("leave.finish_within");
  S.ProbeFirst = Values.flag("poison.probe_first");
  S.LogLevel = Values.text("log.level");
  S.TimelineEvents =
      static_cast<std::size_t>(Values.integer("timeline.events"));
  checkTogether(S, Source);
  return S;
}
