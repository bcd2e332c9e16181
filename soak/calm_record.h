#ifndef MASTICPROXY_SOAK_CALM_RECORD_H
#define MASTICPROXY_SOAK_CALM_RECORD_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy::soak {

/// \brief Since when one part of a site has been without disruption.
class calm_record {
public:
  /// Notes the start of a disruption; several may overlap.
  void disturbed() { ++Open; }

  /// Notes the end of one.
  void calmed(time_point Now) {
    Open = Open > 0 ? Open - 1 : 0;
    Since = Now;
  }

  /// Notes a disruption of an instant.
  void struck(time_point Now) { Since = Now; }

  /// \returns whether there was none for \p Span up to \p Now.
  bool calmFor(duration Span, time_point Now) const {
    return Open == 0 && Now - Since >= Span;
  }

private:
  unsigned Open = 0;
  time_point Since{};
};

} // namespace masticproxy::soak

#endif
