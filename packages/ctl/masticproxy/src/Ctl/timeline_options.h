#ifndef MASTICPROXY_CTL_TIMELINE_OPTIONS_H
#define MASTICPROXY_CTL_TIMELINE_OPTIONS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace masticproxy {

struct ctl_options;

/// Codes of the options of `timeline` for getopt_long; beyond all letters.
enum timeline_option : int {
  KindOption = 256,
  VmNameOption,
  UpstreamOption,
  SinceOption,
  UntilOption,
  FollowOption,
  ForOption,
  WaterfallOption,
  SvgOption,
};

/// \brief What the command line asks of `timeline` alone.
struct timeline_options {
  std::vector<std::string> Kinds = {};
  std::string VmName = {};
  std::string Upstream = {};
  /// A span back from now, or wall time.
  std::string Since = {};
  std::string Until = {};
  bool Follow = false;
  std::optional<std::chrono::microseconds> For = {};
  bool Waterfall = false;
  std::string SvgFile = {};
};

/// Takes the option with \p Code. \returns false where it is none of
/// `timeline`. \throws ctl_error where \p Text is wrong.
bool takeTimelineOption(int Code, const char *Text, timeline_options &Into);

/// \throws ctl_error where the options of `timeline` don't go together.
void checkTimelineOptions(const ctl_options &Options);

/// \returns the instant, since 1970, that \p Text of \p Option names. \throws
/// ctl_error where it names none.
std::chrono::microseconds instantOf(const std::string &Option,
                                    const std::string &Text,
                                    std::chrono::microseconds Now);

} // namespace masticproxy

#endif
