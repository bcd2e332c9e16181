#ifndef MASTICPROXY_CLUSTER_HEARTBEAT_H
#define MASTICPROXY_CLUSTER_HEARTBEAT_H

#include "masticproxy/src/Cluster/member_info.h"
#include "masticproxy/src/Cluster/platform_contact.h"
#include "masticproxy/src/Cluster/receiver_view.h"

#include <cstdint>
#include <vector>

namespace masticproxy {

/// \brief Sent to the peers of the data centre at a fixed interval.
struct heartbeat {
  /// Without data centre and address in a short heartbeat, to a peer that has
  /// said that it knows them.
  member_info Sender;
  std::uint64_t Sequence = 0;
  receiver_view Receiver;
  /// \sa membership::digest
  std::uint64_t MembersDigest = 0;
  /// Members that the sender hears itself, as Alive or Leaving, and members
  /// that it asks about, as Suspect and without data centre and address.
  std::vector<member_info> Members;
  /// Highest platform revision whose configuration the sender holds.
  std::uint64_t ConfigurationRevision = 0;
  /// \sa configuration_table::digest
  std::uint64_t ConfigurationDigest = 0;
  platform_contact Platform = platform_contact::NotWatching;

  bool operator==(const heartbeat &) const = default;
};

} // namespace masticproxy

#endif
