#ifndef MASTICPROXY_QUOTA_GRANTER_RECORD_H
#define MASTICPROXY_QUOTA_GRANTER_RECORD_H

#include "masticproxy/src/Quota/granter_claims.h"

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief The lease of the VM that divides the quotas, as the platform's store
/// keeps it.
struct granter_record {
  std::string Vm;
  /// Tells the starts of the VM's process apart. It need not grow, as the wall
  /// clock that it comes from may be set back.
  std::uint64_t Incarnation = 0;
  /// IP number and port at which VMs ask it.
  std::string Address;
  /// Grows with each new holder.
  std::uint64_t Term = 0;
  /// Grows with each reply of one holder to a challenge.
  std::uint64_t Renewals = 0;
  /// Another VM wants to know whether the holder lives.
  bool Challenged = false;
  /// Era of the store in which it is certain that there was no other holder. In
  /// a later one, one may have been forgotten.
  std::uint64_t Era = 0;
  /// The holder has ceased to grant, so that the lease is free.
  bool Left = false;
  granter_claims Claims = {};

  bool operator==(const granter_record &) const = default;
};

/// \brief A granter_record with the revision of the store that wrote it.
struct stored_granter {
  granter_record Record;
  std::uint64_t Revision = 0;
};

} // namespace masticproxy

#endif
