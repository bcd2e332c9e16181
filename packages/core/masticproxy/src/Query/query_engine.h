#ifndef MASTICPROXY_QUERY_QUERY_ENGINE_H
#define MASTICPROXY_QUERY_QUERY_ENGINE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_timing.h"
#include "masticproxy/src/Poison/poison_guard.h"
#include "masticproxy/src/Query/engine_command.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/query_run.h"
#include "masticproxy/src/Query/upstream_table.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticproxy {

/// \brief Bounds of one VM's query engine.
struct engine_limits {
  /// Requests under way at a time; one more is refused.
  std::size_t Queries = 1024;
  /// VMs of the data centre, which share each upstream's connections.
  unsigned Sharers = 1;
  /// Data centre of this VM; upstreams of others are not spoken to.
  std::string DataCentre;
  /// How long request ids that may not run twice can be used.
  claim_timing Claims = {};
  /// Whether a query not seen before runs on one shard alone at first.
  bool ProbeFirst = false;
};

/// \brief Decides all that happens to the requests of one VM.
///
/// Events go in through handle(), commands come out. It owns no thread, does
/// no input or output, and knows no time but the clock's.
/// \sa engine_event, engine_command
class query_engine {
public:
  query_engine(const clock &Clock, engine_limits Limits);
  ~query_engine();

  /// Reacts to \p Event. \returns the commands in the order to be carried out.
  std::vector<engine_command> handle(engine_event Event);

  /// \returns when a timer_fired is due, if at all.
  std::optional<time_point> nextWakeup() const;

  /// \returns the requests under way.
  std::size_t running() const { return Runs.size(); }

  /// Sets how many VMs of the data centre share each upstream's connections.
  void setSharers(unsigned Count) { Upstreams.setSharers(Count); }

private:
  struct attempt_record {
    query_ticket Ticket = 0;
    std::size_t Shard = 0;
    unsigned Generation = 0;
    std::string Upstream;
  };
  using run_map = std::unordered_map<query_ticket, query_run>;

  void on(query_arrived Event);
  void on(attempt_answered Event);
  void on(attempt_failed Event);
  void on(catalogue_changed Event);
  void on(timer_fired Event);
  void on(leave_started Event);
  void on(claim_decision Event);
  void on(const poison_notice &Event);

  void startShards(query_ticket Ticket, query_run &Run);
  void startShard(query_ticket Ticket, query_run &Run, std::size_t Shard);
  void startWaiting();
  std::optional<attempt_record> endAttempt(attempt_id Attempt);
  query_run *findRun(const attempt_record &Record);
  /// Starts \p Run over where its snapshot went away and a newer one is in
  /// force. \returns whether it did.
  bool restartIfDue(query_ticket Ticket, query_run &Run);
  void finishIfOver(query_ticket Ticket);
  void finish(run_map::iterator Run);
  void finishWith(run_map::iterator Run, query_outcome Outcome);
  void cancelOpen(query_run &Run);
  std::optional<query_outcome> refusalOfId(const std::string &RequestId) const;
  void awaitClaim(query_ticket Ticket, query_run &Run);
  void releaseClaim(const query_run &Run, const query_outcome &Outcome);
  void noteEnd(const attempt_failed &Event);
  void endCondemned(query_fingerprint Fingerprint);
  /// \returns the shards in the order in which a run asks them.
  std::vector<std::size_t> shardOrder(const query_run &Run) const;
  void refuse(const query_arrived &Request, query_outcome Outcome);

  const clock &Clock;
  engine_limits Limits;
  std::shared_ptr<const query_catalogue> Catalogue;
  upstream_table Upstreams;
  poison_guard Poison;
  run_map Runs;
  std::unordered_map<attempt_id, attempt_record> Attempts;
  std::deque<std::pair<query_ticket, std::size_t>> Waiting;
  std::set<std::pair<time_point, query_ticket>> Deadlines;
  std::vector<engine_command> Commands;
  attempt_id NextAttempt = 1;
  bool Leaving = false;
};

} // namespace masticproxy

#endif
