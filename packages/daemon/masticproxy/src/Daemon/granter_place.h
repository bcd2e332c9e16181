#ifndef MASTICPROXY_DAEMON_GRANTER_PLACE_H
#define MASTICPROXY_DAEMON_GRANTER_PLACE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Quota/granter_claims.h"

#include <cstdint>
#include <optional>
#include <string>

namespace masticproxy {

/// \brief Which VM divides the quotas, as this VM knows it.
struct granter_place {
  std::string Vm;
  /// IP number and port.
  std::string Address;
  /// 0 if no granter is known.
  std::uint64_t Term = 0;
  /// Whether it is this process.
  bool Self = false;
  /// Until when this VM may grant, by a clock that counts suspensions, if it is
  /// this process.
  time_point GrantsUntil{};
  /// What its record says, and what the record said that it replaced, if it is
  /// this process.
  granter_claims Claims = {};
  std::optional<granter_claims> Predecessor = {};

  /// \returns whether both name one granter, whatever its times.
  bool sameAs(const granter_place &Other) const {
    return Term == Other.Term && Vm == Other.Vm && Address == Other.Address &&
           Self == Other.Self;
  }
};

} // namespace masticproxy

#endif
