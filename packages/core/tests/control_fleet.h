#ifndef MASTICPROXY_TESTS_CONTROL_FLEET_H
#define MASTICPROXY_TESTS_CONTROL_FLEET_H

#include "masticproxy/Base"
#include "masticproxy/Cluster"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief A clock that is ahead of another by a fixed span.
class skewed_clock : public clock {
public:
  skewed_clock(const clock &True, duration Ahead) : True(True), Ahead(Ahead) {}
  time_point now() const override { return True.now() + Ahead; }
  std::chrono::microseconds wallTime() const override {
    return True.wallTime() +
           std::chrono::duration_cast<std::chrono::microseconds>(Ahead);
  }

private:
  const clock &True;
  duration Ahead;
};

/// \brief Time that all VMs of a fleet live in.
class fleet_clock : public clock {
public:
  time_point now() const override { return Now; }
  std::chrono::microseconds wallTime() const override {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        Now.time_since_epoch());
  }
  time_point Now{std::chrono::hours(1)};
};

/// \brief Rules that a test breaks on purpose, to see that it is caught.
struct fleet_faults {
  bool CompletesBeyondGaps = false;
  bool AppliesOldVersions = false;
  bool JoinsUnacknowledged = false;
  bool GrowsAtOnce = false;
  bool HoldsThroughPauses = false;
  bool BelievesHearsay = false;
  bool ForgetsQuestions = false;
};

/// \brief The platform as the fleet sees it.
struct fleet_platform {
  using key = std::pair<std::string, std::string>;
  std::map<key, configuration_record> Objects;
  std::uint64_t Revision = 0;
  bool Down = false;

  void write(const std::string &Name, bool Deleted) {
    Objects[{"profile", Name}] = {"profile", Name, ++Revision, Deleted, "v"};
  }

  configuration_push changesAfter(std::uint64_t After) const {
    configuration_push Push;
    Push.AfterRevision = After;
    Push.Revision = Revision;
    for (const auto &[Key, Record] : Objects)
      if (Record.Version > After)
        Push.Records.push_back(Record);
    return Push;
  }
};

/// \brief One VM's decisions, and the connections it holds to one upstream.
struct fleet_vm {
  fleet_vm(const clock &True, const member_info &Self, duration Ahead,
           bool GrowsAtOnce);

  skewed_clock Clock;
  membership Members;
  connection_share Share;
  configuration_sync Sync;
  watcher_choice Watchers;
  platform_follower Follower;
  connection_grant Applying;
  std::map<std::string, std::uint64_t> InForce;
  unsigned Held = 0;
  bool Watching = false;
  bool Reached = false;
  bool Paused = false;
  /// Step at which it reads the platform's list of VMs again.
  std::uint64_t NextListing = 0;
};

/// \brief Many VMs' control decisions in one process, with a lossy network.
class control_fleet {
public:
  /// Connections that the one upstream accepts.
  unsigned Limit = 65;
  fleet_platform Platform;
  fleet_platform StalePlatform;
  /// Whether reads show StalePlatform now and then.
  bool StaleReads = false;
  /// Chance of a message to be lost, and to be doubled, in percent.
  unsigned Loss = 0;
  unsigned Doubled = 0;
  /// Data centres that do not reach the platform.
  std::set<std::string> WithoutPlatform;
  /// Pairs (from, to) between which nothing passes.
  std::set<std::pair<std::string, std::string>> Cuts;
  std::map<std::string, std::unique_ptr<fleet_vm>> Vms;

  explicit control_fleet(unsigned Seed, fleet_faults Faults = {})
      : Faults(Faults), Random(Seed) {}

  /// Starts a VM, which reads the VM list if it reaches the platform.
  void start(const std::string &Name, const std::string &DataCentre = "dc1");
  void kill(const std::string &Name) { Vms.erase(Name); }
  void pause(const std::string &Name);
  void resume(const std::string &Name);

  /// Lets one step of time pass for all.
  void step();
  void run(duration Span);

  /// \returns connections held by VMs that run, and by all.
  unsigned heldByRunning() const;
  unsigned heldByAll() const;

  /// \returns what each VM holds and thinks of the others, for a test's
  /// message.
  std::string describe() const;

  /// \returns whether each VM that runs holds what the platform holds.
  bool allLevel() const;
  /// \returns whether each VM sees just those of its data centre that run.
  bool membersAgree() const;
  /// Whether a version ever went back on a VM.
  bool Reverted = false;

private:
  struct packet {
    unsigned Steps;
    std::string From;
    std::string To;
    peer_message Message;
  };

  void list(fleet_vm &Vm);
  void send(const std::string &From, const std::string &To,
            const peer_message &Message);
  void deliver();
  void receive(const std::string &Name, const peer_message &Message);
  void takeIn(fleet_vm &Vm, configuration_push Push);
  void breakRules(const fleet_vm &Vm, heartbeat &Heartbeat) const;
  void beat(const std::string &Name, fleet_vm &Vm);
  static void addState(const fleet_vm &Vm, heartbeat &Heartbeat);
  void watch(const std::string &Name, fleet_vm &Vm);
  void holdConnections(fleet_vm &Vm);
  unsigned dice(unsigned Sides) { return Random() % Sides; }

  fleet_faults Faults;
  std::minstd_rand Random;
  fleet_clock Clock;
  std::vector<packet> Network;
  std::uint64_t Steps = 0;
};

inline constexpr std::chrono::milliseconds FleetStep{250};

} // namespace masticproxy

#endif
