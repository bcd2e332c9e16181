#include "masticproxy/src/Ctl/event_filter.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/vm_event.h"

#include <algorithm>

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

/// Requests of a profile that are known at a time, for `--follow` that runs
/// for days; more than VMs keep events of.
constexpr std::size_t MostRequests = 200000;

bool fits(const std::string &Wanted, const std::string &Value) {
  return Wanted.empty() || Wanted == Value;
}

} // namespace

event_filter::event_filter(const ctl_options &Options, microseconds Now)
    : Wanted(Options.Timeline), RequestId(Options.RequestId),
      Profile(Options.Profile), Since(microseconds::min()),
      Until(microseconds::max()) {
  if (!Wanted.Since.empty())
    Since = instantOf("--since", Wanted.Since, Now);
  if (!Wanted.Until.empty())
    Until = instantOf("--until", Wanted.Until, Now);
  if (Since > Until)
    throw ctl_error(ctl_exit::Usage, "--since is later than --until");
}

void event_filter::learn(const vm_event &Event) {
  if (Profile.empty() || Event.Facts.Profile != Profile)
    return;
  if (!OfProfile.insert(Event.RequestId).second)
    return;
  Ids.push_back(Event.RequestId);
  if (Ids.size() > MostRequests) {
    OfProfile.erase(Ids.front());
    Ids.pop_front();
  }
}

bool event_filter::matches(const vm_event &Event) const {
  const std::vector<std::string> &Kinds = Wanted.Kinds;
  bool KindFits = Kinds.empty() || std::find(Kinds.begin(), Kinds.end(),
                                             Event.Kind) != Kinds.end();
  // Only its arrival names a request's profile; the rest goes by the id.
  bool ProfileFits = Profile.empty() || OfProfile.contains(Event.RequestId);
  return KindFits && ProfileFits && inTime(Event) &&
         fits(RequestId, Event.RequestId) && fits(Wanted.VmName, Event.Vm) &&
         fits(Wanted.Upstream, Event.Facts.Upstream);
}

bool event_filter::inTime(const vm_event &Event) const {
  microseconds At(Event.At.Microseconds);
  return Since <= At && At <= Until;
}
