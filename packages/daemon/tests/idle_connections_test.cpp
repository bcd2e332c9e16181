/// \file
/// Connections that wait for their next use.

#include "masticproxy/Net"
#include "masticproxy/src/Daemon/idle_connections.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::seconds;

namespace {

struct idle_fixture {
  idle_connections::connection make() {
    return std::make_shared<http_connection>(Context, "127.0.0.1:1");
  }

  boost::asio::io_context Context;
  idle_connections Idle;
  time_point Start{seconds(100)};
};

} // namespace

Test(idle_connections, hands_out_the_one_used_last) {
  idle_fixture F;
  auto Older = F.make();
  auto Newer = F.make();
  F.Idle.keep(Older, F.Start);
  F.Idle.keep(Newer, F.Start + seconds(1));
  cr_assert(F.Idle.take() == Newer);
  cr_assert(F.Idle.take() == Older);
  cr_assert(F.Idle.empty());
}

// More VMs than an upstream takes connections: each keeps what it uses, so that
// those of a short burst make room again.
Test(idle_connections, closes_what_a_burst_left_unused) {
  idle_fixture F;
  auto Used = F.make();
  for (int I = 0; I < 2; ++I)
    F.Idle.keep(F.make(), F.Start);
  F.Idle.keep(Used, F.Start + seconds(6));
  cr_assert(F.Idle.closeUnusedSince(F.Start + seconds(1)) == 2);
  cr_assert(F.Idle.size() == 1 && F.Idle.take() == Used);
}
