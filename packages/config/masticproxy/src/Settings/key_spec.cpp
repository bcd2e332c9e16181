#include "masticproxy/src/Settings/key_spec.h"

using namespace masticproxy;

namespace {

constexpr key_spec NodeSpecs[] = {
    {"node.name", value_kind::Text, "", 0, 0, "",
     "Name of this VM; unique over all data centres."},
    {"node.data_centre", value_kind::Text, "", 0, 0, "",
     "Data centre that this VM stands in."},
    {"node.one_request_thread", value_kind::Boolean, "false", 0, 0, "",
     "Whether callers, decisions and upstreams share a thread, which takes "
     "less processor time on a VM with a part of a core."},
    {"listen.callers", value_kind::Address, "", 0, 0, "",
     "Address that callers and the balancer reach over HTTP."},
    {"listen.pages", value_kind::Text, "\"-\"", 0, 0, "",
     "Address of readiness, status, counters and time line, where they stand "
     "apart from the callers' address; - where they do not."},
    {"listen.peers", value_kind::Address, "", 0, 0, "",
     "Address that other VMs reach."},
    {"platform.address", value_kind::Address, "", 0, 0, "",
     "Address of the platform's object API."},
    {"platform.interface", value_kind::Choice, "\"native\"", 0, 0,
     "native|store",
     "What the platform speaks: the project's own interface, or that of a "
     "store in which upstreams register themselves."},
    {"platform.call_timeout", value_kind::Duration, "\"2s\"", 10, 60000, "",
     "Longest wait for one answer of the platform, watches excepted."},
    {"platform.watch_wait", value_kind::Duration, "\"5s\"", 100, 60000, "",
     "How long a watch waits at the platform for a change."},
    {"platform.configuration_within", value_kind::Duration, "\"1s\"", 100,
     600000, "",
     "Time from its acknowledgement in which a configuration has to be in "
     "force "
     "here. Where it is long enough, it is watched at copies of a store that "
     "lag, which costs the platform less."},
    {"platform.registrations_within", value_kind::Duration, "\"1s\"", 100,
     600000, "", "The same for what upstreams register of themselves."},
    {"platform.suspicions_within", value_kind::Duration, "\"1s\"", 100, 600000,
     "", "The same for queries that crash upstreams, as other VMs found out."},
    {"platform.evacuations_within", value_kind::Duration, "\"0ms\"", 0, 600000,
     "",
     "The same for evacuations of data centres; 0ms where they are not "
     "followed."},
    {"platform.lost_answer_within", value_kind::Duration, "\"4s\"", 1000,
     600000, "",
     "Time from its acknowledgement in which a change has to be in force here "
     "although the store's answer to a watch was lost."},
    {"peers.exchange", value_kind::Boolean, "true", 0, 0, "",
     "Whether VMs exchange members, configuration and attempts."},
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
    {"limits.response_bytes", value_kind::Integer, "67108864", 65536,
     4294967296, "",
     "Bytes that long responses of upstreams hold at a time; where they are "
     "taken, the one that holds most fails, of those that hold more than "
     "64 KiB."},
    {"limits.request_bytes", value_kind::Integer, "67108864", 65536, 4294967296,
     "",
     "Bytes that callers' connections hold at a time, beyond 8 KiB each: "
     "requests until they are answered, and responses that are not read. Where "
     "they are taken, connections whose callers have kept this VM waiting for "
     "a second are closed, and a longer request is refused."},
    {"limits.caller_connections", value_kind::Integer, "4096", 1, 1000000, "",
     "Connections of callers open at a time."},
    {"quota.listen", value_kind::Text, "\"-\"", 0, 0, "",
     "Address at which other VMs ask this one for parts of teams' quotas; - "
     "where quotas are not enforced."},
    {"quota.window", value_kind::Duration, "\"5s\"", 100, 600000, "",
     "Length of the sliding window in which a quota holds."},
    {"quota.overshoot", value_kind::Number, "0.1", 0, 1, "",
     "Part of a quota by which a window may exceed it."},
    {"quota.slack", value_kind::Number, "20.0", 1, 1000000, "",
     "Requests by which a window may exceed a quota besides."},
    {"quota.cpu_share", value_kind::Number, "1.0", 0.01, 1000, "",
     "This VM's part of a core; larger VMs divide the quotas first."},
    {"quota.first_start", value_kind::Boolean, "false", 0, 0, "",
     "Whether the whole system starts for the first time, so that no VM holds "
     "a part of a quota from before."},
    {"callers.forward", value_kind::Boolean, "false", 0, 0, "",
     "Whether callers' requests are forwarded by the routes in force."},
    {"upstreams.all_data_centres", value_kind::Boolean, "false", 0, 0, "",
     "Whether upstreams of other data centres are spoken to directly."},
    {"upstreams.connections", value_kind::Integer, "0", 0, 65535, "",
     "Connections to one upstream; 0: this VM's share of what it accepts."},
    {"upstreams.rate_per_connection", value_kind::Number, "0.0", 0, 100000, "",
     "Attempts a second at one upstream for which one of these connections is "
     "enough; 0: all of them at any rate."},
    {"query.hedge_quantile", value_kind::Number, "0.97", 0.5, 0.999, "",
     "Share of attempts that are expected to end before they are hedged."},
    {"query.hedge_factor", value_kind::Number, "1.0", 0.1, 100, "",
     "Multiple of that quantile's latency after which they are hedged."},
    {"query.suspect_slow", value_kind::Boolean, "false", 0, 0, "",
     "Whether an upstream that keeps attempts waiting is avoided for a while."},
    {"query.remote_cost", value_kind::Number, "1.0", 1, 100, "",
     "Cost of an upstream of another data centre relative to one of the own."},
    {"query.trouble_cost", value_kind::Number, "0.0", 0, 1000, "",
     "Further cost of an upstream at which every attempt fails or is slow."},
    {"query.hedge_part", value_kind::Number, "0.5", 0, 1, "",
     "Part of the extra load that hedges may take; failures may take all."},
    {"query.extra_load", value_kind::Number, "0.09", 0, 1, "",
     "Further attempts at a shard of forwarded requests for each first one of "
     "the window."},
    {"query.extra_load_base", value_kind::Number, "20", 0, 1000, "",
     "Further attempts at a shard in each window besides; this VM's part of "
     "what all VMs together may send."},
    {"query.extra_load_window", value_kind::Duration, "\"10s\"", 100, 600000,
     "", "Length of the sliding window of both."},
    {"query.answer_margin", value_kind::Duration, "\"0ms\"", 0, 10000, "",
     "Time kept back from a target latency for an answer's way."},
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
    {"timeline.events", value_kind::Integer, "20000", 0, 10000000, "",
     "Events of the time line kept in memory; 0: no time line."},
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
