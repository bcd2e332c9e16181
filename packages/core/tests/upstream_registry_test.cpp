/// \file
/// Which registered upstreams are taken to exist, and which catalogue follows.

#include "manual_clock.h"
#include "masticproxy/Discovery"
#include "masticproxy/Query"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Time that a live upstream needs to register again after an outage of the
/// platform, as the platform states it.
constexpr milliseconds RegistersAgainWithin{2000};

/// Time after a lapse in which no work may start at an upstream any more.
constexpr milliseconds GoneBound{3000};

/// Interval at which control looks for upstreams whose time is over.
constexpr milliseconds LookInterval{200};

/// Longest time until the news of a lapse arrives: the pause after other news,
/// and a call.
constexpr milliseconds TellTime{300};

upstream_entry entry(std::string Instance, std::string Address,
                     std::string Shard = "s") {
  upstream_entry Entry;
  Entry.Instance = std::move(Instance);
  Entry.Address = std::move(Address);
  Entry.Shard = std::move(Shard);
  Entry.DataCentre = "dc1";
  Entry.Slots = 3;
  return Entry;
}

std::shared_ptr<const routing_configuration> version(std::uint64_t Number) {
  auto Configuration = std::make_shared<routing_configuration>();
  Configuration->Version = Number;
  Configuration->Services = {{"s", "/health", 10}, {"t", "/health", 10}};
  Configuration->Indexes = {{"i", {"s", "t"}}};
  route Route;
  Route.Name = "r";
  Route.Host = "h";
  Route.PathPrefix = "/" + std::to_string(Number) + "/";
  Configuration->Routes = {Route};
  return Configuration;
}

std::vector<std::string> addressesOf(const query_catalogue &Catalogue,
                                     const std::string &Shard) {
  std::vector<std::string> Addresses;
  for (const replica &Replica : Catalogue.replicasOf({Shard, {}}))
    Addresses.push_back(Replica.Address);
  return Addresses;
}

using addresses = std::vector<std::string>;

/// A directory with a configuration and upstreams a and b of one shard.
struct directory_fixture {
  directory_fixture() {
    Directory.note(configuration_read{version(1)});
    Directory.note(upstreams_listed{{entry("a", "1:1"), entry("b", "2:2")}});
    Newest = Directory.takeChanged();
  }

  addresses take(discovery_event Event) {
    Directory.note(std::move(Event));
    if (auto Next = Directory.takeChanged())
      Newest = Next;
    return addressesOf(*Newest, "s");
  }

  addresses wait(milliseconds Span) {
    for (milliseconds Past{0}; Past < Span; Past += LookInterval) {
      Clock.advance(LookInterval);
      if (auto Next = Directory.takeChanged())
        Newest = Next;
    }
    return addressesOf(*Newest, "s");
  }

  manual_clock Clock;
  routing_directory Directory{Clock};
  std::shared_ptr<const query_catalogue> Newest;
};

} // namespace

Test(directory, is_complete_with_configuration_and_upstreams) {
  manual_clock Clock;
  routing_directory Directory(Clock);
  Directory.note(configuration_read{version(1)});
  cr_assert(Directory.takeChanged() == nullptr);
  cr_assert(not Directory.complete());
  Directory.note(upstreams_listed{});
  cr_assert(Directory.takeChanged() != nullptr);
  cr_assert(Directory.complete());
}

// All upstreams of a site register at once: one catalogue, not one for each.
Test(directory, makes_one_catalogue_of_many_changes) {
  directory_fixture F;
  for (int I = 0; I < 40; ++I)
    F.Directory.note(upstream_registered{
        entry("c" + std::to_string(I), "3:" + std::to_string(I))});
  auto Next = F.Directory.takeChanged();
  cr_assert(Next && addressesOf(*Next, "s").size() == 42);
  cr_assert(F.Directory.takeChanged() == nullptr);
}

Test(directory, never_goes_back_to_an_older_configuration) {
  directory_fixture F;
  F.take(configuration_read{version(7)});
  F.take(configuration_read{version(5)});
  F.take(configuration_read{version(7)});
  cr_assert(F.Directory.version() == 7U);
  cr_assert(F.Newest->findRoute("h", "/7/x") != nullptr);
  cr_assert(F.Newest->findRoute("h", "/5/x") == nullptr);
}

