/// \file
/// A request is assigned to the route with the longest prefix of its path.

#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace masticproxy;

namespace {

route makeRoute(std::string Host, std::string Prefix) {
  route Route;
  Route.Name = Host + Prefix;
  Route.Host = std::move(Host);
  Route.PathPrefix = std::move(Prefix);
  return Route;
}

/// Reference implementation: checks every route and keeps the match with the
/// longest prefix.
std::string findNaively(const std::vector<route> &Routes,
                        const std::string &Host, const std::string &Path) {
  std::string Found;
  std::size_t Longest = 0;
  for (const route &Route : Routes) {
    bool Matches = Route.Host == Host && Path.starts_with(Route.PathPrefix);
    if (!Matches || Route.PathPrefix.size() < Longest)
      continue;
    Longest = Route.PathPrefix.size();
    Found = Route.Name;
  }
  return Found;
}

std::string drawPath() {
  std::string Path = "/";
  int Segments = *rc::gen::inRange(0, 4);
  for (int I = 0; I < Segments; ++I)
    Path += *rc::gen::element<std::string>("a/", "b/", "ab/");
  return Path;
}

} // namespace

Test(route_table, matches_a_linear_search) {
  cr_assert(rc::check([] {
    route_table Table;
    std::vector<route> Routes;
    int Count = *rc::gen::inRange(0, 12);
    for (int I = 0; I < Count; ++I) {
      Routes.push_back(
          makeRoute(*rc::gen::element<std::string>("x", "y"), drawPath()));
      Table.add(Routes.back());
    }
    std::string Host = *rc::gen::element<std::string>("x", "y", "z");
    std::string Path = drawPath() + "leaf";
    auto Found = Table.find(Host, Path + "?a/b=/x/");
    RC_ASSERT((Found ? Found->Name : "") == findNaively(Routes, Host, Path));
  }));
}

Test(route_table, replaces_a_route_of_the_same_prefix) {
  route_table Table;
  Table.add(makeRoute("x", "/a/"));
  route Newer = makeRoute("x", "/a/");
  Newer.Name = "newer";
  Table.add(Newer);
  cr_assert(Table.size() == 1);
  cr_assert(Table.find("x", "/a/1")->Name == "newer");
}
