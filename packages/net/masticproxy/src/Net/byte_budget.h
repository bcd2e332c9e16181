#ifndef MASTICPROXY_NET_BYTE_BUDGET_H
#define MASTICPROXY_NET_BYTE_BUDGET_H

#include <cstddef>
#include <functional>
#include <set>

namespace masticproxy {

/// \brief Bytes that the connections of one thread may hold together.
///
/// Where it is used up, the connection that holds most ends in favour of those
/// that hold less.
class byte_budget {
public:
  /// \brief What one connection holds. Must give back all before it is
  /// destroyed.
  struct holder {
    std::size_t Bytes = 0;
    /// Ends the connection's exchange, and gives back what it holds.
    std::function<void()> End;
  };

  explicit byte_budget(std::size_t Limit) : Limit(Limit) {}

  /// Takes \p Bytes more for \p Holder. \returns false, with nothing taken, if
  /// none holds more than it would.
  bool take(holder &Holder, std::size_t Bytes);

  /// Gives back all that \p Holder holds.
  void giveBack(holder &Holder);

  /// \returns the bytes that are taken.
  std::size_t taken() const { return Taken; }

private:
  /// \returns who holds most; null if nobody holds anything.
  holder *largest() const;

  std::size_t Limit;
  std::size_t Taken = 0;
  /// Those that hold something.
  std::set<holder *> Holders;
};

} // namespace masticproxy

#endif
