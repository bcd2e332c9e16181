#include "masticproxy/src/Query/upstream_table.h"

#include "masticproxy/src/Query/index_map.h"

#include <algorithm>

using namespace masticproxy;

const replica *upstream_table::choose(std::span<const replica> Replicas,
                                      std::span<const std::string> Tried,
                                      time_point Now) const {
  const replica *Best = nullptr;
  unsigned BestLoad = 0;
  for (const replica &Candidate : Replicas) {
    if (std::find(Tried.begin(), Tried.end(), Candidate.Address) != Tried.end())
      continue;
    if (Candidate.DataCentre != DataCentre)
      continue;
    auto Found = States.find(Candidate.Address);
    unsigned Load = 0;
    if (Found != States.end()) {
      if (Now < Found->second.AvoidUntil)
        continue;
      Load = Found->second.InFlight;
    }
    if (Load >= placesAt(Candidate, Now))
      continue;
    if (!Best || Load < BestLoad) {
      Best = &Candidate;
      BestLoad = Load;
    }
  }
  return Best;
}

bool upstream_table::servesBy(std::span<const replica> Replicas,
                              time_point Latest) const {
  return std::any_of(Replicas.begin(), Replicas.end(),
                     [&](const replica &Candidate) {
                       auto Found = States.find(Candidate.Address);
                       bool Avoided = Found != States.end() &&
                                      Latest < Found->second.AvoidUntil;
                       return Candidate.DataCentre == DataCentre && !Avoided;
                     });
}

void upstream_table::attemptStarted(std::string_view Upstream) {
  auto Found = States.try_emplace(std::string(Upstream)).first;
  ++Found->second.InFlight;
}

void upstream_table::attemptEnded(std::string_view Upstream) {
  auto Found = States.find(Upstream);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void upstream_table::avoid(std::string_view Upstream, time_point Until) {
  auto Found = States.try_emplace(std::string(Upstream)).first;
  Found->second.AvoidUntil = Until;
}

unsigned upstream_table::inFlight(std::string_view Upstream) const {
  auto Found = States.find(Upstream);
  return Found == States.end() ? 0 : Found->second.InFlight;
}

unsigned upstream_table::placesAt(const replica &Replica,
                                  time_point Now) const {
  if (!Grant)
    return Replica.Connections;
  return Grant->places(Replica.Address, Replica.Connections, Now);
}
