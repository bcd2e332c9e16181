#include "masticproxy/src/Query/route_table.h"

#include <algorithm>

using namespace masticproxy;

void route_table::add(route Route) {
  route_list &Routes = Hosts[Route.Host];
  std::erase_if(Routes, [&](const auto &Other) {
    return Other->PathPrefix == Route.PathPrefix;
  });
  auto Shorter =
      std::find_if(Routes.begin(), Routes.end(), [&](const auto &Other) {
        return Other->PathPrefix.size() < Route.PathPrefix.size();
      });
  Routes.insert(Shorter, std::make_shared<const route>(std::move(Route)));
}

std::shared_ptr<const route> route_table::find(std::string_view Host,
                                               std::string_view Target) const {
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  for (const auto &Route : Found->second)
    if (Path.starts_with(Route->PathPrefix))
      return Route;
  return nullptr;
}

std::size_t route_table::size() const {
  std::size_t Count = 0;
  for (const auto &[Host, Routes] : Hosts)
    Count += Routes.size();
  return Count;
}
