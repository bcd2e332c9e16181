#include "masticproxy/src/Routing/attempt_kind.h"

using namespace masticproxy;

std::string_view masticproxy::toString(attempt_kind Kind) {
  switch (Kind) {
  case attempt_kind::First:
    return "first";
  case attempt_kind::Retry:
    return "retry";
  case attempt_kind::Hedge:
    return "hedge";
  }
  return "unknown";
}
