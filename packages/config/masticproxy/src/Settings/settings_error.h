#ifndef MASTICPROXY_SETTINGS_SETTINGS_ERROR_H
#define MASTICPROXY_SETTINGS_SETTINGS_ERROR_H

#include "masticproxy/src/Settings/settings_problem.h"

#include <span>
#include <stdexcept>
#include <vector>

namespace masticproxy {

/// \brief Thrown with all the problems of a text at once.
class settings_error : public std::runtime_error {
public:
  explicit settings_error(std::vector<settings_problem> Problems);

  /// \returns the problems, in the order of their lines.
  std::span<const settings_problem> problems() const { return Problems; }

private:
  std::vector<settings_problem> Problems;
};

} // namespace masticproxy

#endif
