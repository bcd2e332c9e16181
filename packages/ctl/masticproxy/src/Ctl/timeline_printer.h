#ifndef MASTICPROXY_CTL_TIMELINE_PRINTER_H
#define MASTICPROXY_CTL_TIMELINE_PRINTER_H

#include <cstdint>
#include <iosfwd>
#include <optional>

namespace masticproxy {

struct vm_change;
struct vm_event;

/// \brief Prints events as rows, or as lines of JSON.
class timeline_printer {
public:
  timeline_printer(std::ostream &Out, bool Json) : Out(Out), Json(Json) {}

  void print(const vm_event &Event);
  void print(const vm_change &Change);

private:
  std::ostream &Out;
  bool Json;
  /// Microseconds of the first event; times are counted from it.
  std::optional<std::int64_t> First;
};

} // namespace masticproxy

#endif
