#include "masticproxy/src/Daemon/request_log.h"

#include "masticproxy/src/Daemon/attempt_log.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Query/outcome_code.h"

#include <span>

using namespace masticproxy;

namespace {

/// Lines written in a burst, and the time in which one more is earned: under
/// load a VM writes at most 50 lines a second.
constexpr unsigned LineBurst = 100;
constexpr std::chrono::milliseconds LineInterval{20};

long long milliseconds(duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

/// The shards of \p Gaps, each with the cause where it was given up.
std::string gapsText(std::span<const shard_gap> Gaps) {
  std::string Text;
  for (const shard_gap &Gap : Gaps) {
    Text += (Text.empty() ? "" : ",") + Gap.Shard;
    if (Gap.Cause != gap_cause::Late)
      Text += ":" + std::string(toString(Gap.Cause));
  }
  return Text.empty() ? "-" : Text;
}

/// Why a request was not answered, where the outcome says so.
struct reason_reader {
  std::string operator()(const not_run &Outcome) const {
    return Outcome.Reason;
  }
  std::string operator()(const outcome_unknown &Outcome) const {
    return Outcome.Reason;
  }
  template <typename Other> std::string operator()(const Other &) const {
    return "-";
  }
};

} // namespace

request_log::request_log(const clock &Clock)
    : Budget(Clock, LineInterval, LineBurst) {}

void request_log::sent(const send_attempt &Command) {
  bool First = Command.Kind == attempt_kind::First;
  if (First || !Command.Forwarded)
    return;
  write("event=attempt_sent request=" + Command.RequestId +
        " kind=" + std::string(toString(Command.Kind)) +
        " shard=" + Command.Shard + " upstream=" + Command.Upstream +
        " instance=" + Command.Instance + " version=" + Command.Snapshot);
}

void request_log::ended(const ended_attempt &Attempt) {
  const event_facts &Facts = Attempt.Facts;
  write("event=attempt_failed request=" + Attempt.RequestId + " shard=" +
        Facts.Shard + " upstream=" + Facts.Upstream + " end=" + Facts.End +
        " after_ms=" + std::to_string(milliseconds(Attempt.Took)));
}

void request_log::delivered(const deliver_outcome &Command) {
  const query_account &Account = Command.Account;
  bool Full = std::holds_alternative<answered>(Command.Outcome) &&
              Account.Missing.empty();
  if (Full)
    return;
  write("event=request_ended request=" + Command.RequestId +
        " outcome=" + std::string(codeOf(Command.Outcome)) +
        " profile=" + (Account.Profile.empty() ? "-" : Account.Profile) +
        (Account.Team.empty() ? "" : " team=" + Account.Team) +
        " took_ms=" + std::to_string(milliseconds(Account.Took)) +
        " shards=" + std::to_string(Account.Shards) +
        " attempts=" + std::to_string(Account.Attempts) +
        " missing=" + gapsText(Account.Missing) + " reason=\"" +
        std::visit(reason_reader{}, Command.Outcome) + "\"");
}

void request_log::write(const std::string &Line) {
  if (!Budget.take()) {
    ++LeftOut;
    return;
  }
  logInfo(LeftOut == 0 ? Line : Line + " left_out=" + std::to_string(LeftOut));
  LeftOut = 0;
}
