#include "promise_book.h"

#include "../platform/standins/small_site.h"
#include "answer_check.h"
#include "soak_timing.h"

#include <algorithm>

using namespace masticproxy;
using namespace masticproxy::soak;
using platform::small_site;

namespace {

/// Statuses that say that a request has not run and never will.
bool saysNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

constexpr unsigned UnknownRoute = 404;

} // namespace

promise_book::promise_book(const clock &Clock, unsigned VmCount,
                           unsigned Shards, unsigned Upstreams)
    : Clock(Clock), StartedAt(Clock.now()), Shards(Shards), Vms(VmCount),
      Links(Upstreams), DrainedAt(Upstreams), LeavingSince(Upstreams) {}

void promise_book::sent(const soak_request &Request) {
  ++Sent;
  request_record &Record = Requests[Request.Id];
  Record.Request = Request;
  Record.InTouch = inTouch(Request.Vm);
}

void promise_book::ran(const std::string &Id, const std::string &Target,
                       unsigned Shard, unsigned Upstream) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end()) {
    Broken.push_back({"unasked", Id, "no caller sent it"});
    return;
  }
  request_record &Record = Found->second;
  if (Target != Record.Request.Target)
    breaks("unasked", Record, "ran as " + Target);
  ++Record.Runs;
  unsigned OfShard = ++Record.RunsOfShard[Shard];
  if (Record.Request.Kind == request_kind::Once && Record.Runs > 1)
    breaks("at_most_once", Record, "runs " + std::to_string(Record.Runs));
  if (OfShard > small_site::Attempts)
    breaks("attempts", Record, "runs at one shard " + std::to_string(OfShard));
  if (Record.Refused)
    breaks("not_run", Record, "runs after it was refused");
  checkWanted(Record, Upstream);
  time_point Now = Clock.now();
  // A VM that stands still hears of the end of a connection late.
  bool Heard = Vms[Record.Request.Vm].Process.calmFor(StableWindow, Now) &&
               Links[Upstream].calmFor(StableWindow, Now);
  if (Heard && Record.LeftAt && Now > *Record.LeftAt + LeftWithin)
    breaks("caller_left", Record, "runs long after its caller left");
  bool Drained = DrainedAt[Upstream] &&
                 Now > *DrainedAt[Upstream] + DrainWithin &&
                 Links[Upstream].calmFor(StableWindow, Now);
  if (Drained && Record.InTouch && inTouch(Record.Request.Vm))
    breaks("drain", Record, "upstream " + std::to_string(Upstream));
}

void promise_book::answered(const std::string &Id,
                            const caller_answer &Answer) {
  request_record *Record = end(Id);
  if (!Record)
    return;
  checkHeld(*Record);
  if (Answer.MoreBytes)
    breaks("own_whole_answer", *Record, "bytes after the answer");
  bool Success = Answer.Status >= 200 && Answer.Status < 300;
  if (saysNotRun(Answer.Status)) {
    Record->Refused = true;
    if (Record->Runs > 0)
      breaks("not_run", *Record,
             "refused with " + std::to_string(Answer.Status) + " and has run");
  }
  if (Success) {
    ++Served;
    ServedAfter += isAfterFaults(Record->Request) ? 1 : 0;
    noteLeaving(*Record, Answer);
    if (auto Wrong = wrongIn(Record->Request, Answer, Shards))
      breaks("own_whole_answer", *Record, *Wrong);
  }
  bool Shows = Success || Answer.Status == UnknownRoute;
  if (!Shows || Record->Request.Kind != request_kind::Merged)
    return;
  auto Wrong =
      Versions.saw(Record->Request, Success, Record->InTouch, Clock.now());
  if (Wrong)
    breaks("configuration", *Record, *Wrong);
}

void promise_book::startedAgain(unsigned Upstream) {
  // It registers as ready, whatever was said of the process before it.
  DrainedAt[Upstream].reset();
  LeavingSince[Upstream].reset();
  std::erase_if(LeavingPassedOn, [Upstream](const auto &Entry) {
    return Entry.first.second == Upstream;
  });
}

void promise_book::noteLeaving(const request_record &Record,
                               const caller_answer &Answer) {
  std::vector<std::string> Signatures = Answer.Signatures;
  Signatures.push_back(Answer.Signature);
  for (unsigned U = 0; U < LeavingSince.size(); ++U) {
    bool Says = LeavingSince[U] && Record.Request.SentAt > *LeavingSince[U];
    std::string Own = small_site::signatureOf(
        U / small_site::Replicas, U % small_site::Replicas, Record.Request.Id);
    bool Signed = std::find(Signatures.begin(), Signatures.end(), Own) !=
                  Signatures.end();
    if (Says && Signed)
      notePassedOn(Record.Request.Vm, U);
  }
}

void promise_book::notePassedOn(unsigned Vm, unsigned Upstream) {
  time_point Now = Clock.now();
  auto [Found, New] = LeavingPassedOn.try_emplace({Vm, Upstream}, Now);
  // A process that stood still or started again counts from its own word on.
  if (!New && !calmSince(Vm, Upstream, Found->second))
    Found->second = Now;
}

bool promise_book::calmSince(unsigned Vm, unsigned Upstream,
                             time_point Since) const {
  time_point Now = Clock.now();
  return Vms[Vm].Process.calmFor(Now - Since, Now) &&
         Links[Upstream].calmFor(Now - Since, Now);
}

