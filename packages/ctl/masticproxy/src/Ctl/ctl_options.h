#ifndef MASTICPROXY_CTL_CTL_OPTIONS_H
#define MASTICPROXY_CTL_CTL_OPTIONS_H

#include "masticproxy/src/Ctl/timeline_options.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief What the command line of masticctl asks for.
struct ctl_options {
  /// Words that are no options: the command and its arguments.
  std::vector<std::string> Words;
  /// Callers' addresses of the VMs to ask.
  std::vector<std::string> Vms;
  std::string Platform;
  std::string Index;
  std::string Profile;
  std::string RequestId;
  std::string Body = "{}";
  std::optional<std::uint64_t> IfVersion;
  std::chrono::milliseconds Timeout{5000};
  bool Json = false;
  bool ShowHelp = false;
  bool ShowVersion = false;
  timeline_options Timeline;
};

/// Reads the command line. \throws ctl_error where it is wrong.
ctl_options readCtlOptions(int ArgCount, char **Args);

/// \returns the text of the file at \p Path. \throws ctl_error where it can't
/// be read.
std::string readTextFile(const std::string &Path);

} // namespace masticproxy

#endif
