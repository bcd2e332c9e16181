#include "masticproxy/src/Cluster/link_choice.h"

#include "masticproxy/src/Cluster/rendezvous.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

using namespace masticproxy;

std::vector<member_info>
masticproxy::chooseLinks(std::string_view DataCentre,
                         std::span<const member_info> Remotes,
                         std::uint64_t Round) {
  std::string Key = std::string(DataCentre) + '/' + std::to_string(Round);
  std::map<std::string, std::vector<std::pair<std::uint64_t, member_info>>>
      ByDataCentre;
  for (const member_info &Vm : Remotes)
    ByDataCentre[Vm.DataCentre].emplace_back(rendezvousWeight(Key, Vm.Name),
                                             Vm);
  std::vector<member_info> Chosen;
  for (auto &[Name, Ranked] : ByDataCentre) {
    std::sort(Ranked.begin(), Ranked.end(),
              [](const auto &A, const auto &B) { return A.first > B.first; });
    std::size_t Count =
        std::min<std::size_t>(Ranked.size(), LinksToEachDataCentre);
    for (std::size_t I = 0; I < Count; ++I)
      Chosen.push_back(Ranked[I].second);
  }
  return Chosen;
}
