#ifndef MASTICPROXY_ADMISSION_TURN_QUEUE_H
#define MASTICPROXY_ADMISSION_TURN_QUEUE_H

#include <cstddef>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace masticproxy {

/// \brief Items that wait, in order of arrival within each profile. The most
/// urgent rank goes first; the profiles of one rank take turns.
template <typename T> class turn_queue {
public:
  /// Adds \p Item behind the other items of \p Profile, which has the rank
  /// \p Rank; 0 is the most urgent.
  void push(std::string_view Profile, T Item, unsigned Rank = 0) {
    lane_map &Lanes = Ranks[Rank].Lanes;
    auto Found = Lanes.find(Profile);
    if (Found == Lanes.end())
      Found = Lanes.try_emplace(std::string(Profile)).first;
    Found->second.push_back(std::move(Item));
    ++Count;
  }

  /// Removes and \returns the first item for which \p IsLive holds, of the
  /// profile whose turn it is; others that stand before it are dropped and
  /// take no turn.
  template <typename Predicate> std::optional<T> take(Predicate IsLive) {
    for (auto &[Rank, Profiles] : Ranks)
      if (std::optional<T> First = takeFrom(Profiles, IsLive))
        return First;
    return std::nullopt;
  }

  /// Drops every item for which \p IsLive does not hold.
  template <typename Predicate> void clean(Predicate IsLive) {
    auto IsDead = [&](const T &Item) { return !IsLive(Item); };
    for (auto &[Rank, Profiles] : Ranks)
      for (auto Lane = Profiles.Lanes.begin(); Lane != Profiles.Lanes.end();) {
        Count -= std::erase_if(Lane->second, IsDead);
        Lane = eraseIfEmpty(Profiles.Lanes, Lane);
      }
  }

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }

private:
  using lane = std::deque<T>;
  using lane_map = std::map<std::string, lane, std::less<>>;

  /// Profiles of one rank.
  struct rank_lanes {
    lane_map Lanes;
    std::string LastServed;
  };

  template <typename Predicate>
  std::optional<T> takeFrom(rank_lanes &Profiles, Predicate IsLive) {
    lane_map &Lanes = Profiles.Lanes;
    while (!Lanes.empty()) {
      auto Lane = Lanes.upper_bound(Profiles.LastServed);
      if (Lane == Lanes.end())
        Lane = Lanes.begin();
      if (std::optional<T> First = takeFrom(Lane->second, IsLive)) {
        Profiles.LastServed = Lane->first;
        eraseIfEmpty(Lanes, Lane);
        return First;
      }
      Lanes.erase(Lane);
    }
    return std::nullopt;
  }

  template <typename Predicate>
  std::optional<T> takeFrom(lane &Lane, Predicate IsLive) {
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

  /// By rank, the most urgent first.
  std::map<unsigned, rank_lanes> Ranks;
  std::size_t Count = 0;
};

} // namespace masticproxy

#endif
