#ifndef MASTICPROXY_NET_HTTP_PLATFORM_H
#define MASTICPROXY_NET_HTTP_PLATFORM_H

#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Net/platform_api.h"
#include "masticproxy/src/Net/platform_caller.h"

#include <stop_token>

namespace masticproxy {

/// \brief The platform's object API over HTTP.
class http_platform : public platform_api {
public:
  /// Talks to \p Address; each call but a watch ends after \p CallTimeout, and
  /// all calls end when \p Stop is requested.
  http_platform(std::string Address, std::chrono::milliseconds CallTimeout,
                std::stop_token Stop = {});

  platform_read_result get(std::string_view Kind,
                           std::string_view Name) override;
  platform_write_result put(std::string_view Kind, std::string_view Name,
                            std::uint64_t IfVersion,
                            std::string_view Value) override;
  platform_write_result remove(std::string_view Kind, std::string_view Name,
                               std::uint64_t IfVersion) override;
  platform_changes_result list(std::string_view Kind) override;
  platform_changes_result watch(std::uint64_t After,
                                std::chrono::milliseconds Wait) override;
  platform_vms_result listVms() override;

private:
  std::variant<http_response, platform_unavailable>
  call(std::string_view Method, std::string Target, std::string_view Body = {},
       std::chrono::milliseconds Wait = std::chrono::milliseconds(0));
  platform_write_result write(std::string_view Method, std::string_view Kind,
                              std::string_view Name, std::uint64_t IfVersion,
                              std::string_view Value);
  platform_changes_result changes(std::string Target,
                                  std::chrono::milliseconds Wait);

  platform_caller Caller;
};

} // namespace masticproxy

#endif
