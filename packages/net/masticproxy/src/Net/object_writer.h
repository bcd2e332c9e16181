#ifndef MASTICPROXY_NET_OBJECT_WRITER_H
#define MASTICPROXY_NET_OBJECT_WRITER_H

#include "masticproxy/src/Net/platform_api.h"

#include <cstdint>
#include <string_view>

namespace masticproxy {

/// \brief Writes this system's own objects of one kind to a platform's store.
/// Calls wait for the answer.
class object_writer {
public:
  virtual ~object_writer() = default;

  /// Writes \p Value, JSON text, if the object \p Name has the version
  /// \p IfVersion; 0 creates it and conflicts where it exists.
  virtual platform_write_result put(std::string_view Name,
                                    std::uint64_t IfVersion,
                                    std::string_view Value) = 0;

  /// Deletes the object if its version is \p IfVersion. An object that does not
  /// exist is a conflict.
  virtual platform_write_result remove(std::string_view Name,
                                       std::uint64_t IfVersion) = 0;
};

} // namespace masticproxy

#endif
