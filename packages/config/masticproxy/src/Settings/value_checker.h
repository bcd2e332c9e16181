#ifndef MASTICPROXY_SETTINGS_VALUE_CHECKER_H
#define MASTICPROXY_SETTINGS_VALUE_CHECKER_H

#include "masticproxy/src/Settings/checked_values.h"
#include "masticproxy/src/Settings/settings_problem.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Checks the nodes of one TOML text and gathers its problems.
///
/// \p Node is a template parameter so that this header needs no TOML library.
class value_checker {
public:
  explicit value_checker(std::string_view Source) : Source(Source) {}

  /// Reads \p Text against \p Specs; problems are gathered.
  checked_values run(std::string_view Text, std::span<const key_spec> Specs);

  /// \returns the problems found.
  std::vector<settings_problem> takeProblems() { return std::move(Problems); }

private:
  template <typename Table>
  void rejectUnknown(const Table &Node, const std::string &Prefix,
                     std::span<const key_spec> Specs);
  template <typename Node>
  std::optional<checked_values::value> check(const Node &Value,
                                             const key_spec &Spec);
  checked_values::value defaultOf(const key_spec &Spec);
  void add(unsigned Line, std::string_view Key, std::string Found,
           std::string Expected);

  std::string Source;
  std::vector<settings_problem> Problems;
};

} // namespace masticproxy

#endif
