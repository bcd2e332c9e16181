#ifndef MASTICPROXY_SOAK_SOAK_TIMING_H
#define MASTICPROXY_SOAK_SOAK_TIMING_H

#include <chrono>
#include <cstdint>

/// \file
/// Bounds of the promises, as the users' rules give them for the sites of
/// today.

namespace masticproxy::soak {

/// Time without disruption after which a VM has to keep the timed promises.
inline constexpr std::chrono::milliseconds StableWindow{4000};

/// Time from an upstream's word that it drains until it gets nothing new.
inline constexpr std::chrono::milliseconds DrainWithin{3000};

/// Time from an upstream's word that it wants a pause until that counts, and
/// what may reach it from one VM until the end of the pause.
inline constexpr std::chrono::milliseconds PauseSlack{500};
inline constexpr unsigned PauseArrivals = 2;

/// Pause that an upstream asks for.
inline constexpr std::chrono::milliseconds AskedPause{1500};

/// Time after its caller left in which a request may still reach an upstream.
inline constexpr std::chrono::milliseconds LeftWithin{500};

/// Time-out of the site's routes.
inline constexpr std::chrono::milliseconds RequestTimeout{1500};

/// Time after that in which the last answer has to come; it is broken by
/// this many requests, if they are more than one in HeldPart of the long ones.
inline constexpr std::chrono::milliseconds HeldSlack{500};
inline constexpr unsigned HeldAtLeast = 8;
inline constexpr unsigned HeldPart = 4;

/// Time in which a leaving VM may close on a request that crosses its close.
inline constexpr std::chrono::milliseconds LossSlack{200};

/// Requests that were passed on and closed on, in a whole run.
inline constexpr unsigned LostAtMost = 3;

/// Time from SIGTERM until a process has to be gone.
inline constexpr std::chrono::milliseconds Grace{6000};

/// Resident memory of a VM's process at its peak.
inline constexpr std::uint64_t MostPeakBytes = 100ULL << 20U;

/// Time from the start of a process until its own code surely runs: before that
/// SIGTERM ends it, and it has taken no request.
inline constexpr std::chrono::milliseconds LoadTime{100};

/// Time from the last fault until requests are served again, and the share
/// that is then served.
inline constexpr std::chrono::seconds RecoveryTime{12};
inline constexpr double RecoveredShare = 0.25;

} // namespace masticproxy::soak

#endif
