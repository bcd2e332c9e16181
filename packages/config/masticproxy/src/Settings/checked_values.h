#ifndef MASTICPROXY_SETTINGS_CHECKED_VALUES_H
#define MASTICPROXY_SETTINGS_CHECKED_VALUES_H

#include "masticproxy/src/Settings/key_spec.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

/// \brief The values of a TOML text that were checked against its specs; every
/// key of the specs has one.
class checked_values {
public:
  /// Reads \p Text. \p Source names it in problems.
  /// \throws settings_error with all problems at once.
  static checked_values read(std::string_view Text, std::string_view Source,
                             std::span<const key_spec> Specs);

  /// \returns the value of a Text, Address or Choice key.
  const std::string &text(std::string_view Path) const;

  /// \returns the value of a Duration key.
  std::chrono::milliseconds span(std::string_view Path) const;

  /// \returns the value of an Integer key.
  std::int64_t integer(std::string_view Path) const;

  /// \returns the value of a Number key.
  double number(std::string_view Path) const;

  /// \returns the value of a Boolean key.
  bool flag(std::string_view Path) const;

private:
  using value = std::variant<std::string, std::chrono::milliseconds,
                             std::int64_t, double, bool>;
  friend class value_checker;

  std::map<std::string, value, std::less<>> Values;
};

} // namespace masticproxy

#endif
