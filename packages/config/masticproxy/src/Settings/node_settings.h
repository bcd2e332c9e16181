#ifndef MASTICPROXY_SETTINGS_NODE_SETTINGS_H
#define MASTICPROXY_SETTINGS_NODE_SETTINGS_H

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief The settings of one entry VM.
/// \sa nodeSettingsSpecs, which documents each key
struct node_settings {
  std::string Name;
  std::string DataCentre;
  /// Whether callers, decisions and upstreams share a thread.
  bool OneRequestThread;
  std::string CallersAddress;
  /// Empty where the pages stand at the callers' address.
  std::string PagesAddress;
  std::string PeersAddress;
  std::string PlatformAddress;
  /// Whether the platform is a store in which upstreams register themselves.
  bool PlatformIsStore;
  std::chrono::milliseconds PlatformCallTimeout;
  std::chrono::milliseconds PlatformWatchWait;
  /// Time in which a configuration has to be in force here.
  std::chrono::milliseconds ConfigurationWithin;
  /// Time in which a registration has to be in force here.
  std::chrono::milliseconds RegistrationsWithin;
  std::chrono::milliseconds SuspicionsWithin;
  /// 0: evacuations are not followed.
  std::chrono::milliseconds EvacuationsWithin;
  /// Time in which a change has to be in force here although the answer that
  /// told it was lost.
  std::chrono::milliseconds LostAnswerWithin;
  bool PeersExchange;
  std::chrono::milliseconds HeartbeatInterval;
  std::chrono::milliseconds SuspectAfter;
  std::chrono::milliseconds DeadAfter;
  std::size_t Queries;
  std::size_t BodyBytes;
  std::size_t ResponseBytes;
  std::size_t RequestBytes;
  std::size_t CallerConnections;
  /// Empty where quotas are not enforced.
  std::string QuotaAddress;
  std::chrono::milliseconds QuotaWindow;
  double QuotaOvershoot;
  double QuotaSlack;
  double QuotaCpuShare;
  bool QuotaFirstStart;
  bool ForwardCallers;
  bool AllDataCentres;
  /// 0: this VM's share.
  unsigned UpstreamConnections;
  double RatePerConnection;
  double HedgeQuantile;
  double HedgeFactor;
  bool SuspectSlow;
  double RemoteCost;
  double TroubleCost;
  double HedgePart;
  double ExtraLoad;
  double ExtraLoadBase;
  std::chrono::milliseconds ExtraLoadWindow;
  std::chrono::milliseconds AnswerMargin;
  std::string QueryPolicy;
  std::chrono::milliseconds BalancerLag;
  std::chrono::milliseconds FinishWithin;
  bool ProbeFirst;
  std::string LogLevel;
  std::size_t TimelineEvents;
};

/// Reads a VM's settings from \p Text; \p Source names it in problems.
/// \throws settings_error with all problems at once.
node_settings readNodeSettings(std::string_view Text, std::string_view Source);

} // namespace masticproxy

#endif
