#ifndef MASTICPROXY_ADMISSION_ADMISSION_REFUSAL_H
#define MASTICPROXY_ADMISSION_ADMISSION_REFUSAL_H

#include <string_view>

namespace masticproxy {

/// \brief The reason why a request is not admitted.
enum class admission_refusal {
  /// All slots that the profile may use are taken by requests in flight.
  NoFreeSlot,
  /// As many requests of the profile are in flight as are answered within its
  /// wait.
  Overload,
};

/// \returns the text of \p Refusal that is sent to the caller.
std::string_view toString(admission_refusal Refusal);

} // namespace masticproxy

#endif
