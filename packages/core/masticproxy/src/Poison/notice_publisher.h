#ifndef MASTICPROXY_POISON_NOTICE_PUBLISHER_H
#define MASTICPROXY_POISON_NOTICE_PUBLISHER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/token_bucket.h"
#include "masticproxy/src/Poison/death_tally.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/poison_timing.h"
#include "masticproxy/src/Poison/suspicion_ended.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief Write a notice to the platform, if its object has \p Version; 0: if
/// there is none.
struct publish_notice {
  poison_notice Notice;
  std::uint64_t Version = 0;
};

/// \brief Remove the object of a query from the platform, if it has
/// \p Version.
struct withdraw_notice {
  query_fingerprint Fingerprint = 0;
  std::uint64_t Version = 0;
};

/// A write to the platform that a notice_publisher wants.
using notice_write = std::variant<publish_notice, withdraw_notice>;

/// \brief Decides which of one VM's notices are written to the platform, and
/// when: those of condemned queries at once, those of suspects if the suspicion
/// lasts, and only so many in a time.
///
/// The caller carries out one write of next() at a time and reports its result.
class notice_publisher {
public:
  explicit notice_publisher(const clock &Clock, poison_timing Timing = {})
      : Clock(Clock), Timing(Timing),
        SuspectBudget(Clock, Timing.ShareInterval, Timing.ShareBurst) {}

  /// Takes a notice of this VM.
  void onNotice(const poison_notice &Notice);

  /// Takes the end of a suspicion that this VM found.
  void onEnded(const suspicion_ended &Ended);

  /// The platform came back from a copy, which may lack what was written last:
  /// all that lasts is written again.
  void onRestored();

  /// \returns the write that is due, if any.
  std::optional<notice_write> next();

  /// The write was carried out; the object now has \p Version.
  void written(const notice_write &Write, std::uint64_t Version);

  /// The write found another version of the object: \p Current, which is at
  /// \p Version, or none where \p Version is 0. \p Current is empty if the
  /// object can't be read.
  void conflicted(const notice_write &Write,
                  const std::optional<poison_notice> &Current,
                  std::uint64_t Version);

  /// \returns when next() has to be called again, if at all.
  std::optional<time_point> nextWakeup() const;

  /// \returns the number of queries on record.
  std::size_t size() const { return Records.size(); }

private:
  struct record {
    std::string Shard;
    death_tally Deaths;
    time_point DueAt;
    std::uint64_t PublishedHalfRounds = 0;
    /// Version of the object that this VM wrote; 0 if it wrote none.
    std::uint64_t Version = 0;
    bool Ended = false;

    bool isUnpublished() const {
      return Deaths.HalfRounds > PublishedHalfRounds;
    }
    bool condemns() const {
      return Deaths.rounds() >= poison_timing::RoundsToCondemn;
    }
  };
  using record_map = std::map<query_fingerprint, record>;

  bool isDue(const record &Record) const;
  /// \returns when the record is forgotten.
  time_point forgottenAt(const record &Record) const;
  bool isForgotten(const record &Record) const;
  void dropForgotten();

  const clock &Clock;
  poison_timing Timing;
  /// Writes for suspects that are not condemned.
  token_bucket SuspectBudget;
  record_map Records;
};

} // namespace masticproxy

#endif
