/// \file
/// Requests are distributed among the indexes of a route by their weights.

#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <string>

using namespace masticproxy;

namespace {

/// Number of requests in each span that is compared with the weights.
constexpr int RequestsPerSpan = 200;

/// Maximum difference between an index's share of the requests and its share
/// of the weights.
constexpr double MaxDeviation = 0.1;

route drawRoute() {
  route Route;
  Route.Name = "r";
  int Count = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Count; ++I)
    Route.Indexes.push_back({"index-" + std::to_string(I),
                             static_cast<double>(*rc::gen::inRange(1, 100))});
  return Route;
}

} // namespace

Test(index_selector, shares_of_every_span_are_close_to_the_weights) {
  cr_assert(rc::check([] {
    route Route = drawRoute();
    index_selector Selector(*rc::gen::inRange(1U, 1000U));
    double Total = 0;
    for (const weighted_index &One : Route.Indexes)
      Total += One.Weight;
    int Before = *rc::gen::inRange(0, 50);
    for (int I = 0; I < Before; ++I)
      Selector.next(Route);
    std::map<std::string, int> Counts;
    for (int I = 0; I < RequestsPerSpan; ++I)
      ++Counts[Selector.next(Route)];
    for (const weighted_index &One : Route.Indexes) {
      double Share = static_cast<double>(Counts[One.Index]) / RequestsPerSpan;
      RC_ASSERT(std::abs(Share - One.Weight / Total) <= MaxDeviation);
    }
  }));
}

Test(index_selector, never_selects_an_index_of_weight_zero) {
  route Route;
  Route.Name = "r";
  Route.Indexes = {{"all", 1.0}, {"none", 0.0}};
  index_selector Selector(1);
  for (int I = 0; I < RequestsPerSpan; ++I)
    cr_assert(Selector.next(Route) == "all");
}

Test(index_selector, adapts_to_changed_weights) {
  route Route;
  Route.Name = "r";
  Route.Indexes = {{"a", 1.0}, {"b", 1.0}};
  index_selector Selector(1);
  for (int I = 0; I < RequestsPerSpan; ++I)
    Selector.next(Route);
  Route.Indexes = {{"a", 0.0}, {"b", 1.0}};
  // The remaining credit of the old weights is worth at most one request.
  int SelectedA = 0;
  for (int I = 0; I < RequestsPerSpan; ++I)
    SelectedA += Selector.next(Route) == "a" ? 1 : 0;
  cr_assert(SelectedA <= 1);
}
