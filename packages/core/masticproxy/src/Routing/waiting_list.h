#ifndef MASTICPROXY_ROUTING_WAITING_LIST_H
#define MASTICPROXY_ROUTING_WAITING_LIST_H

#include "masticproxy/src/Admission/round_robin_queue.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticproxy {

struct replica;

/// \brief A shard of a request that waits for an attempt.
struct waiting_shard {
  std::uint64_t Ticket = 0;
  std::size_t Shard = 0;

  auto operator<=>(const waiting_shard &) const = default;
};

/// \brief The profile of a waiting shard's request, its priority, and its team.
struct waiting_class {
  std::string_view Profile;
  /// Priority of the profile; 0 is the most urgent.
  unsigned Priority = 0;
  /// Empty where there are no teams.
  std::string_view Team = {};
};

/// \brief Shards that wait until one of their replicas accepts an attempt, or
/// for the load budget; the most urgent first, in order of arrival within each
/// profile. Teams of one priority are served round robin, and so are the
/// profiles of a team.
///
/// A shard is in the queue of each of its replicas, and counts once. An event
/// of one upstream checks only the head of that upstream's queue.
class waiting_list {
public:
  /// Adds \p Shard, which waits for any of \p Replicas. Replaces an earlier
  /// wait of the same shard, if there is one. Has no effect if \p Replicas is
  /// empty.
  void add(waiting_shard Shard, std::span<const replica> Replicas,
           const waiting_class &Class = {});

  /// Adds \p Shard, which waits for the load budget. Replaces an earlier wait
  /// of the same shard, if there is one.
  void addForBudget(waiting_shard Shard, const waiting_class &Class = {});

  /// Ends the wait of \p Shard, if it waits.
  void drop(waiting_shard Shard) { Waiting.erase(Shard); }

  /// Removes and \returns the first shard that waits for \p Upstream.
  std::optional<waiting_shard> takeFor(std::string_view Upstream);

  /// Removes and \returns the first shard that waits for the load budget.
  std::optional<waiting_shard> takeForBudget() { return takeFirst(Budget); }

  /// Removes and \returns all shards that wait for the load budget.
  std::vector<waiting_shard> takeAllForBudget();

  /// Removes and \returns one shard for each upstream: the first in its queue
  /// that was not yet returned for another one.
  std::vector<waiting_shard> takeHeads();

  /// \returns the number of waiting shards.
  std::size_t size() const { return Waiting.size(); }

  bool empty() const { return Waiting.empty(); }

private:
  struct entry {
    waiting_shard Shard;
    std::uint64_t Number = 0;
  };
  using queue = round_robin_queue<entry>;

  struct shard_hash {
    std::size_t operator()(const waiting_shard &S) const;
  };

  std::uint64_t assignNumber(waiting_shard Shard);
  void push(queue &Queue, const entry &Entry, const waiting_class &Class);
  bool isWaiting(const entry &Entry) const;
  std::optional<waiting_shard> takeFirst(queue &Queue);

  std::unordered_map<waiting_shard, std::uint64_t, shard_hash> Waiting;
  std::map<std::string, queue, std::less<>> ByUpstream;
  queue Budget;
  std::uint64_t NextNumber = 1;
};

} // namespace masticproxy

#endif
