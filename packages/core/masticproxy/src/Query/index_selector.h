#ifndef MASTICPROXY_QUERY_INDEX_SELECTOR_H
#define MASTICPROXY_QUERY_INDEX_SELECTOR_H

#include <map>
#include <random>
#include <string>
#include <vector>

namespace masticproxy {

struct route;

/// \brief Distributes the requests of each route among its indexes by weight.
///
/// This is a smooth weighted round robin with random initial credits: the
/// shares of any span of requests are close to the weights, and VMs that start
/// at the same time don't select the same indexes in step.
class index_selector {
public:
  /// \p Seed determines the initial credits.
  explicit index_selector(unsigned Seed) : Random(Seed) {}

  /// \returns the name of the index for the next request of \p Route; empty
  /// if the route has no index.
  std::string next(const route &Route);

private:
  std::vector<double> initialCredits(const route &Route);

  std::minstd_rand Random;
  /// The credits of each route's indexes, by the name of the route. A credit
  /// is in the unit of the weights; the index with the highest one is next.
  std::map<std::string, std::vector<double>, std::less<>> CreditsOfRoutes;
};

} // namespace masticproxy

#endif
