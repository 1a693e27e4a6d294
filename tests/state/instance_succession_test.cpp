// InstanceSuccession by itself: which instance is the current one after heartbeats in any order.
#include "state/instance_succession.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

struct SuccessionTrial {
  HeartbeatVerdict hear(std::string const& id) { return succession.on_heartbeat(now, id, ++sequence); }
  Instant now = Instant{} + 1000s;
  std::uint64_t sequence = 0;
  InstanceSuccession succession;
};

TEST(InstanceSuccession, a_second_heartbeat_replaces_a_current_instance_that_sent_none_meanwhile) {
  SuccessionTrial t;
  EXPECT_EQ(t.hear("i-1"), HeartbeatVerdict::replaces);
  EXPECT_EQ(t.hear("i-2"), HeartbeatVerdict::contends);
  t.now += 1s;
  EXPECT_EQ(t.hear("i-1"), HeartbeatVerdict::current);
  EXPECT_EQ(t.hear("i-2"), HeartbeatVerdict::contends) << "the current one has sent one since";
  t.now += 1s;
  EXPECT_EQ(t.hear("i-2"), HeartbeatVerdict::replaces);
  EXPECT_EQ(t.succession.current(), "i-2");
}

TEST(InstanceSuccession, heartbeats_of_another_former_instance_in_between_do_not_delay_the_living_one) {
  SuccessionTrial t;
  t.hear("i-1");
  t.now += 1s;
  EXPECT_EQ(t.hear("i-3"), HeartbeatVerdict::contends);
  EXPECT_EQ(t.hear("i-2"), HeartbeatVerdict::contends);
  t.now += 1s;
  EXPECT_EQ(t.hear("i-3"), HeartbeatVerdict::replaces);
}

TEST(InstanceSuccession, an_overdue_or_unreachable_instance_is_replaced_by_the_first_heartbeat) {
  SuccessionTrial overdue;
  overdue.hear("i-1");
  overdue.now += SuccessionSettings{}.overdue_without_reply + 1ms;
  EXPECT_EQ(overdue.hear("i-2"), HeartbeatVerdict::replaces);
  SuccessionTrial unreachable;
  unreachable.hear("i-1");
  unreachable.succession.on_unreachable();
  EXPECT_EQ(unreachable.hear("i-2"), HeartbeatVerdict::replaces);
}

TEST(InstanceSuccession, an_instance_is_overdue_when_the_heartbeat_after_a_reply_is_late) {
  SuccessionSettings const settings;
  for (bool const releases_keys : {false, true})
    for (Duration const lateness : {settings.max_lateness, settings.max_lateness + 1ms}) {
      SuccessionTrial t;
      t.hear("i-1");
      t.now += 850ms;
      t.succession.on_replied(t.now, "i-1", releases_keys);
      t.now += (releases_keys ? settings.interval_after_release : settings.heartbeat_interval) + lateness;
      HeartbeatVerdict const expected =
          lateness > settings.max_lateness ? HeartbeatVerdict::replaces : HeartbeatVerdict::contends;
      EXPECT_EQ(t.hear("i-2"), expected) << releases_keys << " " << as_ms(lateness);
    }
}

TEST(InstanceSuccession, a_reply_to_an_instance_that_is_not_known_changes_nothing) {
  SuccessionTrial t;
  t.hear("i-1");
  t.succession.on_replied(t.now, "i-2", true);
  EXPECT_FALSE(t.succession.knows("i-2"));
  t.now += 2900ms;
  EXPECT_EQ(t.hear("i-3"), HeartbeatVerdict::contends);
}

TEST(InstanceSuccession, older_heartbeats_and_those_of_ended_instances_are_ignored) {
  SuccessionTrial t;
  t.hear("i-1");
  EXPECT_EQ(t.succession.on_heartbeat(t.now, "i-1", 0), HeartbeatVerdict::ignored);
  t.succession.on_ended("i-1");
  EXPECT_EQ(t.succession.current(), "");
  EXPECT_EQ(t.hear("i-1"), HeartbeatVerdict::ignored);
  EXPECT_EQ(t.hear("i-2"), HeartbeatVerdict::replaces);
}

TEST(InstanceSuccession, remembers_since_when_an_instance_leaves_while_another_is_current) {
  SuccessionTrial t;
  t.hear("i-1");
  Instant const since = t.succession.leaving_since("i-1", t.now);
  t.now += 4s;
  t.hear("i-2");
  EXPECT_FALSE(t.succession.known_leaving_since("i-2"));
  t.now += 4s;
  t.hear("i-1");
  EXPECT_EQ(t.succession.leaving_since("i-1", t.now), since);
}

TEST(InstanceSuccession, stays_small_over_thousands_of_instances_and_keeps_the_current_one) {
  SuccessionTrial t;
  t.hear("i-current");
  for (int i = 0; i < 5000; ++i) {
    t.now += 1ms;
    t.hear("i-" + std::to_string(i));
    t.hear("i-current");
    EXPECT_LE(t.succession.known().size(), 16u);
  }
  EXPECT_EQ(t.succession.current(), "i-current");
}

// Every order of seven events: whatever late heartbeats of two former instances came before, the living one is the
// current one after two of its own heartbeats.
TEST(InstanceSuccession, after_any_order_of_events_the_living_instance_is_current_within_two_heartbeats) {
  constexpr int events = 7, kinds = 6, orders = 279936;  // 6 to the power of 7
  for (int order = 0; order < orders; ++order) {
    SuccessionTrial t;
    int rest = order;
    for (int i = 0; i < events; ++i, rest /= kinds) {
      int const kind = rest % kinds;
      if (kind == 0) t.hear("former-1");
      if (kind == 1) t.hear("former-2");
      if (kind == 2) t.hear("living");
      if (kind == 3) t.now += 50ms;
      if (kind == 4) t.now += 1600ms;
      if (kind == 5) t.succession.on_replied(t.now, t.succession.current(), i % 2 == 0);
    }
    for (int i = 0; i < 2; ++i) {
      t.now += 1500ms;
      t.hear("living");
    }
    ASSERT_EQ(t.succession.current(), "living") << "order " << order;
  }
}

}  // namespace
}  // namespace banktide
