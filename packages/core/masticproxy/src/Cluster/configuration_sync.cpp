#include "masticproxy/src/Cluster/configuration_sync.h"

using namespace masticproxy;

namespace {

/// Bytes of records in one message; with the largest value of the platform,
/// one megabyte, it stays below the longest frame.
constexpr std::size_t MaxPushBytes = 2U << 20U;

} // namespace

configuration_sync::configuration_sync(const clock &Clock,
                                       std::string PeerAddress,
                                       duration PullPause)
    : Clock(Clock), PeerAddress(std::move(PeerAddress)), PullPause(PullPause) {}

std::vector<configuration_record>
configuration_sync::onPush(const configuration_push &Push) {
  std::uint64_t Before = Table.revision();
  std::vector<configuration_record> Taken = Table.apply(Push);
  // The pull was answered: a further part may be asked for at once.
  if (Table.revision() > Before)
    LastPull.reset();
  return Taken;
}

std::optional<configuration_pull>
configuration_sync::onHeartbeat(const heartbeat &Heartbeat) {
  bool Ahead = Heartbeat.ConfigurationRevision > Table.revision();
  // At the same revision both should hold the same. Where they don't, one of
  // them skipped something, and only the whole shows what.
  bool Differs = Heartbeat.ConfigurationRevision == Table.revision() &&
                 Heartbeat.ConfigurationDigest != Table.digest();
  if (!Ahead && !Differs)
    return std::nullopt;
  // Every peer that is ahead says so; one answer is enough.
  time_point Now = Clock.now();
  if (LastPull && Now - *LastPull < PullPause)
    return std::nullopt;
  LastPull = Now;
  return configuration_pull{Ahead ? Table.revision() : 0, PeerAddress};
}

std::vector<configuration_push>
configuration_sync::onPull(const configuration_pull &Pull) const {
  return Table.makePushes(Pull.AfterRevision, MaxPushBytes);
}

std::vector<configuration_push>
configuration_sync::changesAfter(std::uint64_t After) const {
  return Table.makePushes(After, MaxPushBytes);
}
