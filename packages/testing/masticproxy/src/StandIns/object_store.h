#ifndef MASTICPROXY_STANDINS_OBJECT_STORE_H
#define MASTICPROXY_STANDINS_OBJECT_STORE_H

#include "masticproxy/src/Net/platform_api.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace masticproxy {

/// \brief The objects of the platform's stand-in, in memory.
class object_store {
public:
  /// \returns the object, or null where it does not exist.
  const platform_object *get(std::string_view Kind,
                             std::string_view Name) const;

  /// Writes if the version fits. \sa platform_api::put
  platform_write_result put(std::string_view Kind, std::string_view Name,
                            std::uint64_t IfVersion, std::string_view Value);

  /// Deletes if the version fits. \sa platform_api::remove
  platform_write_result remove(std::string_view Kind, std::string_view Name,
                               std::uint64_t IfVersion);

  /// \returns the newest state of each object changed after \p After, of
  /// \p Kind only if it is not empty.
  platform_changes changesAfter(std::uint64_t After,
                                std::string_view Kind) const;

  /// \returns the revision of the last write.
  std::uint64_t revision() const { return Revision; }

private:
  platform_write_result write(std::string_view Kind, std::string_view Name,
                              std::uint64_t IfVersion, std::string_view Value,
                              bool Deleted);

  std::map<std::pair<std::string, std::string>, platform_object> Objects;
  std::uint64_t Revision = 0;
};

} // namespace masticproxy

#endif
