#ifndef MASTICPROXY_QUERY_INDEX_CHOICE_H
#define MASTICPROXY_QUERY_INDEX_CHOICE_H

#include <map>
#include <random>
#include <string>
#include <vector>

namespace masticproxy {

struct route;

/// \brief Divides the requests of each route among its indexes by weight.
///
/// A smooth weighted round robin from a random start: any span of requests
/// keeps close to the weights, and VMs that start together do not move in
/// step.
class index_choice {
public:
  /// \p Seed fixes the starts.
  explicit index_choice(unsigned Seed) : Random(Seed) {}

  /// \returns the name of the index for the next request of \p Route; empty
  /// where the route has none.
  std::string next(const route &Route);

private:
  std::vector<double> start(const route &Route);

  std::minstd_rand Random;
  /// What each index of a route is owed, in shares of a request.
  std::map<std::string, std::vector<double>, std::less<>> Turns;
};

} // namespace masticproxy

#endif
