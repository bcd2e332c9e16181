#include "masticproxy/src/Cluster/watcher_choice.h"

#include "masticproxy/src/Cluster/rendezvous.h"

#include <algorithm>

using namespace masticproxy;

namespace {

constexpr std::string_view WatchKey = "platform watch";

} // namespace

void watcher_choice::keepOnly(std::span<const member_info> Peers) {
  std::erase_if(Contacts, [&](const auto &Entry) {
    return std::none_of(
        Peers.begin(), Peers.end(),
        [&](const member_info &Peer) { return Peer.Name == Entry.first; });
  });
}

bool watcher_choice::shouldWatch(const member_info &Self,
                                 std::span<const member_info> Peers) const {
  std::uint64_t Own = rendezvousWeight(WatchKey, Self.Name);
  unsigned Before = 0;
  unsigned ReachingBefore = 0;
  for (const member_info &Peer : Peers) {
    // A suspected or leaving watcher is replaced at once: one watcher too many
    // costs a call, one too few delays every edit.
    if (Peer.State != member_state::Alive)
      continue;
    if (rendezvousWeight(WatchKey, Peer.Name) <= Own)
      continue;
    ++Before;
    auto Contact = Contacts.find(Peer.Name);
    bool Lost =
        Contact != Contacts.end() && Contact->second == platform_contact::Lost;
    ReachingBefore += Lost ? 0 : 1;
  }
  return ReachingBefore < WatchersWanted && Before < WatchersAtMost;
}

bool watcher_choice::anyReaches(std::span<const member_info> Peers) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const member_info &Peer) {
    auto Contact = Contacts.find(Peer.Name);
    return Peer.State == member_state::Alive && Contact != Contacts.end() &&
           Contact->second == platform_contact::Watching;
  });
}
