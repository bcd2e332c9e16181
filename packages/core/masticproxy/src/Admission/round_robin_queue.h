#ifndef MASTICPROXY_ADMISSION_ROUND_ROBIN_QUEUE_H
#define MASTICPROXY_ADMISSION_ROUND_ROBIN_QUEUE_H

#include <cstddef>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace masticproxy {

/// \brief A queue of items of several profiles. Items of the most urgent
/// priority are served first, the profiles of one priority in round-robin
/// order, and the items of one profile in order of arrival.
///
/// Items may become stale while they wait. The caller recognizes them by a
/// predicate, and they are dropped by pop() or prune().
template <typename T> class round_robin_queue {
public:
  /// Adds \p Item behind the other items of \p Profile, which has the priority
  /// \p Priority; 0 is the most urgent.
  void push(std::string_view Profile, T Item, unsigned Priority = 0) {
    lane_map &Lanes = Levels[Priority].Lanes;
    auto Found = Lanes.find(Profile);
    if (Found == Lanes.end())
      Found = Lanes.try_emplace(std::string(Profile)).first;
    Found->second.push_back(std::move(Item));
    ++Count;
  }

  /// Removes and \returns the first item for which \p IsLive holds, of the
  /// profile whose turn it is. The items before it are dropped and do not use
  /// up the profile's turn.
  template <typename Predicate> std::optional<T> pop(Predicate IsLive) {
    for (auto &[Priority, Level] : Levels)
      if (std::optional<T> First = popFrom(Level, IsLive))
        return First;
    return std::nullopt;
  }

  /// Drops all items for which \p IsLive does not hold.
  template <typename Predicate> void prune(Predicate IsLive) {
    auto IsStale = [&](const T &Item) { return !IsLive(Item); };
    for (auto &[Priority, Level] : Levels)
      for (auto Lane = Level.Lanes.begin(); Lane != Level.Lanes.end();) {
        Count -= std::erase_if(Lane->second, IsStale);
        Lane = eraseIfEmpty(Level.Lanes, Lane);
      }
  }

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }

private:
  /// The items of one profile, in order of arrival.
  using lane = std::deque<T>;
  using lane_map = std::map<std::string, lane, std::less<>>;

  /// The lanes of the profiles of one priority, and the profile that was served
  /// last.
  struct priority_level {
    lane_map Lanes;
    std::string LastServed;
  };

  template <typename Predicate>
  std::optional<T> popFrom(priority_level &Level, Predicate IsLive) {
    lane_map &Lanes = Level.Lanes;
    while (!Lanes.empty()) {
      auto Lane = Lanes.upper_bound(Level.LastServed);
      if (Lane == Lanes.end())
        Lane = Lanes.begin();
      if (std::optional<T> First = popFrom(Lane->second, IsLive)) {
        Level.LastServed = Lane->first;
        eraseIfEmpty(Lanes, Lane);
        return First;
      }
      Lanes.erase(Lane);
    }
    return std::nullopt;
  }

  template <typename Predicate>
  std::optional<T> popFrom(lane &Lane, Predicate IsLive) {
    while (!Lane.empty()) {
      T First = std::move(Lane.front());
      Lane.pop_front();
      --Count;
      if (IsLive(First))
        return First;
    }
    return std::nullopt;
  }

  static typename lane_map::iterator
  eraseIfEmpty(lane_map &Lanes, typename lane_map::iterator Lane) {
    return Lane->second.empty() ? Lanes.erase(Lane) : std::next(Lane);
  }

  /// By priority, the most urgent first.
  std::map<unsigned, priority_level> Levels;
  std::size_t Count = 0;
};

} // namespace masticproxy

#endif
