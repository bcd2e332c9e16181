#ifndef MASTICPROXY_SOAK_VIOLATION_H
#define MASTICPROXY_SOAK_VIOLATION_H

#include <string>

namespace masticproxy::soak {

/// \brief A promise that was broken, and how.
struct violation {
  std::string Promise;
  std::string Request;
  std::string Detail;
};

} // namespace masticproxy::soak

#endif
