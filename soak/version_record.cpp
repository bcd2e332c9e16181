#include "version_record.h"

#include "soak_request.h"

using namespace masticproxy;
using namespace masticproxy::soak;

namespace {

/// Time from the store's acknowledgement until a version is in force.
constexpr std::chrono::milliseconds InForceWithin{3000};

/// Requests sent this long after one that showed a version show no older one.
constexpr std::chrono::milliseconds RollbackSlack{250};

} // namespace

bool version_record::due(unsigned Version, time_point SentAt) const {
  return Version <= newest() && SentAt > WrittenAt[Version - 1] + InForceWithin;
}

std::optional<std::string> version_record::saw(const soak_request &Request,
                                               bool Served, bool InTouch,
                                               time_point Now) {
  seen_version &Known = Seen[{Request.Vm, Request.Start}];
  bool AfterKnown =
      Known.Version > 0 && Request.SentAt > Known.At + RollbackSlack;
  unsigned Version = Request.Version;
  if (Served) {
    if (InTouch && due(Version + 1, Request.SentAt))
      return "served by version " + std::to_string(Version) +
             ", though a later one was due";
    if (AfterKnown && Version < Known.Version)
      return "served by version " + std::to_string(Version) + " after " +
             std::to_string(Known.Version);
    if (Version > Known.Version)
      Known = {Version, Now};
    return std::nullopt;
  }
  // The route of a version goes with the next one.
  if (Version < newest())
    return std::nullopt;
  if (InTouch && due(Version, Request.SentAt))
    return "version " + std::to_string(Version) + " was due, and is not known";
  if (AfterKnown && Version == Known.Version)
    return "version " + std::to_string(Version) + " is not known any more";
  return std::nullopt;
}