Test(directory, leaves_out_an_upstream_that_drains) {
  directory_fixture F;
  upstream_entry Draining = entry("a", "1:1");
  Draining.Draining = true;
  cr_assert(F.take(upstream_registered{Draining}) == addresses{"2:2"});
  cr_assert(F.take(upstream_lapsed{"a"}) == addresses{"2:2"});
}

Test(directory, avoids_a_lapsed_upstream_while_another_is_registered) {
  directory_fixture F;
  cr_assert(F.take(upstream_lapsed{"a"}) == addresses{"2:2"});
}

// Registrations that lapse while the platform is away.
Test(directory, keeps_a_shard_whose_registrations_lapse_together) {
  directory_fixture F;
  F.take(upstream_lapsed{"a"});
  addresses Both{"1:1", "2:2"};
  cr_assert(F.take(upstream_lapsed{"b"}) == Both);
  cr_assert(F.wait(RegistersAgainWithin) == Both);
  cr_assert(F.take(upstream_registered{entry("a", "1:1")}) == addresses{"1:1"});
}

Test(directory, drops_what_lapsed_before_it_must_get_no_work) {
  directory_fixture F;
  F.take(upstream_lapsed{"a"});
  F.take(upstream_lapsed{"b"});
  cr_assert(F.wait(GoneBound - TellTime - LookInterval).empty());
}

Test(directory, takes_a_complete_list_for_lapses_too) {
  directory_fixture F;
  cr_assert(F.take(upstreams_listed{{entry("c", "3:3")}}) == addresses{"3:3"});
  cr_assert(F.wait(GoneBound) == addresses{"3:3"});
}

Test(directory, follows_an_identity_that_starts_again_elsewhere) {
  directory_fixture F;
  addresses Expected{"9:9", "2:2"};
  cr_assert(F.take(upstream_registered{entry("a", "9:9")}) == Expected);
}

// Guards against: an upstream that left while the platform was out of reach is
// used for longer, as its lapse is dated to when the VM heard of it.
Test(directory, counts_a_lapse_from_the_outage_in_which_it_came) {
  constexpr milliseconds HeardAfter{2500};
  directory_fixture F;
  time_point Failed = F.Clock.now();
  F.Clock.advance(HeardAfter);
  cr_assert(not F.take(upstreams_listed{{}, Failed}).empty());
  // The bounds hold again 4 s after the outage at the latest.
  cr_assert(F.wait(milliseconds(4000) - HeardAfter - LookInterval).empty());
}

Test(directory, drops_at_once_what_lapsed_in_an_outage_long_ago) {
  directory_fixture F;
  time_point Failed = F.Clock.now();
  F.Clock.advance(std::chrono::seconds(5));
  cr_assert(F.take(upstreams_listed{{}, Failed}).empty());
}

// Guards against: after an outage a configuration is in force before the
// upstreams that it names are known, so that its requests are refused.
Test(directory, a_configuration_waits_for_registrations_that_are_outdated) {
  directory_fixture F;
  F.take(registrations_outdated{});
  F.take(configuration_read{version(2)});
  cr_assert(F.Directory.version() == 1U);
  F.take(configuration_read{version(4)});
  F.take(configuration_read{version(3)});
  F.take(upstreams_listed{{entry("c", "3:3")}});
  cr_assert(F.Directory.version() == 4U);
  cr_assert(addressesOf(*F.Newest, "s") == addresses{"3:3"});
  F.take(configuration_read{version(5)});
  cr_assert(F.Directory.version() == 5U);
}

Test(directory, a_configuration_does_not_wait_for_long) {
  directory_fixture F;
  F.take(registrations_outdated{});
  F.take(configuration_read{version(2)});
  F.wait(milliseconds(1000));
  cr_assert(F.Directory.version() == 2U);
  cr_assert(F.Newest->findRoute("h", "/2/x") != nullptr);
}

Test(directory, the_first_configuration_waits_for_nothing_but_the_first_list) {
  manual_clock Clock;
  routing_directory Directory(Clock);
  Directory.note(registrations_outdated{});
  Directory.note(configuration_read{version(1)});
  Directory.note(upstreams_listed{});
  cr_assert(Directory.takeChanged() != nullptr);
}
