#include "masticproxy/src/Daemon/node_status.h"

#include <nlohmann/json.hpp>

using namespace masticproxy;

namespace {

std::string_view stateName(member_state State) {
  switch (State) {
  case member_state::Alive:
    return "alive";
  case member_state::Suspect:
    return "suspect";
  case member_state::Leaving:
    return "leaving";
  case member_state::Dead:
    return "dead";
  }
  return "unknown";
}

nlohmann::json memberJson(const member_info &Member) {
  return {{"name", Member.Name},
          {"data_centre", Member.DataCentre},
          {"peer_address", Member.PeerAddress},
          {"incarnation", Member.Incarnation},
          {"state", stateName(Member.State)}};
}

nlohmann::json objectJson(const object_in_force &Object) {
  return {{"kind", Object.Kind},
          {"name", Object.Name},
          {"version", Object.Version},
          {"in_force_since_us", Object.Since.count()},
          {"rejected", Object.Rejected}};
}

} // namespace

std::string masticproxy::toJson(const node_status &Status) {
  nlohmann::json Peers = nlohmann::json::array();
  for (const member_info &Peer : Status.Peers)
    Peers.push_back(memberJson(Peer));
  nlohmann::json Objects = nlohmann::json::array();
  for (const object_in_force &Object : Status.Objects)
    Objects.push_back(objectJson(Object));
  nlohmann::json Root = {
      {"self", memberJson(Status.Self)},
      {"peers", Peers},
      {"configuration_revision", Status.ConfigurationRevision},
      {"platform_reachable", Status.PlatformReachable},
      {"watching", Status.Watching},
      {"platform_behind", Status.PlatformBehind},
      {"shares_settled", Status.SharesSettled},
      {"sharers", Status.Sharers},
      {"objects", Objects}};
  return Root.dump() + "\n";
}
