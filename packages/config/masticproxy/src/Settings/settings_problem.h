#ifndef MASTICPROXY_SETTINGS_SETTINGS_PROBLEM_H
#define MASTICPROXY_SETTINGS_SETTINGS_PROBLEM_H

#include <string>

namespace masticproxy {

/// \brief One thing wrong with a settings or profile text.
struct settings_problem {
  /// File or object that the text came from.
  std::string Source;
  /// Line, counted from 1; 0 where no line applies.
  unsigned Line = 0;
  /// Dotted path of the key; empty where no key applies.
  std::string Key;
  /// What was found.
  std::string Found;
  /// What was expected.
  std::string Expected;

  /// \returns `source:line: key: found; expected ...`.
  std::string text() const;
};

} // namespace masticproxy

#endif
