#include "masticproxy/src/Admission/admission_refusal.h"

using namespace masticproxy;

std::string_view masticproxy::toString(admission_refusal Refusal) {
  switch (Refusal) {
  case admission_refusal::NoFreeSlot:
    return "too many requests of this profile under way";
  case admission_refusal::Overload:
    return "overload: no answer is likely within the profile's wait";
  }
  return "unknown";
}
