#ifndef MASTICPROXY_NET_WATCH_CHECK_H
#define MASTICPROXY_NET_WATCH_CHECK_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Discovery/check_plan.h"
#include "masticproxy/src/Net/platform_position.h"

namespace masticproxy {

struct platform_freshness;

/// \brief Decides when the watch of one kind of the platform's objects is
/// checked, so that a change is noticed although the answer that told it was
/// lost.
class watch_check {
public:
  /// What the platform's heartbeat shows stands in \p Platform.
  watch_check(const clock &Clock, const platform_freshness &Platform,
              check_plan Plan)
      : Clock(Clock), Platform(Platform), Plan(Plan), CurrentAsOf(Clock.now()) {
  }

  /// Records an answer from \p Source to a call that was sent at \p SentAt: all
  /// changes up to \p NewPosition are known.
  void onAnswer(platform_position NewPosition, read_freshness Source,
                time_point SentAt);

  /// \returns when the next check is due.
  time_point due();

  /// \returns the last position up to which all changes are known.
  platform_position knownUpTo() const;

  /// \returns whether the heartbeat shows that no change is missing.
  bool shownComplete() const;

  time_point now() const { return Clock.now(); }

  /// \returns the source that the next check is to be answered from.
  read_freshness freshness() const {
    return CopyTooOld ? read_freshness::Newest : read_freshness::MayLag;
  }

  /// \returns the time up to which all changes are known.
  time_point currentAsOf() const { return CurrentAsOf; }

private:
  const clock &Clock;
  const platform_freshness &Platform;
  check_plan Plan;
  /// All changes up to here are known.
  platform_position Position;
  /// All changes up to this time are known. A VM that has just started is held
  /// to the bounds only some time later.
  time_point CurrentAsOf;
  /// The last answer of a copy was not shown to be young enough.
  bool CopyTooOld = false;
};

} // namespace masticproxy

#endif
