#include "masticproxy/src/Net/hybrid_clock.h"

#include <algorithm>

using namespace masticproxy;

hybrid_time hybrid_clock::tick() { return receive(hybrid_time{}); }

hybrid_time hybrid_clock::receive(hybrid_time Remote) {
  hybrid_time Wall{Clock.wallTime().count(), 0};
  std::lock_guard<std::mutex> Lock(Mutex);
  hybrid_time Newest = std::max(Last, Remote);
  if (Wall.Microseconds > Newest.Microseconds)
    Last = Wall;
  else
    Last = {Newest.Microseconds, Newest.Counter + 1};
  return Last;
}
