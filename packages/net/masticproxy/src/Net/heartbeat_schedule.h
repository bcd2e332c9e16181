#ifndef MASTICPROXY_NET_HEARTBEAT_SCHEDULE_H
#define MASTICPROXY_NET_HEARTBEAT_SCHEDULE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Net/platform_heartbeat.h"

#include <cstdint>
#include <optional>
#include <random>
#include <variant>

namespace masticproxy {

struct platform_freshness;

/// \brief What a VM does next about the platform's heartbeat.
struct heartbeat_wait {
  time_point Until;
};
struct heartbeat_read {
  read_freshness Source = read_freshness::MayLag;
};
struct heartbeat_write {
  platform_heartbeat Heartbeat;
  /// Revision of the heartbeat that is replaced; 0: there must be none.
  std::uint64_t IfRevision = 0;
};
using heartbeat_action =
    std::variant<heartbeat_wait, heartbeat_read, heartbeat_write>;

/// \brief Decides when a VM reads the platform's heartbeat, from which source,
/// and when it writes it.
///
/// Every VM reads it from copies as long as they are shown to be young enough,
/// and from the platform itself otherwise. The VM that wrote it last writes the
/// next one. Where it stands still, any other VM writes it. All writes are
/// conditional. Each action but heartbeat_wait is followed by one event.
class heartbeat_schedule {
public:
  /// What is read is told to \p Platform, so that what this VM knows of the
  /// platform is not older than \p LongestAge.
  heartbeat_schedule(const clock &Clock, platform_freshness &Platform,
                     duration LongestAge, unsigned Seed);

  /// \returns what to do now.
  heartbeat_action next();

  void onRead(const heartbeat_reading &Reading);
  /// The write that was returned last, sent at \p SentAt, took effect.
  void onWritten(std::uint64_t Revision, time_point SentAt);
  /// It did not, as another VM wrote.
  void onConflict();
  /// The platform gave no answer; a write may have taken effect.
  void onFailure();

  /// \returns whether the last read of a copy didn't show it young enough.
  bool copiesTooOld() const { return CopiesTooOld; }

  /// \returns the time as of which this VM knows what the platform holds.
  time_point currentAsOf() const { return CurrentAsOf; }

private:
  /// \returns the heartbeat to write now.
  heartbeat_write write();
  time_point readDue() const;
  void learn(const heartbeat_reading &Reading);
  void onNone(read_freshness Source);
  void onStandstill();
  duration randomUpTo(duration Longest);

  const clock &Clock;
  platform_freshness &Platform;
  duration LongestAge;
  std::minstd_rand Random;

  /// As of the newest answer.
  std::optional<platform_heartbeat> Newest;
  /// When Newest was known first.
  time_point NewestSince{};
  /// From when on the next heartbeat counts time.
  time_point CountsFrom{};
  std::uint64_t Era = 0;
  platform_heartbeat Written;
  time_point CurrentAsOf;
  bool CopiesTooOld = false;
  /// This VM wrote Newest.
  bool Writes = false;
  /// When this VM writes although another one wrote before; empty: never.
  std::optional<time_point> TakesOverAt;
  /// When the platform itself is read for the first time; empty afterwards.
  std::optional<time_point> FirstReadAt;
  time_point NextCall{};
  /// Calls without an answer in a row.
  unsigned Failures = 0;
};

} // namespace masticproxy

#endif
