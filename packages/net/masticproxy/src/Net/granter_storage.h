#ifndef MASTICPROXY_NET_GRANTER_STORAGE_H
#define MASTICPROXY_NET_GRANTER_STORAGE_H

#include "masticproxy/src/Discovery/read_freshness.h"
#include "masticproxy/src/Net/platform_api.h"
#include "masticproxy/src/Quota/granter_record.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace masticproxy {

/// \brief The granter's lease as a call found it or made it.
struct granter_found {
  /// Empty if there is none.
  std::optional<stored_granter> Stored;
  /// How often the store came back from a copy.
  std::uint64_t Era = 0;
};

/// \brief A conditional write that did not take effect, as this is there.
struct granter_conflict {
  std::optional<stored_granter> Stored;
  std::uint64_t Era = 0;
};

using granter_storage_result =
    std::variant<granter_found, granter_conflict, platform_unavailable>;

/// \brief Where the granter's lease is kept. Calls wait for the answer.
class granter_storage {
public:
  virtual ~granter_storage() = default;

  /// \returns the lease, as new as \p Freshness says.
  virtual granter_storage_result read(read_freshness Freshness) = 0;

  /// Writes \p Record if the lease has the revision \p IfRevision; 0 creates
  /// it.
  virtual granter_storage_result write(const granter_record &Record,
                                       std::uint64_t IfRevision) = 0;
};

} // namespace masticproxy

#endif
