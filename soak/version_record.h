#ifndef MASTICPROXY_SOAK_VERSION_RECORD_H
#define MASTICPROXY_SOAK_VERSION_RECORD_H

#include "masticproxy/src/Base/clock.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace masticproxy::soak {

struct soak_request;

/// \brief Which versions of the configuration were written when, and which ones
/// each start of a VM was seen to have in force.
class version_record {
public:
  /// Notes that the store acknowledged the next version at \p Now.
  void written(time_point Now) { WrittenAt.push_back(Now); }

  /// \returns the newest version; the first is 1.
  unsigned newest() const { return static_cast<unsigned>(WrittenAt.size()); }

  /// Takes in that \p Request was served at \p Now, or that its route was said
  /// to be unknown. \returns what is wrong with that, if anything; \p InTouch
  /// says whether the VM was in touch when the request was sent.
  std::optional<std::string> saw(const soak_request &Request, bool Served,
                                 bool InTouch, time_point Now);

private:
  struct seen_version {
    unsigned Version = 0;
    time_point At{};
  };

  bool due(unsigned Version, time_point SentAt) const;

  std::vector<time_point> WrittenAt;
  /// By VM and start.
  std::map<std::pair<unsigned, unsigned>, seen_version> Seen;
};

} // namespace masticproxy::soak

#endif
