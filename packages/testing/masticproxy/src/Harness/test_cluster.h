#ifndef MASTICPROXY_HARNESS_TEST_CLUSTER_H
#define MASTICPROXY_HARNESS_TEST_CLUSTER_H

#include "masticproxy/src/Harness/child_process.h"
#include "masticproxy/src/Net/http_message.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief What a test_cluster is made of.
struct cluster_plan {
  /// First of the 100 ports that the cluster uses; below 32768, and another
  /// for each test, as tests run side by side.
  unsigned FirstPort = 20000;
  /// Data centre of each VM, in order.
  std::vector<std::string> VmDataCentres{"dc1", "dc1"};
  unsigned Shards = 4;
  unsigned Replicas = 3;
  /// Data centres of the replicas, in turn.
  std::string ReplicaDataCentres = "dc1";
  /// Further options of upstream_stub, such as `--service-us`, `2000`.
  std::vector<std::string> UpstreamOptions = {};
  /// Lines added to each VM's settings.
  std::string MoreSettings = {};
};

/// \brief A platform, upstreams and entry VMs as real processes on loopback.
///
/// The index is called `index`; profiles come from setProfile().
class test_cluster {
public:
  explicit test_cluster(cluster_plan Plan);
  ~test_cluster();

  /// Starts the platform and the upstreams, and writes the index map and the
  /// VM list.
  void startSurroundings();

  /// Starts the VM at \p Index.
  void startVm(std::size_t Index);

  /// Starts all, and waits until every VM is ready.
  void startAll();

  /// Writes the profile called \p Name.
  void setProfile(const std::string &Name, const std::string &Text);

  /// Sends a query to the VM at \p Index. \returns its response, or nothing
  /// where none came.
  std::optional<http_response> query(std::size_t Index,
                                     const std::string &Profile,
                                     const std::string &RequestId = "",
                                     const std::string &Body = "{}");

  /// Sends \p Request to \p Address. \returns the response, or nothing.
  std::optional<http_response> send(const std::string &Address,
                                    http_request Request);

  /// Sends a GET. \returns the body, or "".
  std::string get(const std::string &Address, const std::string &Target);

  /// Sets faults of a stand-in, as JSON.
  void setFaults(const std::string &Address, const std::string &Json);

  /// Waits up to \p Longest until \p Condition holds. \returns whether it did.
  bool waitUntil(const std::function<bool()> &Condition,
                 std::chrono::milliseconds Longest = std::chrono::seconds(10));

  /// Starts the program \p Name with \p Args and waits. \returns its exit
  /// code, -1 where it does not end; what it printed goes to \p Output.
  int run(const std::string &Name, const std::vector<std::string> &Args,
          std::string &Output);

  /// Writes \p Text to a file called \p Name. \returns its path.
  std::string makeFile(const std::string &Name, const std::string &Text);

  /// \returns the path of the index map, once the surroundings are started.
  std::string mapFile() const { return Folder + "/map.json"; }

  /// \returns the path of the settings of the VM at \p Index, once started.
  std::string settingsFile(std::size_t Index) const;

  /// Starts masticctl with \p Args and waits. \returns its exit code; what it
  /// printed goes to \p Output.
  int ctl(const std::vector<std::string> &Args, std::string &Output);

  std::string callersAddress(std::size_t Vm) const;
  std::string peersAddress(std::size_t Vm) const;
  std::string platformAddress() const;
  /// Address of replica \p Replica of shard \p Shard.
  std::string upstreamAddress(unsigned Shard, unsigned Replica) const;

  child_process &vm(std::size_t Index) { return *Vms[Index]; }
  child_process &platform() { return *Platform; }

  /// Starts the platform's stand-in anew, empty.
  void startPlatform();

  /// Ends the platform's stand-in.
  void stopPlatform() { Platform.reset(); }

private:
  std::string address(unsigned Offset) const;
  std::string logFile(const std::string &Name) const;
  std::vector<std::string> upstreamCommand() const;
  std::string settingsText(std::size_t Vm) const;
  void listVms();

  cluster_plan Plan;
  std::string Folder;
  std::unique_ptr<child_process> Platform;
  std::unique_ptr<child_process> Upstreams;
  std::vector<std::unique_ptr<child_process>> Vms;
};

} // namespace masticproxy

#endif
