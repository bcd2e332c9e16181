#ifndef MASTICPROXY_NET_PLATFORM_POSITION_H
#define MASTICPROXY_NET_PLATFORM_POSITION_H

#include <cstdint>

namespace masticproxy {

/// \brief A point in the history of the platform's objects.
///
/// When the platform comes back from a copy, its revisions go back and are
/// given out again: those of different eras must not be compared with each
/// other.
struct platform_position {
  // Implicit: a platform that never comes back from a copy has revisions only.
  platform_position(std::uint64_t Revision = 0, std::uint64_t Era = 0)
      : Era(Era), Revision(Revision) {}

  /// Number of times that the platform came back from a copy.
  std::uint64_t Era;
  std::uint64_t Revision;

  bool operator==(const platform_position &Other) const = default;

  /// Later eras are after all of the earlier ones.
  bool operator<(const platform_position &Other) const {
    return Era != Other.Era ? Era < Other.Era : Revision < Other.Revision;
  }
  bool operator<=(const platform_position &Other) const {
    return !(Other < *this);
  }
};

} // namespace masticproxy

#endif
