// The time until a configuration is active on every node of a large site, under each fault that
// may delay it. The limit is a user requirement: 2.5 s from the acknowledgement.
#include "programs/hollow_delivery.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace banktide {

void PrintTo(DeliveryFault const fault, std::ostream* const out) { *out << to_text(fault); }

namespace {

constexpr double max_activation_ms = 2500;
constexpr std::size_t large_site_routes = 1520;

// The depth of the relay tree and the number of registries are those of the large site; the zones are fewer.
HollowFleetSettings large_site_in_three_zones() {
  HollowFleetSettings settings = large_site(large_site_routes);
  settings.zones = 3;
  settings.nodes = 120;
  settings.backends = 120;
  settings.changing_backends = 120;
  return settings;
}

class Delivery : public testing::TestWithParam<DeliveryFault> {};

}  // namespace

// Guards against CONFIG: an acknowledged configuration was active on some node too late, because nodes that had lost
// their feed requested complete values from every registry, or because relays parsed a value before forwarding it.
TEST_P(Delivery, each_acknowledged_version_is_active_on_every_node_in_time) {
  DeliveryResult const result = measure_delivery(large_site_in_three_zones(), GetParam());
  ASSERT_TRUE(result.formed);
  EXPECT_GT(result.acknowledged, 0u);
  EXPECT_GT(result.activation_times.all.size(), 0u);
  EXPECT_LT(result.activation_times.milliseconds(1), max_activation_ms);
  EXPECT_EQ(result.behind, 0u);
}

INSTANTIATE_TEST_SUITE_P(AtFullSize, Delivery, testing::ValuesIn(delivery_faults),
                         [](auto const& fault) { return std::string(to_text(fault.param)); });

}  // namespace banktide
