#ifndef MASTICPROXY_SETTINGS_KEY_SPEC_H
#define MASTICPROXY_SETTINGS_KEY_SPEC_H

#include <span>
#include <string_view>

namespace masticproxy {

/// \brief The form of a key's value.
enum class value_kind {
  /// Non-empty text.
  Text,
  /// IP number and port, as in `127.0.0.1:8080` or `[::1]:8080`.
  Address,
  /// A number with a unit: `ms`, `s` or `min`; bounds are in milliseconds.
  Duration,
  /// A whole number.
  Integer,
  /// A number.
  Number,
  /// `true` or `false`.
  Boolean,
  /// One of the words in the spec's `Choices`.
  Choice,
};

/// \brief All that is known of one key of a TOML file.
struct key_spec {
  /// Dotted path, such as `listen.callers`.
  std::string_view Path;
  value_kind Kind;
  /// Value where the key is absent, as written in TOML; empty: required.
  std::string_view Default;
  /// Least and greatest value; unused for texts.
  double Least = 0;
  double Greatest = 0;
  /// Words allowed for a Choice, separated by `|`.
  std::string_view Choices;
  /// One line for the reference page.
  std::string_view Brief;
};

/// \returns the name of \p Kind for messages and the reference page.
std::string_view toString(value_kind Kind);

/// \returns the keys of a VM's settings file.
std::span<const key_spec> nodeSettingsSpecs();

/// \returns the keys of a profile.
std::span<const key_spec> profileSpecs();

} // namespace masticproxy

#endif
