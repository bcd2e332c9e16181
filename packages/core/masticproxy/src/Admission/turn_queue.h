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

/// \brief Items that wait, in order of arrival within each profile; the
/// profiles take turns.
template <typename T> class turn_queue {
public:
  /// Adds \p Item behind the other items of \p Profile.
  void push(std::string_view Profile, T Item) {
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
    while (!Lanes.empty()) {
      auto Lane = Lanes.upper_bound(LastServed);
      if (Lane == Lanes.end())
        Lane = Lanes.begin();
      if (std::optional<T> First = takeFrom(Lane->second, IsLive)) {
        LastServed = Lane->first;
        eraseIfEmpty(Lane);
        return First;
      }
      Lanes.erase(Lane);
    }
    return std::nullopt;
  }

  /// Drops every item for which \p IsLive does not hold.
  template <typename Predicate> void clean(Predicate IsLive) {
    for (auto Lane = Lanes.begin(); Lane != Lanes.end();) {
      auto IsDead = [&](const T &Item) { return !IsLive(Item); };
      Count -= std::erase_if(Lane->second, IsDead);
      Lane = eraseIfEmpty(Lane);
    }
  }

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }

private:
  using lane = std::deque<T>;
  using lane_map = std::map<std::string, lane, std::less<>>;

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

  typename lane_map::iterator eraseIfEmpty(typename lane_map::iterator Lane) {
    return Lane->second.empty() ? Lanes.erase(Lane) : std::next(Lane);
  }

  lane_map Lanes;
  std::string LastServed;
  std::size_t Count = 0;
};

} // namespace masticproxy

#endif
