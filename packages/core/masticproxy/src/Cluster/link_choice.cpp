#include "masticproxy/src/Cluster/link_choice.h"

#include "masticproxy/src/Cluster/rendezvous.h"

#include <algorithm>

using namespace masticproxy;

void link_choice::onListed(std::span<const member_info> Listed) {
  Vms.clear();
  for (const member_info &Vm : Listed)
    onHeard(Vm);
}

void link_choice::onHeard(const member_info &Vm) {
  if (Vm.DataCentre != DataCentre)
    Vms[Vm.Name] = Vm;
}

std::vector<member_info> link_choice::targets(std::uint64_t Round) const {
  std::string Key = DataCentre + '/' + std::to_string(Round);
  std::map<std::string, std::vector<std::pair<std::uint64_t, member_info>>>
      ByDataCentre;
  for (const auto &[Name, Vm] : Vms)
    ByDataCentre[Vm.DataCentre].emplace_back(rendezvousWeight(Key, Name), Vm);
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
