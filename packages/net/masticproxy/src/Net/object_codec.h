#ifndef MASTICPROXY_NET_OBJECT_CODEC_H
#define MASTICPROXY_NET_OBJECT_CODEC_H

#include "masticproxy/src/Discovery/discovery_event.h"
#include "masticproxy/src/Discovery/read_freshness.h"
#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Net/platform_api.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticproxy {

/// \brief One page of a list of objects.
struct object_page {
  std::vector<platform_object> Objects;
  /// Revision of the platform that the page shows.
  std::uint64_t Revision = 0;
  /// Name to go on after; empty on the last page.
  std::string Continue;
  /// What could not be read as an object.
  std::vector<std::string> Problems = {};
  /// Number of times that the platform came back from a copy, if it states it.
  std::optional<std::uint64_t> Era = {};
};

/// \brief The platform has dropped the history that a watch asked for.
struct history_gone {};

using object_page_result = std::variant<object_page, platform_unavailable>;
using object_watch_result =
    std::variant<platform_changes, history_gone, platform_unavailable>;

/// \brief Says how one kind of a platform's objects is asked for, and what the
/// answers mean.
class object_codec {
public:
  virtual ~object_codec() = default;

  /// \returns the request for the page of objects after \p Name, from a source
  /// of this \p Freshness.
  virtual http_request listRequest(std::string_view Name,
                                   read_freshness Freshness) const = 0;

  /// \returns the request for changes after \p Revision, which the platform
  /// may hold back for \p Wait, from a source of this \p Freshness.
  virtual http_request watchRequest(std::uint64_t Revision,
                                    std::chrono::milliseconds Wait,
                                    read_freshness Freshness) const = 0;

  virtual object_page_result readPage(const http_response &Answer) const = 0;
  virtual object_watch_result
  readChanges(const http_response &Answer) const = 0;

  /// \returns what the complete list \p Objects says. What can't be read is
  /// named in \p Problems and left out.
  virtual std::vector<discovery_event>
  readList(const std::vector<platform_object> &Objects,
           std::vector<std::string> &Problems) const = 0;

  /// \returns what a changed object says; nothing where it can't be read, which
  /// \p Problems then names.
  virtual std::vector<discovery_event>
  readChange(const platform_object &Object,
             std::vector<std::string> &Problems) const = 0;
};

} // namespace masticproxy

#endif
