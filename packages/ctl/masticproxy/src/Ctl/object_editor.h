#ifndef MASTICPROXY_CTL_OBJECT_EDITOR_H
#define MASTICPROXY_CTL_OBJECT_EDITOR_H

#include "masticproxy/src/Net/platform_api.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

/// Start of the line before a profile or index map that `get` prints.
inline constexpr std::string_view VersionLinePrefix = "# version ";

/// \brief The edit took effect.
struct edit_applied {
  /// 0 where an object that is gone was to be deleted.
  std::uint64_t Version = 0;
  /// Whether the platform's answer was lost and the edit was found by reading
  /// back.
  bool FoundByReadingBack = false;
};

/// \brief Somebody else changed the object; nothing was written.
struct edit_conflict {
  /// What stands there now; nothing where the object does not exist.
  std::optional<platform_object> Current;
  /// What was read before the write, where it was.
  std::optional<platform_object> Before = {};
};

/// \brief The platform gave no answer; the edit may have taken effect.
struct edit_unknown {
  std::string Reason;
  /// Somebody else's later state, where one was seen: it has replaced the
  /// edit, or came before it.
  std::optional<platform_object> Current = {};
};

/// \brief The platform could not be read; nothing was written.
struct edit_not_made {
  std::string Reason;
};

/// \brief The text is longer than the platform holds; nothing was written.
struct edit_too_long {
  std::size_t Bytes = 0;
};

/// \brief There is nothing to delete.
struct edit_missing {};

using edit_result = std::variant<edit_applied, edit_conflict, edit_unknown,
                                 edit_not_made, edit_too_long, edit_missing>;

/// \brief Writes configuration objects so that no edit is lost or made twice.
class object_editor {
public:
  explicit object_editor(platform_api &Platform) : Platform(Platform) {}

  /// Writes \p Text if the object still has version \p IfVersion; without one,
  /// if it does not change between a read and the write. \p EditId marks the
  /// text, so that the edit is known again when the answer is lost.
  edit_result apply(std::string_view Kind, std::string_view Name,
                    std::string_view Text, std::string_view EditId,
                    std::optional<std::uint64_t> IfVersion);

  /// Deletes the object if it still has version \p IfVersion; without one, if
  /// it does not change between a read and the deletion.
  edit_result remove(std::string_view Kind, std::string_view Name,
                     std::optional<std::uint64_t> IfVersion);

private:
  using attempt = std::function<platform_write_result()>;
  using is_own = std::function<bool(const platform_read_result &)>;

  platform_write_result retry(const attempt &Attempt);
  edit_result readBack(std::string_view Kind, std::string_view Name,
                       const is_own &IsOwn, const std::string &Reason);

  platform_api &Platform;
};

/// \returns \p Text of an object of \p Kind as it is written: without the line
/// that `get` prints above it, and a profile marked with \p EditId.
std::string markEdit(std::string_view Kind, std::string_view Text,
                     std::string_view EditId);

/// \returns \p Text without the line that `get` prints above it.
std::string_view withoutVersionLine(std::string_view Text);

/// \returns the version in the first line of \p Text, as `get` prints it, or
/// nothing where there is none.
std::optional<std::uint64_t> baseVersionIn(std::string_view Text);

} // namespace masticproxy

#endif
