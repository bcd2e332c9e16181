/// \file
/// Requests are divided among the indexes of a route by their weights.

#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <string>

using namespace masticproxy;

namespace {

/// Requests of each span that is compared with the weights.
constexpr int SpanRequests = 200;

/// Farthest that a share may lie from its weight's.
constexpr double MostOff = 0.1;

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

Test(index_choice, keeps_every_span_close_to_the_weights) {
  cr_assert(rc::check([] {
    route Route = drawRoute();
    index_choice Choice(*rc::gen::inRange(1U, 1000U));
    double Total = 0;
    for (const weighted_index &One : Route.Indexes)
      Total += One.Weight;
    int Before = *rc::gen::inRange(0, 50);
    for (int I = 0; I < Before; ++I)
      Choice.next(Route);
    std::map<std::string, int> Counts;
    for (int I = 0; I < SpanRequests; ++I)
      ++Counts[Choice.next(Route)];
    for (const weighted_index &One : Route.Indexes) {
      double Share = static_cast<double>(Counts[One.Index]) / SpanRequests;
      RC_ASSERT(std::abs(Share - One.Weight / Total) <= MostOff);
    }
  }));
}

Test(index_choice, gives_nothing_to_a_weight_of_zero) {
  route Route;
  Route.Name = "r";
  Route.Indexes = {{"all", 1.0}, {"none", 0.0}};
  index_choice Choice(1);
  for (int I = 0; I < SpanRequests; ++I)
    cr_assert(Choice.next(Route) == "all");
}

Test(index_choice, follows_weights_that_change) {
  route Route;
  Route.Name = "r";
  Route.Indexes = {{"a", 1.0}, {"b", 1.0}};
  index_choice Choice(1);
  for (int I = 0; I < SpanRequests; ++I)
    Choice.next(Route);
  Route.Indexes = {{"a", 0.0}, {"b", 1.0}};
  // What one was owed under the old weights is at most one request.
  int ToA = 0;
  for (int I = 0; I < SpanRequests; ++I)
    ToA += Choice.next(Route) == "a" ? 1 : 0;
  cr_assert(ToA <= 1);
}
