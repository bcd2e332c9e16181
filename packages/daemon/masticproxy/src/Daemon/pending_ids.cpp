#include "masticproxy/src/Daemon/pending_ids.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// The least number of ids that are searched for expired ones.
constexpr std::size_t LeastSearched = 16;

} // namespace

void pending_ids::add(const std::string &Id, time_point Deadline,
                      time_point Now) {
  time_point &Kept = Deadlines[Id];
  Kept = std::max(Kept, Deadline);
  if (Deadlines.size() < NextSearch)
    return;
  std::erase_if(Deadlines,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  // Twice what is left, so that the searches cost a constant time for each id.
  NextSearch = std::max(LeastSearched, 2 * Deadlines.size());
}
