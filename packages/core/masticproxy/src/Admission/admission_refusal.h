#ifndef MASTICPROXY_ADMISSION_ADMISSION_REFUSAL_H
#define MASTICPROXY_ADMISSION_ADMISSION_REFUSAL_H

#include <string_view>

namespace masticproxy {

/// \brief Why a request is not taken on.
enum class admission_refusal {
  /// The profile has its share of the VM's requests under way.
  NoFreeSlot,
  /// As many requests of the profile are under way as are answered within
  /// its wait.
  Overload,
};

/// \returns the reason that the caller is told.
std::string_view toString(admission_refusal Refusal);

} // namespace masticproxy

#endif
