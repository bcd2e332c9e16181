#include "masticproxy/src/Query/index_choice.h"

#include "masticproxy/src/Query/route.h"

#include <algorithm>

using namespace masticproxy;

namespace {

double totalWeight(const route &Route) {
  double Total = 0;
  for (const weighted_index &One : Route.Indexes)
    Total += One.Weight;
  return Total;
}

} // namespace

std::string index_choice::next(const route &Route) {
  if (Route.Indexes.empty())
    return {};
  if (Route.Indexes.size() == 1)
    return Route.Indexes.front().Index;
  auto Found = Turns.find(Route.Name);
  if (Found == Turns.end())
    Found = Turns.emplace(Route.Name, start(Route)).first;
  std::vector<double> &Owed = Found->second;
  if (Owed.size() != Route.Indexes.size())
    Owed = start(Route);
  for (std::size_t I = 0; I < Owed.size(); ++I)
    Owed[I] += Route.Indexes[I].Weight;
  auto Most = std::max_element(Owed.begin(), Owed.end());
  *Most -= totalWeight(Route);
  return Route.Indexes[static_cast<std::size_t>(Most - Owed.begin())].Index;
}

std::vector<double> index_choice::start(const route &Route) {
  std::vector<double> Owed;
  for (const weighted_index &One : Route.Indexes) {
    std::uniform_real_distribution<double> Share(0, std::max(One.Weight, 0.0));
    Owed.push_back(Share(Random));
  }
  return Owed;
}
