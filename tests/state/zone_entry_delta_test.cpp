// Deltas of zone entries: applying one gives the same entry as sending it whole.
#include "state/zone_entry_delta.hpp"

#include "protocol/message.hpp"
#include "state/zone_view.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

/// Makes an entry as a feed does: gateways sorted by id, offers by service and node.
ZoneEntry random_entry(std::mt19937& random, std::uint32_t const gateways) {
  ZoneEntry entry;
  entry.zone = "east";
  std::map<std::pair<std::string, std::string>, ServiceOffer> offers;
  for (std::uint32_t i = 0; i < gateways; ++i) {
    if (random() % 5 == 0) continue;
    std::string const id = "node-" + std::to_string(100 + i);
    std::string const address = "10.0.0." + std::to_string(i) + (random() % 20 == 0 ? ":8" : ":7");
    entry.gateways.push_back(Member{id, "east", address, Role::gateway, random() % 10 == 0 ? 2u : 1u, Liveness::alive});
    std::string const service = "service-" + std::to_string(i % 3);
    offers[{service, id}] = ServiceOffer{
        service, id, address, 8, static_cast<std::uint32_t>(random() % 8), static_cast<std::uint32_t>(random() % 3)};
  }
  for (auto const& [key, offer] : offers) {
    if (entry.service_names.empty() || entry.service_names.back() != offer.service)
      entry.service_names.push_back(offer.service);
    entry.services.push_back(offer);
  }
  return entry;
}

}  // namespace

TEST(ZoneEntryDelta, turns_any_entry_into_any_other) {
  std::mt19937 random(5);
  ZoneEntry before;
  before.zone = "east";
  for (int round = 0; round < 2000; ++round) {
    ZoneEntry const after = random_entry(random, random() % 12);
    std::optional<ZoneEntryDelta> const delta = make_entry_delta(before, after);
    ASSERT_TRUE(delta);
    ZoneEntry reached = before;
    apply_entry_delta(reached, *delta);
    ASSERT_EQ(reached, after);
    before = after;
  }
}

// Guards against CONFIG: whole entries of other zones saturated the links that configurations are sent on.
TEST(ZoneEntryDelta, the_loads_of_a_large_zone_take_a_fiftieth_of_its_entry) {
  ZoneEntry before;
  before.zone = "jhb-a";
  for (int i = 0; i < 48; ++i) {
    std::string const node = "adjunct-jhb-a-" + std::to_string(10 + i);
    before.gateways.push_back(Member{node, "jhb-a", "10.1.0.20:7120", Role::gateway, 1, Liveness::alive});
    before.services.push_back(ServiceOffer{"huvo11a", node, "10.1.0.20:7120", 8, 3, 0});
  }
  before.service_names = {"huvo11a"};
  ZoneEntry after = before;
  for (std::size_t i = 0; i < 5; ++i) after.services[9 * i].running = 4;
  Change whole, changed;
  whole.zone_entry = after;
  changed.entry_delta = make_entry_delta(before, after);
  ASSERT_TRUE(changed.entry_delta);
  EXPECT_LT(50 * pack(changed).size(), pack(whole).size());
}

TEST(ZoneEntryDelta, no_delta_is_made_of_an_unsorted_entry) {
  ZoneEntry before, after;
  after.services = {ServiceOffer{"b", "n", "", 1, 0, 0}, ServiceOffer{"a", "n", "", 1, 0, 0}};
  EXPECT_FALSE(make_entry_delta(before, after));
}

TEST(ZoneEntryDelta, a_view_applies_it_and_ignores_zones_that_it_does_not_know) {
  std::mt19937 random(7);
  ZoneEntry const before = random_entry(random, 9), after = random_entry(random, 9);
  ZoneView view;
  Change change;
  change.entry_delta = make_entry_delta(before, after);
  view.apply(change);
  EXPECT_TRUE(view.zones.empty());
  Change whole;
  whole.zone_entry = before;
  view.apply(whole);
  view.apply(change);
  EXPECT_EQ(view.zones.at("east"), after);
}

}  // namespace banktide
