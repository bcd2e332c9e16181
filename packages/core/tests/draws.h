#ifndef MASTICPROXY_TESTS_DRAWS_H
#define MASTICPROXY_TESTS_DRAWS_H

#include <rapidcheck.h>

namespace masticproxy {

/// Draws from [\p First, \p End) over the whole range in every case;
/// RapidCheck's own draws are near \p First in the early cases.
inline int draw(int First, int End) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(First, End));
}

} // namespace masticproxy

#endif
