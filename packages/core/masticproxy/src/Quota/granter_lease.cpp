#include "masticproxy/src/Quota/granter_lease.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

granter_lease::granter_lease(const clock &Clock, granter_record Self,
                             granter_lease_timing Timing, unsigned Seed)
    : Clock(Clock), Self(std::move(Self)), Timing(Timing), Random(Seed) {}

lease_action granter_lease::next() {
  time_point Now = Clock.now();
  if (Leaving) {
    if (!hasToLeave())
      return lease_wait{};
    lease_write Last = writeAs(OwnTerm, Known->Renewals);
    Last.Record.Left = Written.Left = true;
    return Last;
  }
  if (Now < NextCall)
    return lease_wait{NextCall};
  if (!ReadOnce)
    return lease_read{};
  return OwnTerm > 0 ? nextOfHolder() : nextOfOther();
}

lease_action granter_lease::nextOfHolder() {
  bool Written = Known && isSelf(*Known) && Known->Term == OwnTerm;
  // A record that vouches for an earlier era would make a next process of this
  // VM wait.
  bool Certain = holds() && Clock.now() >= GrantsFrom;
  bool Outdated = Written && Certain && Known->Era != Era;
  bool Changes = Written && Known->Claims != Claims;
  if (!Written || Known->Challenged || Outdated || Changes)
    return writeAs(OwnTerm, Known ? Known->Renewals + 1 : 0);
  SentAt = Clock.now();
  return lease_read{read_freshness::Newest};
}

void granter_lease::setGranterAnswers(bool Answers) {
  if (GranterAnswers == Answers)
    return;
  GranterAnswers = Answers;
  // What was planned by an earlier read is outdated: the next one decides.
  ActsAt = time_point::max();
}

lease_action granter_lease::nextOfOther() {
  // The former process of this VM is gone. In a later era than its record's,
  // another VM may have been forgotten that took the lease from it.
  bool OwnFormer = isOwnFormer();
  if (OwnFormer) {
    SafeEra = Known->Era;
    return writeAs(HighestTerm + 1, 0);
  }
  if (Known && !Known->Left && GranterAnswers)
    return lease_wait{};
  if (ActsAt <= Clock.now()) {
    bool Free = !Known || Known->Challenged || Known->Left;
    if (Free) {
      // In a later era, one that followed a holder that left may have been
      // forgotten.
      SafeEra = Known && Known->Left ? Known->Era : Era;
      return writeAs(HighestTerm + 1, 0);
    }
    Written = *Known;
    Written.Challenged = true;
    return lease_write{Written, Revision};
  }
  return lease_read{};
}

lease_write granter_lease::writeAs(std::uint64_t Term, std::uint64_t Renewals) {
  if (Term != OwnTerm) {
    Predecessor.reset();
    if (Known)
      Predecessor = Known->Claims;
    Claims = {};
  }
  OwnTerm = Term;
  HighestTerm = std::max(HighestTerm, Term);
  Written = Self;
  Written.Term = Term;
  Written.Renewals = Renewals;
  Written.Claims = Claims;
  SentAt = Clock.now();
  // As long as another holder may be at work that the store has forgotten, the
  // record must not vouch for the present era.
  bool Certain = holds() && SentAt >= GrantsFrom;
  Written.Era = Certain ? Era : SafeEra;
  return lease_write{Written, Revision};
}

void granter_lease::onRead(const std::optional<stored_granter> &Found,
                           std::uint64_t NewEra) {
  if (OwnTerm > 0)
    return onHolderRead(Found, NewEra);
  time_point Now = Clock.now();
  bool Released = Found && Found->Record.Left;
  bool Same = ReadOnce && NewEra == Era &&
              Known.has_value() == Found.has_value() &&
              (!Found || *Known == Found->Record);
  // A holder that has just replied to a challenge lives, although this VM does
  // not reach it.
  bool Recent = Now - LastReadAt <= 2 * Timing.ReadPause;
  bool Replied = Recent && Known && Found &&
                 Known->Term == Found->Record.Term &&
                 Known->Renewals < Found->Record.Renewals;
  if (Replied)
    LivesUntil = Now + Timing.Lease;
  LastReadAt = Now;
  note(Found, NewEra);
  ReadOnce = true;
  NextCall = Now;

  if (Known && isSelf(*Known)) {
    // A write without an answer took effect.
    OwnTerm = Known->Term;
    SafeEra = Known->Era;
    return;
  }
  if (isOwnFormer())
    return;
  if (!Same) {
    SeenSince = Now;
    ActsAt = time_point::max();
  }
  if (Released) {
    if (ActsAt == time_point::max())
      ActsAt = Now + takeDelay();
    NextCall = std::max(Now, ActsAt);
    return;
  }
  watchUntilFree();
}

