#ifndef MASTICPROXY_NET_OBJECT_FEED_H
#define MASTICPROXY_NET_OBJECT_FEED_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Net/object_codec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticproxy {

class platform_caller;
class watch_check;
struct call_check;

/// \brief What one step of an object_feed brought.
struct feed_news {
  std::vector<discovery_event> Events;
  /// Objects that could not be read, with the reason.
  std::vector<std::string> Problems;
  /// Revision of the platform up to which all is known.
  std::uint64_t Revision = 0;
  /// The news stem from a complete list.
  bool Listed = false;
  /// The platform came back from a copy since the news before: what it
  /// acknowledged last may be gone.
  bool NewEra = false;
};

using feed_result = std::variant<feed_news, platform_unavailable>;

/// \brief Follows one kind of a platform's objects: a list at first, after a
/// failure and where the history is gone, then one watch after the other.
class object_feed {
public:
  /// The first list and all watches are answered from a source of \p Freshness,
  /// later lists from one of \p ListFreshness.
  object_feed(const platform_caller &Platform, const object_codec &Codec,
              read_freshness Freshness = read_freshness::Newest,
              read_freshness ListFreshness = read_freshness::Newest)
      : Platform(Platform), Codec(Codec), Freshness(Freshness),
        ListFreshness(ListFreshness) {}

  /// Lets watches be checked from here on.
  void checkWatches(watch_check &NewCheck) { Check = &NewCheck; }

  /// \returns how many checks were made so far.
  std::uint64_t checks() const { return Checks; }

  /// Waits up to \p Wait for news. \returns them, or why there are none.
  feed_result next(std::chrono::milliseconds Wait);

  /// Reads a list, without a watch. \returns it, or why there is none.
  feed_result poll();

private:
  feed_result list(read_freshness Source);
  /// \returns the source of the next list, unless a watch has shown a better
  /// one.
  read_freshness listSource() const;
  feed_result watch(std::chrono::milliseconds Wait);
  /// Decides where to go on after a watch that told no news.
  void continueWithoutNews();
  /// \returns the revision up to which all changes are known.
  std::uint64_t knownRevision() const;
  /// \returns the era of an answer that states \p Stated.
  std::uint64_t eraOf(std::optional<std::uint64_t> Stated) const {
    return Stated.value_or(Era);
  }
  /// \returns the checks of a watch from here on; none unless checkWatches()
  /// was called.
  call_check watchChecks();
  /// \returns whether the answer to a check that was sent at \p SentAt has
  /// news.
  bool hasNews(const http_response &Answer, time_point SentAt);

  const platform_caller &Platform;
  const object_codec &Codec;
  read_freshness Freshness;
  read_freshness ListFreshness;
  /// Whether a complete list was read.
  bool Listed = false;
  /// Nothing where a list has to be read first.
  std::optional<std::uint64_t> Revision;
  /// Number of times that the platform had come back from a copy, as of the
  /// newest answer that was taken in.
  std::uint64_t Era = 0;
  /// Pages of the newest list.
  unsigned Pages = 0;
  watch_check *Check = nullptr;
  std::uint64_t Checks = 0;
  /// Source of the newest check.
  read_freshness CheckSource = read_freshness::Newest;
  /// Source of the answer that ends the watch under way.
  read_freshness AnswerSource = read_freshness::Newest;
};

} // namespace masticproxy

#endif
