#ifndef MASTICPROXY_SOAK_LINK_MODE_H
#define MASTICPROXY_SOAK_LINK_MODE_H

namespace masticproxy::soak {

/// \brief What a fault_link does with the connections that go through it.
enum class link_mode {
  /// Passes bytes on as they come.
  Open,
  /// Passes bytes on late.
  Delayed,
  /// Resets open connections and new ones.
  Resetting,
  /// Passes requests on, and drops what comes back.
  OneWay,
  /// Accepts connections and drops all bytes, without a reset.
  Silent,
  /// Sends some responses a second time, late: where the next one is expected.
  Copying,
  /// Sends bytes without end in place of a response, each time in another part
  /// of its grammar.
  Endless,
  /// Ends the connection in the middle of a response.
  Cutting,
};

/// \returns the name of \p Mode, as reports give it.
constexpr const char *toString(link_mode Mode) {
  switch (Mode) {
  case link_mode::Open:
    return "open";
  case link_mode::Delayed:
    return "delayed";
  case link_mode::Resetting:
    return "resetting";
  case link_mode::OneWay:
    return "one_way";
  case link_mode::Silent:
    return "silent";
  case link_mode::Copying:
    return "copying";
  case link_mode::Endless:
    return "endless";
  case link_mode::Cutting:
    return "cutting";
  }
  return "unknown";
}

} // namespace masticproxy::soak

#endif
