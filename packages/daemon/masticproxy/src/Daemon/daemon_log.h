#ifndef MASTICPROXY_DAEMON_DAEMON_LOG_H
#define MASTICPROXY_DAEMON_DAEMON_LOG_H

#include <string>
#include <string_view>

namespace masticproxy {

/// Sets up logging to standard error as `time=... level=... key=value ...`.
void setUpLog(std::string_view Level, std::string_view Vm);

/// Changes the least level that is written: debug, info, warn or error.
void setLogLevel(std::string_view Level);

/// Writes one line for a change of state, as key=value pairs.
void logInfo(const std::string &Line);

/// \copydoc logInfo
void logWarning(const std::string &Line);

/// \copydoc logInfo
void logError(const std::string &Line);

} // namespace masticproxy

#endif
