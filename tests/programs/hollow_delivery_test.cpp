// The time until a configuration is active on every node of a large site, under each fault that
// may delay it. The limit is a user requirement: 2.5 s from the acknowledgement.
#include "programs/hollow_delivery.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace banktide {

void PrintTo(DeliveryTrouble const trouble, std::ostream* const out) { *out << to_text(trouble); }

namespace {

constexpr double in_force_within_ms = 2500;
constexpr std::size_t routes_of_a_large_site = 1520;

// The depth of the relay tree and the number of registries are those of the large site; the zones are fewer.
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

// Guards against CONFIG: an acknowledged configuration was active on some node too late, because nodes that had lost
// their feed requested complete values from every registry, or because relays parsed a value before forwarding it.
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
