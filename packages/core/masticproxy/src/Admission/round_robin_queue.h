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

/// \brief Whose turn an item of a round_robin_queue uses.
struct queue_lane {
  /// Empty where there are no teams.
  std::string_view Team;
  std::string_view Profile;
};

/// \brief A queue of items of several teams and profiles. Items of the most
/// urgent priority are served first, the teams of one priority in round-robin
/// order, so are the profiles of one team, and the items of one profile in
/// order of arrival.
///
/// Items may become stale while they wait. The caller recognizes them by a
/// predicate, and they are dropped by pop() or prune().
template <typename T> class round_robin_queue {
public:
  /// Adds \p Item behind the other items of \p Lane, with the priority
  /// \p Priority; 0 is the most urgent.
  void push(const queue_lane &Lane, T Item, unsigned Priority = 0) {
    Levels[Priority].of(Lane.Team).of(Lane.Profile).push_back(std::move(Item));
    ++Count;
  }

  /// Removes and \returns the first item for which \p IsLive holds, of the lane
  /// whose turn it is. The items before it are dropped and do not use up the
  /// lane's turn.
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
      erase(Level, IsStale);
  }

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }

private:
  /// The items of one profile, in order of arrival.
  using lane = std::deque<T>;

  /// Named parts that are served in turns; none is empty.
  template <typename Part> struct turns {
    std::map<std::string, Part, std::less<>> Parts;
    std::string LastServed;

    bool empty() const { return Parts.empty(); }
    Part &of(std::string_view Name) {
      auto Found = Parts.find(Name);
      if (Found == Parts.end())
        Found = Parts.try_emplace(std::string(Name)).first;
      return Found->second;
    }
  };
  using team_lanes = turns<lane>;

  template <typename Part, typename Predicate>
  std::optional<T> popFrom(turns<Part> &Turns, Predicate IsLive) {
    while (!Turns.empty()) {
      auto Next = Turns.Parts.upper_bound(Turns.LastServed);
      if (Next == Turns.Parts.end())
        Next = Turns.Parts.begin();
      std::optional<T> First = popFrom(Next->second, IsLive);
      if (First)
        Turns.LastServed = Next->first;
      if (Next->second.empty())
        Turns.Parts.erase(Next);
      if (First)
        return First;
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

  template <typename Named, typename Predicate>
  void erase(turns<Named> &Turns, Predicate IsStale) {
    for (auto Part = Turns.Parts.begin(); Part != Turns.Parts.end();) {
      erase(Part->second, IsStale);
      Part = Part->second.empty() ? Turns.Parts.erase(Part) : std::next(Part);
    }
  }

  template <typename Predicate> void erase(lane &Lane, Predicate IsStale) {
    Count -= std::erase_if(Lane, IsStale);
  }

  /// By priority, the most urgent first.
  std::map<unsigned, turns<team_lanes>> Levels;
  std::size_t Count = 0;
};

} // namespace masticproxy

#endif
