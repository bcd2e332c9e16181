#ifndef MASTICPROXY_DAEMON_QUOTA_CODEC_H
#define MASTICPROXY_DAEMON_QUOTA_CODEC_H

#include "masticproxy/src/Quota/quota_answer.h"
#include "masticproxy/src/Quota/quota_ask.h"

#include <string>
#include <string_view>

namespace masticproxy {

/// \returns the JSON text of a message between VMs.
std::string toJson(const quota_ask &Ask);
std::string toJson(const quota_answer &Answer);

/// \returns the message in \p Text. \throws std::exception if it is none.
quota_ask readQuotaAsk(std::string_view Text);
quota_answer readQuotaAnswer(std::string_view Text);

} // namespace masticproxy

#endif
