/// \file
/// Beginnings and ends of attempts on the time line.

#include "masticproxy/Net"
#include "masticproxy/Query"
#include "masticproxy/src/Daemon/attempt_log.h"
#include "masticproxy/src/Daemon/timeline_line.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticproxy;

namespace {

/// A time line that a test fills.
struct noted_attempts {
  os_clock Clock;
  hybrid_clock Stamps{Clock};
  event_log Events{Stamps, 100};
  attempt_log Attempts{Clock, Events};

  void send(attempt_id Attempt, attempt_kind Kind = attempt_kind::First) {
    send_attempt Command;
    Command.Attempt = Attempt;
    Command.RequestId = "r";
    Command.Shard = "s";
    Command.Upstream = "u";
    Command.Kind = Kind;
    Attempts.sent(Command);
  }

  timeline_event last() const { return Events.events("r").back(); }
};

} // namespace

Test(attempts, have_a_beginning_and_an_end_with_all_facts) {
  noted_attempts Noted;
  Noted.send(7, attempt_kind::Hedge);
  cr_assert(Noted.last().Kind == "attempt_sent");
  cr_assert(Noted.last().Facts.AttemptKind == "hedge");
  Noted.Attempts.ended(attempt_failed{7, attempt_failure::Refused});
  timeline_event End = Noted.last();
  cr_assert(End.Kind == "attempt_failed" && End.Facts.End == "refused");
  cr_assert(End.Facts.Attempt == 7 && End.Facts.Shard == "s" &&
            End.Facts.Upstream == "u" && End.Facts.AttemptKind == "hedge");
}

Test(attempts, end_once_and_are_not_kept_after_that) {
  noted_attempts Noted;
  for (attempt_id Attempt = 1; Attempt <= 4; ++Attempt)
    Noted.send(Attempt);
  cr_assert(Noted.Attempts.open() == 4);
  Noted.Attempts.cancelled(1);
  Noted.Attempts.ended(attempt_answered{1, {}});
  Noted.Attempts.ended(attempt_answered{2, {}});
  Noted.Attempts.ended(attempt_failed{3, attempt_failure::NotSent});
  Noted.Attempts.ended(relay_failed{4, relay_end::Silent});
  Noted.Attempts.ended(relay_failed{4, relay_end::Silent});
  Noted.Attempts.ended(timer_fired{});
  cr_assert(Noted.Attempts.open() == 0);
  std::vector<std::string> Ends;
  for (const timeline_event &Event : Noted.Events.events("r"))
    if (!Event.Facts.End.empty())
      Ends.push_back(Event.Facts.End);
  cr_assert(Ends == std::vector<std::string>(
                        {"cancelled", "answered", "not_sent", "silent"}));
}

Test(attempts, are_told_when_they_end_also_without_a_time_line) {
  os_clock Clock;
  hybrid_clock Stamps(Clock);
  event_log None(Stamps, 0);
  attempt_log Attempts(Clock, None);
  send_attempt Command;
  Command.Attempt = 5;
  Command.RequestId = "r";
  Attempts.sent(Command);
  auto Ended = Attempts.ended(attempt_failed{5, attempt_failure::Refused});
  cr_assert(Ended && Ended->RequestId == "r" && Ended->Facts.End == "refused");
  cr_assert(None.events("").empty());
}

Test(attempts, through_another_vm_name_that_vm) {
  noted_attempts Noted;
  send_relay Command;
  Command.Vm = "vm-b";
  Command.Request.Attempt = 3;
  Command.Request.RequestId = "r";
  Command.Request.Shard = "s";
  Noted.Attempts.sent(Command);
  cr_assert(Noted.last().Kind == "relay_sent");
  cr_assert(Noted.last().Detail == "s to vm-b");
  Noted.Attempts.ended(attempt_answered{3, {}});
  cr_assert(Noted.last().Facts.Upstream == "vm-b");
}

Test(attempts, of_an_older_instant_can_be_left_out) {
  noted_attempts Noted;
  Noted.send(1);
  std::chrono::microseconds First(Noted.last().At.Microseconds);
  cr_assert(Noted.Events.events("r", First).size() == 1);
  cr_assert(Noted.Events.events("r", First + std::chrono::hours(1)).empty());
}

Test(timeline_lines, leave_out_the_facts_that_do_not_apply) {
  timeline_event Event{{5, 6}, "k", "r", "d", {}};
  auto Plain = nlohmann::json::parse(timelineLine(Event, "vm"));
  cr_assert(Plain.size() == 6 && Plain["us"] == 5 && Plain["vm"] == "vm");
  Event.Facts = {1, "s", "u", "first", "answered", "p"};
  auto Full = nlohmann::json::parse(timelineLine(Event, "vm"));
  cr_assert(Full.size() == 12 && Full["attempt"] == 1 &&
            Full["profile"] == "p");
}