void granter_lease::watchUntilFree() {
  time_point Now = Clock.now();
  time_point Free = SeenSince + Timing.Lease;
  bool Challengeable = Known && !Known->Challenged;
  if (Challengeable) {
    if (ActsAt == time_point::max())
      ActsAt = std::max(Now, LivesUntil) + takeDelay();

    NextCall = std::min(Now + Timing.ReadPause, std::max(Now, ActsAt));
    return;
  }
  if (Now >= Free) {
    // Larger VMs took it before, if they could: this read has shown that none
    // did.
    ActsAt = Now;
    NextCall = Now;
    return;
  }
  // Where there is no granter, there is nobody to look for meanwhile.
  time_point Next = Free + takeDelay();
  NextCall = Known ? std::min(Now + Timing.ReadPause, Next) : Next;
}

void granter_lease::onHolderRead(const std::optional<stored_granter> &Found,
                                 std::uint64_t NewEra) {
  bool Mine = Found && isSelf(Found->Record) && Found->Record.Term == OwnTerm;
  bool Restored =
      holds() && NewEra > Era && (!Found || Found->Record.Term <= OwnTerm);
  note(Found, NewEra);
  NextCall = Clock.now();
  if (Mine && !Found->Record.Challenged) {
    extend(NewEra);
    return;
  }
  // The next write replies to the challenge, or writes again what the store
  // has forgotten.
  if (Mine || Restored)
    return;
  loseLease();
}

void granter_lease::onWritten(std::uint64_t NewRevision, std::uint64_t NewEra) {
  Known = Written;
  Revision = NewRevision;
  if (Written.Left) {
    OwnTerm = 0;
    HoldsUntil = {};
    return;
  }
  if (OwnTerm > 0) {
    extend(NewEra);
    Era = NewEra;
    return;
  }
  // A challenge: from now on, the holder has its time to reply.
  Era = NewEra;
  SeenSince = Clock.now();
  ActsAt = time_point::max();
  watchUntilFree();
}

void granter_lease::extend(std::uint64_t NewEra) {
  bool Begins = HoldsUntil <= SentAt;
  // A lease after the one that was replaced may have been lost with the earlier
  // era while its holder still relies on it. That holder is gone, or has
  // written its lease again, once the wait is over.
  if (Begins && NewEra != SafeEra) {
    if (WaitedEra != NewEra)
      GrantsFrom = Clock.now() + Timing.Lease;
    else if (SentAt >= GrantsFrom)
      SafeEra = NewEra;
    WaitedEra = NewEra;
  }
  HoldsUntil = SentAt + Timing.Hold;
  if (SentAt < GrantsFrom)
    HoldsUntil = std::min(HoldsUntil, GrantsFrom);
  NextCall = SentAt + Timing.ConfirmEvery;
  ActsAt = time_point::max();
}

void granter_lease::onConflict(const std::optional<stored_granter> &Found,
                               std::uint64_t NewEra) {
  if (OwnTerm > 0 && HoldsUntil != time_point{})
    return onHolderRead(Found, NewEra);
  note(Found, NewEra);
  loseLease();
}

void granter_lease::loseLease() {
  OwnTerm = 0;
  HoldsUntil = {};
  SeenSince = Clock.now();
  ActsAt = time_point::max();
  NextCall = Clock.now() + Timing.ReadPause;
}

void granter_lease::setClaims(std::uint64_t Term, granter_claims NewClaims) {
  if (Term != OwnTerm)
    return;
  Claims = std::move(NewClaims);
  NextCall = std::min(NextCall, Clock.now());
}

void granter_lease::onFailure() {
  NextCall = Clock.now() + Timing.RetryPause;
  if (Leaving) {
    // Whatever became of the write, the lease runs out by itself.
    OwnTerm = 0;
    HoldsUntil = {};
    return;
  }
  // Without an answer this VM does not know what it wrote, so it looks again.
  if (!holds()) {
    OwnTerm = 0;
    ReadOnce = false;
    ActsAt = time_point::max();
  }
}

bool granter_lease::hasToLeave() const {
  return OwnTerm > 0 && Known && isSelf(*Known) && !Known->Left;
}

std::optional<time_point> granter_lease::grantsUntil() const {
  if (Leaving || !holds() || Clock.now() < GrantsFrom)
    return std::nullopt;
  return HoldsUntil;
}

bool granter_lease::isOwnFormer() const {
  return Known && Known->Vm == Self.Vm &&
         Known->Incarnation != Self.Incarnation;
}

bool granter_lease::isSelf(const granter_record &Record) const {
  return Record.Vm == Self.Vm && Record.Incarnation == Self.Incarnation;
}

void granter_lease::note(const std::optional<stored_granter> &Found,
                         std::uint64_t NewEra) {
  Known.reset();
  Revision = 0;
  Era = NewEra;
  if (!Found)
    return;
  Known = Found->Record;
  Revision = Found->Revision;
  HighestTerm = std::max(HighestTerm, Found->Record.Term);
}

duration granter_lease::takeDelay() {
  std::uniform_real_distribution<double> Part(0, 1);
  return std::chrono::duration_cast<duration>(Timing.TakeSpread * Part(Random));
}