void promise_book::askedForPause(const std::string &Id, unsigned Upstream,
                                 duration Pause) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  checkWanted(Found->second, Upstream);
  asked_pause &Asked = Pauses[{Found->second.Request.Vm, Upstream}];
  time_point Now = Clock.now();
  if (Now >= Asked.Until)
    Asked = {Now + PauseSlack, Now + Pause};
}

void promise_book::checkWanted(const request_record &Record,
                               unsigned Upstream) {
  unsigned Vm = Record.Request.Vm;
  time_point Now = Clock.now();
  auto Left = LeavingPassedOn.find({Vm, Upstream});
  bool AfterLeaving = Left != LeavingPassedOn.end() &&
                      Record.Request.SentAt > Left->second + DrainWithin;
  if (AfterLeaving && calmSince(Vm, Upstream, Left->second))
    breaks("leaving", Record, "reaches upstream " + std::to_string(Upstream));
  asked_pause &Asked = Pauses[{Vm, Upstream}];
  bool Within = Now > Asked.From && Now < Asked.Until;
  time_point CalmFrom = Asked.From - PauseSlack - StableWindow;
  if (Within && calmSince(Vm, Upstream, CalmFrom) &&
      ++Asked.Arrivals > PauseArrivals)
    breaks("pause", Record, "reaches upstream " + std::to_string(Upstream));
}

void promise_book::closed(const std::string &Id, bool Unsent) {
  if (Unsent) {
    // No process owes it anything, and none may run it.
    Requests.erase(Id);
    return;
  }
  if (request_record *Record = end(Id)) {
    checkHeld(*Record);
    checkLost(*Record);
  }
}

void promise_book::left(const std::string &Id) {
  if (request_record *Record = end(Id)) {
    checkHeld(*Record);
    Record->LeftAt = Clock.now();
  }
}

void promise_book::vmEnded(unsigned Vm, bool Asked, int ExitCode) {
  std::string Name = "vm " + std::to_string(Vm);
  if (!Asked)
    Broken.push_back(
        {"stays_up", Name, "ended by itself with " + std::to_string(ExitCode)});
  else if (ExitCode != 0)
    Broken.push_back(
        {"ends_cleanly", Name, "ended with " + std::to_string(ExitCode)});
}

void promise_book::vmMemory(unsigned Vm, std::uint64_t Peak) {
  Broken.push_back({"memory", "vm " + std::to_string(Vm),
                    "held " + std::to_string(Peak) + " bytes"});
}

void promise_book::finish() {
  bool Often = Held >= HeldAtLeast && HeldPart * Held > Long;
  if (Often)
    Broken.push_back({"held", "-",
                      std::to_string(Held) + " of " + std::to_string(Long) +
                          " long requests without an answer in time"});
  if (Lost > LostAtMost)
    Broken.push_back(
        {"lost", "-",
         std::to_string(Lost) + " requests passed on and closed on"});
  auto SentAfter = std::count_if(
      Requests.begin(), Requests.end(), [this](const auto &Entry) {
        const request_record &Record = Entry.second;
        return Record.Ended && isAfterFaults(Record.Request);
      });
  bool Recovered =
      SentAfter > 0 &&
      ServedAfter >= RecoveredShare * static_cast<double>(SentAfter);
  if (RecoveryFrom && !Recovered)
    Broken.push_back({"recovery", "-",
                      std::to_string(ServedAfter) + " of " +
                          std::to_string(SentAfter) + " served"});
}

promise_book::request_record *promise_book::end(const std::string &Id) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end() || Found->second.Ended)
    return nullptr;
  Found->second.Ended = true;
  return &Found->second;
}

bool promise_book::isAfterFaults(const soak_request &Request) const {
  return RecoveryFrom && Request.SentAt >= *RecoveryFrom;
}

void promise_book::breaks(const char *Promise, const request_record &Of,
                          std::string Detail) {
  auto Sent = std::chrono::duration_cast<std::chrono::milliseconds>(
      Of.Request.SentAt - StartedAt);
  Broken.push_back({Promise, Of.Request.Id,
                    "vm " + std::to_string(Of.Request.Vm) + " " +
                        Of.Request.Target + " sent at " +
                        std::to_string(Sent.count()) +
                        " ms: " + std::move(Detail)});
}

bool promise_book::inTouch(unsigned Vm) const {
  time_point Now = Clock.now();
  return Vms[Vm].Process.calmFor(StableWindow, Now) &&
         Vms[Vm].Store.calmFor(StableWindow, Now) &&
         Store.calmFor(StableWindow, Now);
}

void promise_book::checkHeld(const request_record &Record) {
  duration Took = Clock.now() - Record.Request.SentAt;
  bool Calm = Vms[Record.Request.Vm].Process.calmFor(Took, Clock.now());
  if (!Calm || Took < RequestTimeout)
    return;
  ++Long;
  Held += Took > RequestTimeout + HeldSlack ? 1 : 0;
}

void promise_book::checkLost(const request_record &Record) {
  const soak_request &Request = Record.Request;
  time_point Now = Clock.now();
  duration Took = Now - Request.SentAt;
  if (!Vms[Request.Vm].Process.calmFor(StableWindow + Took, Now))
    return;
  Lost += Record.Runs > 0 ? 1 : 0;
  auto Stopped = Terminated.find(Request.Vm);
  bool Leaving =
      Stopped != Terminated.end() && Stopped->second == Request.Start;
  if (!Leaving)
    return;
  if (Record.Runs > 0)
    breaks("shutdown", Record, "closed on after it was passed on");
  else if (Took > LossSlack)
    breaks("shutdown", Record, "closed on after it was read");
}
