#include "masticproxy/src/Cluster/connection_grant.h"

#include "masticproxy/src/Cluster/rendezvous.h"

using namespace masticproxy;

unsigned connection_grant::places(std::string_view Upstream, unsigned Limit,
                                  time_point Now) const {
  if (!Settled || Now >= ValidUntil)
    return 0;
  auto Sharers = static_cast<unsigned>(Others.size()) + 1;
  if (Limit >= Sharers)
    return Limit / Sharers;
  // Fewer connections than VMs: the first ones by hash hold one each. A VM
  // that counts more others than there are only ranks itself lower.
  std::uint64_t Own = rendezvousWeight(Upstream, Self);
  unsigned Before = 0;
  for (const std::string &Other : Others)
    Before += rendezvousWeight(Upstream, Other) > Own ? 1 : 0;
  return Before < Limit ? 1 : 0;
}
