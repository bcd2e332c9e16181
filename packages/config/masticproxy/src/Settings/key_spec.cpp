#include "masticproxy/src/Settings/key_spec.h"

using namespace masticproxy;

namespace {

constexpr key_spec NodeSpecs[] = {
    {"node.name", value_kind::Text, "", 0, 0, "",
     "Name of this VM; unique over all data centres."},
    {"node.data_centre", value_kind::Text, "", 0, 0, "",
     "Data centre that this VM stands in."},
    {"listen.callers", value_kind::Address, "", 0, 0, "",
     "Address that callers and the balancer reach over HTTP."},
    {"listen.peers", value_kind::Address, "", 0, 0, "",
     "Address that other VMs reach."},
    {"platform.address", value_kind::Address, "", 0, 0, "",
     "Address of the platform's object API."},
    {"platform.call_timeout", value_kind::Duration, "\"2s\"", 10, 60000, "",
     "Longest wait for one answer of the platform, watches excepted."},
    {"platform.watch_wait", value_kind::Duration, "\"5s\"", 100, 60000, "",
     "How long a watch waits at the platform for a change."},
    {"peers.heartbeat_interval", value_kind::Duration, "\"500ms\"", 50, 10000,
     "", "Time between two heartbeats to a peer."},
    {"peers.suspect_after", value_kind::Duration, "\"3s\"", 100, 60000, "",
     "Silence after which a peer is suspected."},
    {"peers.dead_after", value_kind::Duration, "\"6s\"", 200, 600000, "",
     "Silence after which a suspected peer is taken for dead."},
    {"limits.queries", value_kind::Integer, "1024", 1, 1000000, "",
     "Requests under way at a time; one more is refused."},
    {"limits.body_bytes", value_kind::Integer, "65536", 1, 16777216, "",
     "Longest body of a request, in bytes."},
    {"limits.caller_connections", value_kind::Integer, "4096", 1, 1000000, "",
     "Connections of callers open at a time."},
    {"query.policy", value_kind::Choice, "\"adaptive\"", 0, 0, "adaptive|naive",
     "How replicas are chosen; naive has no hedges and no load budget."},
    {"leave.balancer_lag", value_kind::Duration, "\"2s\"", 0, 600000, "",
     "How long requests are taken after SIGTERM, until the balancer knows."},
    {"leave.finish_within", value_kind::Duration, "\"10s\"", 0, 600000, "",
     "How long running requests may take to finish after that."},
    {"poison.probe_first", value_kind::Boolean, "true", 0, 0, "",
     "Whether a query not seen before runs on one shard alone at first."},
    {"log.level", value_kind::Choice, "\"info\"", 0, 0, "debug|info|warn|error",
     "Least level of a line that is written."},
    {"timeline.events", value_kind::Integer, "20000", 100, 10000000, "",
     "Events of the time line kept in memory."},
};

constexpr key_spec ProfileSpecs[] = {
    {"wait", value_kind::Duration, "", 1, 600000, "",
     "Longest time a caller waits for an answer."},
    {"coverage", value_kind::Number, "1.0", 0.000001, 1, "",
     "Least share of shards that an answer must cover."},
    {"may_repeat", value_kind::Boolean, "false", 0, 0, "",
     "Whether a request is idempotent, so that it may run more than once."},
    {"description", value_kind::Text, "\"-\"", 0, 0, "",
     "A line for the people who read the profile."},
};

} // namespace

std::string_view masticproxy::toString(value_kind Kind) {
  switch (Kind) {
  case value_kind::Text:
    return "text";
  case value_kind::Address:
    return "address";
  case value_kind::Duration:
    return "duration";
  case value_kind::Integer:
    return "whole number";
  case value_kind::Number:
    return "number";
  case value_kind::Boolean:
    return "true or false";
  case value_kind::Choice:
    return "choice";
  }
  return "unknown";
}

std::span<const key_spec> masticproxy::nodeSettingsSpecs() { return NodeSpecs; }

std::span<const key_spec> masticproxy::profileSpecs() { return ProfileSpecs; }
