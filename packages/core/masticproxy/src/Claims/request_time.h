#ifndef MASTICPROXY_CLAIMS_REQUEST_TIME_H
#define MASTICPROXY_CLAIMS_REQUEST_TIME_H

#include "masticproxy/src/Claims/claim_timing.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace masticproxy {

/// \brief Whether a request id may be claimed at an instant.
enum class request_id_state { Usable, WithoutTime, Ahead, TooOld };

/// \returns the time that \p RequestId carries, since 1970: a UUID of version
/// 7, or `MILLISECONDS-TEXT` with 13 digits.
std::optional<std::chrono::milliseconds>
requestTime(std::string_view RequestId);

/// \returns whether \p RequestId may be claimed at the wall time \p Now.
request_id_state judgeRequestId(std::string_view RequestId,
                                std::chrono::microseconds Now,
                                const claim_timing &Timing);

/// \returns whether every VM, whatever its skew, takes \p RequestId for too
/// old at the wall time \p Now, so that its claim object is of no more use.
bool claimIsObsolete(std::string_view RequestId, std::chrono::microseconds Now,
                     const claim_timing &Timing);

} // namespace masticproxy

#endif
