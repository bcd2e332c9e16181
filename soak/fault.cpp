#include "fault.h"

using namespace masticproxy::soak;

namespace {

std::string named(const char *Name, unsigned Number) {
  return Name + std::string(" ") + std::to_string(Number);
}

/// Puts the name of a fault and what it befalls into words.
struct namer {
  std::string operator()(const vm_killed &F) { return named("kill vm", F.Vm); }
  std::string operator()(const vm_terminated &F) {
    return named("terminate vm", F.Vm);
  }
  std::string operator()(const vm_paused &F) { return named("pause vm", F.Vm); }
  std::string operator()(const upstream_link_harmed &F) {
    return named("link of upstream", F.Upstream) + " " + toString(F.Mode);
  }
  std::string operator()(const store_link_harmed &F) {
    return named("store link of vm", F.Vm) + " " + toString(F.Mode);
  }
  std::string operator()(const store_down &) { return "store down"; }
  std::string operator()(const store_silent &) { return "store silent"; }
  std::string operator()(const store_watch_lost &F) {
    return "answer to a watch lost, of " + F.Kind;
  }
  std::string operator()(const store_compacted &) { return "store compacted"; }
  std::string operator()(const configuration_written &) {
    return "configuration written";
  }
  std::string operator()(const upstream_drained &F) {
    return named("drain upstream", F.Upstream);
  }
  std::string operator()(const upstream_slowed &F) {
    return named("slow upstream", F.Upstream);
  }
  std::string operator()(const upstream_refusing &F) {
    return named("refusing upstream", F.Upstream);
  }
  std::string operator()(const upstream_failing &F) {
    return named("failing upstream", F.Upstream);
  }
  std::string operator()(const upstream_leaving &F) {
    return named("leaving upstream", F.Upstream);
  }
  std::string operator()(const upstream_pausing &F) {
    return named("pausing upstream", F.Upstream);
  }
  std::string operator()(const all_refusing &) {
    return "all upstreams refusing";
  }
  std::string operator()(const shard_refusing &F) {
    return named("refusing shard", F.Shard);
  }
};

} // namespace

std::string masticproxy::soak::toString(const planned_fault &Fault) {
  return std::to_string(Fault.At.count()) + " ms for " +
         std::to_string(Fault.Span.count()) +
         " ms: " + std::visit(namer{}, Fault.What);
}
