#ifndef MASTICPROXY_QUOTA_QUOTA_ASK_H
#define MASTICPROXY_QUOTA_QUOTA_ASK_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief Requests of one priority that wait for tokens.
struct quota_wanted {
  /// 0 is the most urgent.
  unsigned Priority = 0;
  unsigned Count = 0;
};

/// \brief What a VM asks for, and holds, of one team's quota.
struct quota_ask_entry {
  std::string Team;
  /// Requests that wait for a token, the most urgent first.
  std::vector<quota_wanted> Wanted = {};
  /// Recent requests per second.
  double Demand = 0;
  /// Share that the VM holds, in [0, 1].
  double Share = 0;
  /// Time until that share ends.
  std::chrono::milliseconds ShareLeft{0};
  /// Tokens of its shares that it has used in each fifth of the window, newest
  /// first.
  std::vector<std::uint32_t> Used = {};
};

/// \brief A message of a VM to the granter.
struct quota_ask {
  std::string Vm;
  /// Tells the starts of the VM's process apart. It need not grow, as the wall
  /// clock that it comes from may be set back.
  std::uint64_t Incarnation = 0;
  /// Grows with each message of that process.
  std::uint64_t Sequence = 0;
  /// Term of the granter that is asked.
  std::uint64_t Term = 0;
  std::vector<quota_ask_entry> Entries;
};

} // namespace masticproxy

#endif
