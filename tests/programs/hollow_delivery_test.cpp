// How long configurations take to come into force on a large site, by each way in which one may
// be late. The bound is the users': 2.5 s from the acknowledgement.
#include "programs/hollow_delivery.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace banktide {

void PrintTo(DeliveryTrouble const trouble, std::ostream* const out) { *out << to_text(trouble); }

namespace {

constexpr double in_force_within_ms = 2500;
constexpr std::size_t routes_of_a_large_site = 1520;

// As deep a relay tree and as many registries as the large site has, in fewer zones.
HollowFleetSettings three_zones_of_a_large_site() {
  HollowFleetSettings settings = large_site(routes_of_a_large_site);
  settings.zones = 3;
  settings.nodes = 120;
  settings.backends = 120;
  settings.changing_backends = 120;
  return settings;
}

class Delivery : public testing::TestWithParam<DeliveryTrouble> {};

}  // namespace

// Guards against CONFIG: an acknowledged configuration that wasn't in force on a node in time, as nodes that had lost
// their way to the news asked every registry for whole values, or relays read a value before they passed it on.
TEST_P(Delivery, each_acknowledged_version_is_in_force_on_every_node_in_time) {
  DeliveryFigures const figures = measure_delivery(three_zones_of_a_large_site(), GetParam());
  ASSERT_TRUE(figures.formed);
  EXPECT_GT(figures.acknowledged, 0u);
  EXPECT_GT(figures.to_force.all.size(), 0u);
  EXPECT_LT(figures.to_force.milliseconds(1), in_force_within_ms);
  EXPECT_EQ(figures.behind, 0u);
}

INSTANTIATE_TEST_SUITE_P(AtFullSize, Delivery, testing::ValuesIn(delivery_troubles),
                         [](auto const& trouble) { return std::string(to_text(trouble.param)); });

}  // namespace banktide
