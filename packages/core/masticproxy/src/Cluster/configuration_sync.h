#ifndef MASTICPROXY_CLUSTER_CONFIGURATION_SYNC_H
#define MASTICPROXY_CLUSTER_CONFIGURATION_SYNC_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/configuration_pull.h"
#include "masticproxy/src/Cluster/configuration_push.h"
#include "masticproxy/src/Cluster/configuration_table.h"
#include "masticproxy/src/Cluster/heartbeat.h"

#include <optional>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief Keeps one VM's configuration level with its peers'.
///
/// A change is pushed once to all peers of the data centre by the VM that read
/// it from the platform. What is lost on the way is found by the revision and
/// the digest in the heartbeats, and pulled.
class configuration_sync {
public:
  /// \p PeerAddress is where pulled records are sent to; after a pull,
  /// \p PullPause goes by before the next.
  configuration_sync(const clock &Clock, std::string PeerAddress,
                     duration PullPause);

  /// Takes in records from the platform or a peer. \returns those that were
  /// new.
  std::vector<configuration_record> onPush(const configuration_push &Push);

  /// \returns the pull to answer \p Heartbeat with, where its sender holds
  /// something that is missing here.
  std::optional<configuration_pull> onHeartbeat(const heartbeat &Heartbeat);

  /// \returns the messages that answer \p Pull.
  std::vector<configuration_push> onPull(const configuration_pull &Pull) const;

  /// \returns the messages for peers that hold all up to \p After.
  std::vector<configuration_push> changesAfter(std::uint64_t After) const;

  /// \returns what is held.
  const configuration_table &table() const { return Table; }

private:
  const clock &Clock;
  std::string PeerAddress;
  duration PullPause;
  configuration_table Table;
  std::optional<time_point> LastPull;
};

} // namespace masticproxy

#endif
