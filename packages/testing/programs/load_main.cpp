/// \file
/// masticproxy_load: an open-loop load tool; prints its figures as JSON.

#include "masticproxy/src/Base/comma_list.h"
#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Settings/index_text.h"
#include "masticproxy/src/StandIns/direct_run.h"
#include "masticproxy/src/StandIns/load_run.h"

#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace masticproxy;

namespace {

constexpr const char *Usage =
    "usage: masticproxy_load --targets ADDRESS[,ADDRESS...] --index NAME\n"
    "         --profile NAME [OPTIONS]\n"
    "       masticproxy_load --direct MAP_FILE [OPTIONS]\n"
    "With --direct every shard of the map is asked without an entry VM.\n"
    "Options: [--rate PER_SECOND] [--length-ms N] [--timeout-ms N]\n"
    "  [--body TEXT] [--samples]\n"
    "Ends after length and timeout at the latest.\n";

/// \brief What the command line asks for.
struct load_options {
  load_plan Plan;
  std::string DirectMap;
  /// Whether the figures hold every latency, so that runs can be pooled.
  bool Samples = false;
};

load_options readOptions(int ArgCount, char **Args) {
  static const option Known[] = {
      {"targets", required_argument, nullptr, 't'},
      {"index", required_argument, nullptr, 'i'},
      {"profile", required_argument, nullptr, 'p'},
      {"direct", required_argument, nullptr, 'd'},
      {"rate", required_argument, nullptr, 'r'},
      {"length-ms", required_argument, nullptr, 'l'},
      {"timeout-ms", required_argument, nullptr, 'o'},
      {"body", required_argument, nullptr, 'b'},
      {"samples", no_argument, nullptr, 's'},
      {nullptr, 0, nullptr, 0}};
  load_options Options;
  load_plan &Plan = Options.Plan;
  int Found = 0;
  while ((Found = getopt_long(ArgCount, Args, "", Known, nullptr)) != -1) {
    switch (Found) {
    case 't':
      Plan.Targets = splitCommaList(optarg);
      break;
    case 'i':
      Plan.Index = optarg;
      break;
    case 'p':
      Plan.Profile = optarg;
      break;
    case 'd':
      Options.DirectMap = optarg;
      break;
    case 'r':
      Plan.Loop.Rate = std::stod(optarg);
      break;
    case 'l':
      Plan.Loop.Length = std::chrono::milliseconds(std::stol(optarg));
      break;
    case 'o':
      Plan.Loop.Timeout = std::chrono::milliseconds(std::stol(optarg));
      break;
    case 'b':
      Plan.Body = optarg;
      break;
    case 's':
      Options.Samples = true;
      break;
    default:
      throw std::invalid_argument(Usage);
    }
  }
  bool Whole =
      !Plan.Targets.empty() && !Plan.Index.empty() && !Plan.Profile.empty();
  if ((!Whole && Options.DirectMap.empty()) || !(Plan.Loop.Rate > 0))
    throw std::invalid_argument(Usage);
  return Options;
}

index_map readMap(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::invalid_argument("can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return readIndexMap(Text.str(), "direct");
}

load_result run(const load_options &Options) {
  if (Options.DirectMap.empty())
    return runLoad(Options.Plan);
  return runDirect(readMap(Options.DirectMap),
                   {Options.Plan.Body, Options.Plan.Loop});
}

} // namespace

int main(int ArgCount, char **Args) {
  try {
    load_options Options = readOptions(ArgCount, Args);
    std::cout << toJson(Options.Plan.Loop.Rate, run(Options), Options.Samples);
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "masticproxy_load: " << Error.what() << "\n";
    return 2;
  }
}
