#ifndef MASTICPROXY_CLUSTER_MEMBER_INFO_H
#define MASTICPROXY_CLUSTER_MEMBER_INFO_H

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief What is known of a member VM.
enum class member_state : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// \brief One VM of the system as its peers describe it.
struct member_info {
  std::string Name;
  std::string DataCentre;
  std::string PeerAddress;
  /// Grows with each start of the process; a higher one replaces a lower one.
  std::uint64_t Incarnation = 0;
  member_state State = member_state::Alive;

  bool operator==(const member_info &) const = default;
};

} // namespace masticproxy

#endif
