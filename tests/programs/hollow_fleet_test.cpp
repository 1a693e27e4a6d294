// A small hollow fleet forms, applies configurations and survives the loss of a zone
// and of a region's links. The tests check counts, not real time.
#include "coordination/feed_timing.hpp"
#include "programs/hollow_fleet.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

constexpr Duration event_timeout = 60s;
constexpr Duration zone_removal_timeout = 120s;

HollowFleetSettings three_regions(std::size_t const nodes) {
  HollowFleetSettings s;
  s.nodes = nodes;
  s.backends = nodes;
  s.zones = 3;
  s.regions = 3;
  s.controls = 3;
  s.services = 40;
  s.seed = 7;
  return s;
}

HollowMeasurement find(HollowMeasurements const& all, std::string const& role, std::string const& metric) {
  for (HollowMeasurement const& m : all)
    if (m.role == role && m.metric == metric) return m;
  return {};
}

}  // namespace

TEST(HollowFleet, two_hundred_nodes_form_and_activate_each_acknowledged_version) {
  HollowFleet fleet(three_regions(200));
  ASSERT_TRUE(fleet.form(event_timeout));
  EXPECT_EQ(fleet.ready_nodes(), 200u);
  EXPECT_EQ(fleet.running_backends(), 200u);
  EXPECT_EQ(fleet.nodes_with_other_endpoints(200), 0u);
  EXPECT_EQ(fleet.voters(), 3u);
  fleet.reset_meters();
  std::size_t const acknowledged = fleet.acknowledged(), refused = fleet.refused();
  for (std::size_t const control : {0u, 1u, 2u}) {
    fleet.write_next(control);
    fleet.run_for(1s);
  }
  EXPECT_EQ(fleet.acknowledged(), acknowledged + 3);
  EXPECT_EQ(fleet.refused(), refused);
  EXPECT_TRUE(fleet.formed());
  EXPECT_EQ(fleet.times_to_acknowledge().all.size(), 3u);
  EXPECT_EQ(fleet.times_to_activation().all.size(), 3u * 200u);
}

// Guards against readers that wrote back each value without agreement: they kept each other,
// and every change, from getting a majority.
TEST(HollowFleet, many_distant_voters_accept_every_change_and_readers_write_nothing) {
  for (std::size_t const voters : {5u, 7u, 9u}) {
    HollowFleetSettings settings = three_regions(18);
    settings.controls = voters;
    settings.delays.between_regions = 20ms;
    HollowFleet fleet(settings);
    ASSERT_TRUE(fleet.form(event_timeout)) << voters;
    EXPECT_EQ(fleet.voters(), voters);
    std::size_t const acknowledged = fleet.acknowledged();
    for (int i = 0; i < 10; ++i) {
      fleet.write_next(0);
      fleet.run_for(1s);
    }
    EXPECT_EQ(fleet.acknowledged(), acknowledged + 10) << voters;
    fleet.reset_meters();
    fleet.run_for(10s);
    EXPECT_EQ(find(fleet.measurements(), "store", "received_prepare_messages").highest, 0) << voters;
  }
}

TEST(HollowFleet, an_idle_node_gets_each_pulse_once_and_three_nodes_send_heartbeats) {
  HollowFleet fleet(three_regions(60));
  ASSERT_TRUE(fleet.form(event_timeout));
  fleet.run_for(5s);
  fleet.reset_meters();
  fleet.run_for(30s);
  HollowMeasurements const all = fleet.measurements();
  FeedTiming const timing;
  double const pulses = std::chrono::duration<double>(1s) / timing.pulse_every;
  double const heartbeats = 3 * (std::chrono::duration<double>(1s) / timing.heartbeat_every);
  EXPECT_NEAR(find(all, "proxy", "received_news_messages").mean, pulses, 0.1);
  EXPECT_NEAR(find(all, "proxy", "received_news_messages").highest, pulses, 0.2);
  EXPECT_NEAR(find(all, "proxy", "sent_beat_messages").mean, heartbeats, 0.2);
  EXPECT_EQ(find(all, "store", "disk_writes").highest, 0);
}

TEST(HollowFleet, the_same_seed_sends_the_same_messages) {
  std::vector<double> bytes;
  for (int run = 0; run < 2; ++run) {
    HollowFleet fleet(three_regions(30));
    ASSERT_TRUE(fleet.form(event_timeout));
    fleet.run_for(10s);
    HollowMeasurements const all = fleet.measurements();
    for (std::string const role : {"proxy", "registry", "store"}) bytes.push_back(find(all, role, "sent_bytes").mean);
  }
  EXPECT_EQ(std::vector<double>(bytes.begin(), bytes.begin() + 3), std::vector<double>(bytes.begin() + 3, bytes.end()));
}

TEST(HollowFleet, keys_are_spread_over_backends_of_keyed_services) {
  HollowFleetSettings settings = three_regions(24);
  settings.services = 6;
  settings.keyed_services = 2;
  HollowFleet fleet(settings);
  ASSERT_TRUE(fleet.form(event_timeout));
  std::size_t const keyed_backends = 8;
  EXPECT_TRUE(fleet.run_until([&] { return fleet.rows_held() >= keyed_backends; }, event_timeout));
}

TEST(HollowFleet, a_lost_zone_is_removed_and_comes_back) {
  HollowFleet fleet(three_regions(30));
  ASSERT_TRUE(fleet.form(event_timeout));
  fleet.lose_zone(2);
  EXPECT_EQ(fleet.running_backends(), 20u);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.nodes_with_other_endpoints(20) == 0; }, zone_removal_timeout));
  fleet.restore_zone(2);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.formed(); }, event_timeout));
  EXPECT_EQ(fleet.ready_nodes(), 30u);
}

TEST(HollowFleet, a_region_cut_off_keeps_serving_but_acknowledges_nothing) {
  HollowFleet fleet(three_regions(30));
  ASSERT_TRUE(fleet.form(event_timeout));
  fleet.cut_region(0);
  fleet.run_for(5s);
  std::size_t const before = fleet.acknowledged();
  fleet.write_next(0);
  fleet.run_for(5s);
  EXPECT_EQ(fleet.acknowledged(), before);
  fleet.write_next(1);
  fleet.run_for(5s);
  EXPECT_EQ(fleet.acknowledged(), before + 1);
  EXPECT_EQ(fleet.ready_nodes(), 30u);
  fleet.heal();
  EXPECT_TRUE(fleet.run_until([&] { return fleet.formed(); }, event_timeout));
}

TEST(HollowFleet, a_restarted_node_is_back_in_every_view) {
  HollowFleet fleet(three_regions(30));
  ASSERT_TRUE(fleet.form(event_timeout));
  fleet.restart_node(5, 1s);
  EXPECT_EQ(fleet.running_backends(), 29u);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.running_backends() == 30 && fleet.formed(); }, event_timeout));
}

}  // namespace banktide
