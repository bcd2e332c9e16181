#include "masticproxy/src/Query/index_selector.h"

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

std::string index_selector::next(const route &Route) {
  if (Route.Indexes.empty())
    return {};
  if (Route.Indexes.size() == 1)
    return Route.Indexes.front().Index;
  auto Found = CreditsOfRoutes.find(Route.Name);
  if (Found == CreditsOfRoutes.end())
    Found = CreditsOfRoutes.emplace(Route.Name, initialCredits(Route)).first;
  std::vector<double> &Credits = Found->second;
  if (Credits.size() != Route.Indexes.size())
    Credits = initialCredits(Route);
  for (std::size_t I = 0; I < Credits.size(); ++I)
    Credits[I] += Route.Indexes[I].Weight;
  auto Highest = std::max_element(Credits.begin(), Credits.end());
  *Highest -= totalWeight(Route);
  return Route.Indexes[static_cast<std::size_t>(Highest - Credits.begin())]
      .Index;
}

std::vector<double> index_selector::initialCredits(const route &Route) {
  std::vector<double> Credits;
  for (const weighted_index &One : Route.Indexes) {
    std::uniform_real_distribution<double> Share(0, std::max(One.Weight, 0.0));
    Credits.push_back(Share(Random));
  }
  return Credits;
}
