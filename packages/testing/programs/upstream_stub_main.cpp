/// \file
/// upstream_stub: the stand-ins of all upstreams of one index, in one process.

#include "masticproxy/src/Base/comma_list.h"
#include "masticproxy/src/StandIns/upstream_stub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <getopt.h>

#include <csignal>
#include <iostream>
#include <stdexcept>
#include <vector>

using namespace masticproxy;

namespace {

/// \brief What the command line asks for.
struct stub_options {
  std::string Host = "127.0.0.1";
  unsigned FirstPort = 9000;
  unsigned Shards = 10;
  unsigned Replicas = 3;
  std::string Snapshot = "s1";
  std::vector<std::string> DataCentres{"dc1"};
  bool PrintMap = false;
  unsigned Seed = 1;
  upstream_shape Shape;
};

constexpr const char *Usage =
    "usage: upstream_stub [--host IP] [--first-port N] [--shards N]\n"
    "  [--replicas N] [--slots N] [--connections N] [--setup-ms N] "
    "[--service-us N]\n"
    "  [--queue N] [--data-centres A,B] [--snapshot ID] [--seed N]\n"
    "  [--straggler-share X] [--print-map]\n"
    "Replica R of shard S listens on first-port + S * replicas + R.\n";

void setOption(stub_options &Options, const std::string &Name,
               const std::string &Value) {
  if (Name == "host")
    Options.Host = Value;
  else if (Name == "first-port")
    Options.FirstPort = std::stoul(Value);
  else if (Name == "shards")
    Options.Shards = std::stoul(Value);
  else if (Name == "replicas")
    Options.Replicas = std::stoul(Value);
  else if (Name == "slots")
    Options.Shape.Slots = std::stoul(Value);
  else if (Name == "connections")
    Options.Shape.Connections = std::stoul(Value);
  else if (Name == "setup-ms")
    Options.Shape.SetupDelay = std::chrono::milliseconds(std::stoul(Value));
  else if (Name == "service-us")
    Options.Shape.ServiceTime = std::chrono::microseconds(std::stoul(Value));
  else if (Name == "queue")
    Options.Shape.Queue = std::stoul(Value);
  else if (Name == "straggler-share")
    Options.Shape.StragglerShare = std::stod(Value);
  else if (Name == "data-centres")
    Options.DataCentres = splitCommaList(Value);
  else if (Name == "snapshot")
    Options.Snapshot = Value;
  else if (Name == "seed")
    Options.Seed = std::stoul(Value);
}

stub_options readOptions(int ArgCount, char **Args) {
  static const option Known[] = {
      {"host", required_argument, nullptr, 0},
      {"first-port", required_argument, nullptr, 0},
      {"shards", required_argument, nullptr, 0},
      {"replicas", required_argument, nullptr, 0},
      {"slots", required_argument, nullptr, 0},
      {"connections", required_argument, nullptr, 0},
      {"setup-ms", required_argument, nullptr, 0},
      {"service-us", required_argument, nullptr, 0},
      {"queue", required_argument, nullptr, 0},
      {"straggler-share", required_argument, nullptr, 0},
      {"data-centres", required_argument, nullptr, 0},
      {"snapshot", required_argument, nullptr, 0},
      {"seed", required_argument, nullptr, 0},
      {"print-map", no_argument, nullptr, 'm'},
      {nullptr, 0, nullptr, 0}};
  stub_options Options;
  int Position = 0;
  int Found = 0;
  while ((Found = getopt_long(ArgCount, Args, "", Known, &Position)) != -1) {
    if (Found == 'm')
      Options.PrintMap = true;
    else if (Found == 0)
      setOption(Options, Known[Position].name, optarg);
    else
      throw std::invalid_argument(Usage);
  }
  return Options;
}

std::string addressOf(const stub_options &Options, unsigned Shard,
                      unsigned Replica) {
  unsigned Port = Options.FirstPort + Shard * Options.Replicas + Replica;
  return Options.Host + ":" + std::to_string(Port);
}

nlohmann::json makeMap(const stub_options &Options) {
  nlohmann::json Shards = nlohmann::json::array();
  for (unsigned S = 0; S < Options.Shards; ++S) {
    nlohmann::json Replicas = nlohmann::json::array();
    for (unsigned R = 0; R < Options.Replicas; ++R)
      Replicas.push_back(
          {{"address", addressOf(Options, S, R)},
           {"data_centre", Options.DataCentres[R % Options.DataCentres.size()]},
           {"slots", Options.Shape.Slots},
           {"connections", Options.Shape.Connections}});
    Shards.push_back({{"id", std::to_string(S)}, {"replicas", Replicas}});
  }
  return {{"snapshot", Options.Snapshot}, {"shards", Shards}};
}

int serve(const stub_options &Options) {
  boost::asio::io_context Context(1);
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const auto &, int) { Context.stop(); });
  std::vector<std::unique_ptr<upstream_stub>> Upstreams;
  for (unsigned S = 0; S < Options.Shards; ++S)
    for (unsigned R = 0; R < Options.Replicas; ++R)
      Upstreams.push_back(std::make_unique<upstream_stub>(
          Context, addressOf(Options, S, R), Options.Shape,
          Options.Seed + S * Options.Replicas + R));
  Context.run();
  return 0;
}

} // namespace

int main(int ArgCount, char **Args) {
  try {
    stub_options Options = readOptions(ArgCount, Args);
    if (!Options.PrintMap)
      return serve(Options);
    std::cout << makeMap(Options).dump() << "\n";
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "upstream_stub: " << Error.what() << "\n";
    return 2;
  }
}
