#include "masticproxy/src/Query/shard_gap.h"

using namespace masticproxy;

std::string_view masticproxy::toString(gap_cause Cause) {
  switch (Cause) {
  case gap_cause::Late:
    return "late";
  case gap_cause::OutOfReach:
    return "out_of_reach";
  case gap_cause::NotConnected:
    return "not_connected";
  case gap_cause::NoBudget:
    return "no_budget";
  }
  return "unknown";
}
