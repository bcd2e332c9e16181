#ifndef MASTICPROXY_NET_TIMELINE_EVENT_H
#define MASTICPROXY_NET_TIMELINE_EVENT_H

#include "masticproxy/src/Net/hybrid_clock.h"

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief What readers choose events by; empty where it does not apply.
struct event_facts {
  /// Attempt within the process, from 1.
  std::uint64_t Attempt = 0;
  std::string Shard = {};
  /// Address of the upstream, or name of the VM that is asked instead.
  std::string Upstream = {};
  std::string AttemptKind = {};
  /// How the attempt ended.
  std::string End = {};
  std::string Profile = {};
};

/// \brief One event of the time line.
struct timeline_event {
  hybrid_time At;
  std::string Kind;
  /// Request that the event belongs to; may be empty.
  std::string RequestId;
  std::string Detail;
  event_facts Facts;
};

} // namespace masticproxy

#endif
