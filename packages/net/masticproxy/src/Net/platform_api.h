#ifndef MASTICPROXY_NET_PLATFORM_API_H
#define MASTICPROXY_NET_PLATFORM_API_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticproxy {

/// Longest value of an object, in bytes.
inline constexpr std::size_t MaxObjectValueBytes = 1U << 20U;

/// \brief One object of the platform's object API.
struct platform_object {
  std::string Kind;
  std::string Name;
  /// Revision of the write that made this state.
  std::uint64_t Version = 0;
  bool Deleted = false;
  std::string Value;
};

/// \brief The platform gave no answer; a write may have taken effect.
struct platform_unavailable {
  std::string Reason;
};

/// \brief A conditional write found another version.
struct platform_conflict {
  /// What stands there now; nothing where the object does not exist.
  std::optional<platform_object> Current;
};

/// \brief The object does not exist.
struct platform_missing {};

/// \brief Objects in the order of their versions.
struct platform_changes {
  /// Revision up to which the list is complete.
  std::uint64_t Revision = 0;
  std::vector<platform_object> Objects;
  /// What could not be read as an object.
  std::vector<std::string> Problems = {};
  /// Number of times that the platform came back from a copy, if it states it.
  std::optional<std::uint64_t> Era = {};
};

/// \brief A VM as the platform lists it; the list lags.
struct platform_vm {
  std::string Name;
  std::string DataCentre;
  std::string PeerAddress;
  bool Leaving = false;
};

using platform_read_result =
    std::variant<platform_object, platform_missing, platform_unavailable>;
using platform_write_result =
    std::variant<platform_object, platform_conflict, platform_unavailable>;
using platform_changes_result =
    std::variant<platform_changes, platform_unavailable>;
using platform_vms_result =
    std::variant<std::vector<platform_vm>, platform_unavailable>;

/// \brief The platform's object API and VM list. Calls wait for the answer.
class platform_api {
public:
  virtual ~platform_api() = default;

  /// \returns the object \p Name of \p Kind.
  virtual platform_read_result get(std::string_view Kind,
                                   std::string_view Name) = 0;

  /// Writes \p Value if the object's version is \p IfVersion; 0 creates it and
  /// conflicts where it exists.
  virtual platform_write_result put(std::string_view Kind,
                                    std::string_view Name,
                                    std::uint64_t IfVersion,
                                    std::string_view Value) = 0;

  /// Deletes the object if its version is \p IfVersion.
  virtual platform_write_result remove(std::string_view Kind,
                                       std::string_view Name,
                                       std::uint64_t IfVersion) = 0;

  /// \returns all objects of \p Kind.
  virtual platform_changes_result list(std::string_view Kind) = 0;

  /// Waits up to \p Wait for a change after revision \p After. \returns the
  /// newest state of each object changed since, deleted ones included; an
  /// empty list where nothing changed.
  virtual platform_changes_result watch(std::uint64_t After,
                                        std::chrono::milliseconds Wait) = 0;

  /// \returns the VMs of the system, as the platform sees them.
  virtual platform_vms_result listVms() = 0;
};

} // namespace masticproxy

#endif
