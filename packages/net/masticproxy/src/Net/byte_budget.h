#ifndef MASTICPROXY_NET_BYTE_BUDGET_H
#define MASTICPROXY_NET_BYTE_BUDGET_H

#include <cstddef>

namespace masticproxy {

/// \brief Bytes that the connections of one thread may hold together.
class byte_budget {
public:
  explicit byte_budget(std::size_t Limit) : Limit(Limit) {}

  /// Takes \p Bytes. \returns false, with nothing taken, if fewer are left.
  bool take(std::size_t Bytes) {
    if (Bytes > Limit - Taken)
      return false;
    Taken += Bytes;
    return true;
  }

  /// Gives back what was taken.
  void giveBack(std::size_t Bytes) { Taken -= Bytes; }

  /// \returns the bytes that are taken.
  std::size_t taken() const { return Taken; }

private:
  std::size_t Limit;
  std::size_t Taken = 0;
};

} // namespace masticproxy

#endif
