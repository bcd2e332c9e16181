/// \file
/// masticproxy_load: an open-loop load tool; prints its figures as JSON.

#include "masticproxy/src/StandIns/load_run.h"

#include <getopt.h>

#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace masticproxy;

namespace {

constexpr const char *Usage =
    "usage: masticproxy_load --targets ADDRESS[,ADDRESS...] --index NAME\n"
    "  --profile NAME [--rate PER_SECOND] [--length-ms N] [--body TEXT]\n"
    "  [--samples]\n";

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

load_plan readPlan(int ArgCount, char **Args) {
  static const option Known[] = {{"targets", required_argument, nullptr, 't'},
                                 {"index", required_argument, nullptr, 'i'},
                                 {"profile", required_argument, nullptr, 'p'},
                                 {"rate", required_argument, nullptr, 'r'},
                                 {"length-ms", required_argument, nullptr, 'l'},
                                 {"body", required_argument, nullptr, 'b'},
                                 {"samples", no_argument, nullptr, 's'},
                                 {nullptr, 0, nullptr, 0}};
  load_plan Plan;
  int Found = 0;
  while ((Found = getopt_long(ArgCount, Args, "", Known, nullptr)) != -1) {
    switch (Found) {
    case 't':
      Plan.Targets = split(optarg);
      break;
    case 'i':
      Plan.Index = optarg;
      break;
    case 'p':
      Plan.Profile = optarg;
      break;
    case 'r':
      Plan.Rate = std::stod(optarg);
      break;
    case 'l':
      Plan.Length = std::chrono::milliseconds(std::stol(optarg));
      break;
    case 'b':
      Plan.Body = optarg;
      break;
    case 's':
      Plan.Samples = true;
      break;
    default:
      throw std::invalid_argument(Usage);
    }
  }
  bool Whole = !Plan.Targets.empty() && !Plan.Index.empty() &&
               !Plan.Profile.empty() && Plan.Rate > 0;
  if (!Whole)
    throw std::invalid_argument(Usage);
  return Plan;
}

} // namespace

int main(int ArgCount, char **Args) {
  try {
    load_plan Plan = readPlan(ArgCount, Args);
    std::cout << toJson(Plan, runLoad(Plan));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "masticproxy_load: " << Error.what() << "\n";
    return 2;
  }
}
