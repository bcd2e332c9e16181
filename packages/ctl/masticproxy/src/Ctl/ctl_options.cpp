#include "masticproxy/src/Ctl/ctl_options.h"

#include "masticproxy/src/Base/comma_list.h"
#include "masticproxy/src/Ctl/ctl_error.h"

#include <getopt.h>

#include <charconv>
#include <fstream>
#include <sstream>

using namespace masticproxy;

namespace {

std::uint64_t readNumber(const std::string &Option, const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Stop != End)
    throw ctl_error(ctl_exit::Usage,
                    Option + " needs a whole number, not \"" + Text + "\"");
  return Number;
}

} // namespace

ctl_options masticproxy::readCtlOptions(int ArgCount, char **Args) {
  static const option Known[] = {
      {"vm", required_argument, nullptr, 'm'},
      {"platform", required_argument, nullptr, 'p'},
      {"index", required_argument, nullptr, 'i'},
      {"profile", required_argument, nullptr, 'f'},
      {"request", required_argument, nullptr, 'r'},
      {"body", required_argument, nullptr, 'b'},
      {"if-version", required_argument, nullptr, 'v'},
      {"timeout-ms", required_argument, nullptr, 't'},
      {"kind", required_argument, nullptr, KindOption},
      {"vm-name", required_argument, nullptr, VmNameOption},
      {"upstream", required_argument, nullptr, UpstreamOption},
      {"since", required_argument, nullptr, SinceOption},
      {"until", required_argument, nullptr, UntilOption},
      {"follow", no_argument, nullptr, FollowOption},
      {"for", required_argument, nullptr, ForOption},
      {"waterfall", no_argument, nullptr, WaterfallOption},
      {"svg", required_argument, nullptr, SvgOption},
      {"json", no_argument, nullptr, 'j'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0}};
  ctl_options Options;
  opterr = 0;
  optind = 1;
  int Found = 0;
  while ((Found = getopt_long(ArgCount, Args, "hV", Known, nullptr)) != -1) {
    switch (Found) {
    case 'm':
      Options.Vms = splitCommaList(optarg);
      std::erase(Options.Vms, "");
      break;
    case 'p':
      Options.Platform = optarg;
      break;
    case 'i':
      Options.Index = optarg;
      break;
    case 'f':
      Options.Profile = optarg;
      break;
    case 'r':
      Options.RequestId = optarg;
      break;
    case 'b':
      Options.Body = optarg;
      break;
    case 'v':
      Options.IfVersion = readNumber("--if-version", optarg);
      break;
    case 't':
      Options.Timeout =
          std::chrono::milliseconds(readNumber("--timeout-ms", optarg));
      break;
    case 'j':
      Options.Json = true;
      break;
    case 'h':
      Options.ShowHelp = true;
      break;
    case 'V':
      Options.ShowVersion = true;
      break;
    default:
      if (takeTimelineOption(Found, optarg, Options.Timeline))
        break;
      throw ctl_error(ctl_exit::Usage, "unknown or incomplete option: " +
                                           std::string(Args[optind - 1]));
    }
  }
  for (int I = optind; I < ArgCount; ++I)
    Options.Words.emplace_back(Args[I]);
  return Options;
}

std::string masticproxy::readTextFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw ctl_error(ctl_exit::Usage, "can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}
