// KeyGranter by itself: holds end within the lease, releases are proved, ends of instances are detected, and only
// requests on held keys run.
#include "coordination/key_granter.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace banktide {
namespace {

KeyRow row_of(std::uint16_t const from, std::uint16_t const to, std::uint16_t const holder, std::uint32_t const fence) {
  KeyRow row;
  row.from = from;
  row.to = to;
  row.holder = holder;
  row.fence = fence;
  return row;
}

constexpr Instant long_ago{};

struct GranterTrial {
  explicit GranterTrial(Instant const started = long_ago)
      : granter("payments", "node-1", "a:1", "zone", KeySettings{}, started) {
    table.revision = 1;
    table.add_holder(KeyHolderRecord{"i-1", "node-1", "a:1", "zone"});
    table.add_holder(KeyHolderRecord{"i-2", "node-2", "a:2", "zone"});
    table.services.push_back(KeyService{"payments", {row_of(0, 99, 0, 5), row_of(100, last_key, 1, 6)}});
  }
  KeyRow& first_row() { return table.services[0].rows[0]; }
  void receive_table() {
    ++table.revision;
    granter.on_table(table);
  }
  void confirm_table() {
    receive_table();
    granter.on_confirmed(table.revision, now);
  }
  KeyHeartbeat heartbeat(std::vector<HeldRange> held = {}, std::vector<ReleasedRange> released = {}) {
    KeyHeartbeat made;
    made.instance = "i-1";
    made.sequence = ++heartbeat_count;
    made.held = std::move(held);
    made.released = std::move(released);
    return made;
  }

  Instant now = Instant{} + 1000s;
  KeyTable table;
  std::uint64_t heartbeat_count = 0;
  KeySettings settings;
  KeyGranter granter;
};

TEST(KeyGranter, every_hold_ends_before_the_lease_even_by_a_slow_clock) {
  for (Duration const age : {0ms, 900ms, 2500ms, 4000ms, 4800ms, 4900ms, 5000ms, 9000ms})
    for (Duration const reply_delay : {0ms, 300ms, 700ms}) {
      GranterTrial t;
      t.confirm_table();
      KeyHeartbeat const heartbeat = t.heartbeat();
      t.granter.take_heartbeat(t.now + age, heartbeat);
      KeyHeartbeatReply const answer =
          t.granter.reply(t.now + age + reply_delay, heartbeat.instance, heartbeat.sequence);
      if (!answer.renews) {
        EXPECT_GT(age + reply_delay, 4800ms);
        continue;
      }
      Duration const longest = std::chrono::duration_cast<Duration>(answer.hold * 1.02);
      EXPECT_LE(t.now + age + longest, t.now + t.settings.term - t.settings.lease_margin + 1us);
      EXPECT_EQ(answer.rows, (std::vector<KeyGrant>{{0, 99, 5, ""}}));
    }
}

TEST(KeyGranter, grants_nothing_without_a_lease_or_with_a_table_older_than_the_confirmed_one) {
  GranterTrial t;
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
  t.receive_table();
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
  t.granter.on_confirmed(t.table.revision + 1, t.now);
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
  t.receive_table();
  EXPECT_TRUE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
}

TEST(KeyGranter, a_running_lease_continues_while_newer_confirmed_tables_are_missing) {
  GranterTrial t;
  t.confirm_table();
  Instant const first = t.now;
  for (Revision ahead = 1; ahead <= 40; ++ahead) {
    t.now += 100ms;
    t.granter.on_confirmed(t.table.revision + ahead, t.now);
    EXPECT_EQ(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews, t.now + 300ms < first + t.settings.term)
        << ahead;
  }
  t.now = first + t.settings.term;
  EXPECT_FALSE(t.granter.leased(t.now)) << "a confirmed revision without its table gives no lease";
}

TEST(KeyGranter, a_confirmed_reading_counts_from_its_request_once_its_table_has_arrived) {
  GranterTrial t;
  t.granter.on_confirmed(3, t.now);
  t.granter.on_confirmed(5, t.now + 1s);
  t.receive_table();
  EXPECT_FALSE(t.granter.leased(t.now)) << "table 2";
  t.receive_table();
  EXPECT_TRUE(t.granter.leased(t.now)) << "table 3";
  EXPECT_FALSE(t.granter.leased(t.now + t.settings.term));
  t.receive_table();
  EXPECT_FALSE(t.granter.leased(t.now + t.settings.term)) << "table 4";
  t.receive_table();
  EXPECT_TRUE(t.granter.leased(t.now + t.settings.term)) << "table 5";
  EXPECT_FALSE(t.granter.leased(t.now + 1s + t.settings.term));
}

TEST(KeyGranter, does_not_grant_revoked_or_moving_rows) {
  GranterTrial t;
  t.confirm_table();
  t.first_row().revoked = 2;
  t.receive_table();
  EXPECT_TRUE(t.granter.handle_heartbeat(t.now, t.heartbeat()).rows.empty());
  t.first_row().revoked = 0;
  t.first_row().moving = 3;
  t.first_row().next = 1;
  t.receive_table();
  EXPECT_TRUE(t.granter.handle_heartbeat(t.now, t.heartbeat()).rows.empty());
}

TEST(KeyGranter, reports_a_release_only_when_the_backend_no_longer_works_on_the_row) {
  GranterTrial t;
  t.confirm_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  t.first_row().moving = 3;
  t.first_row().next = 1;
  t.receive_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat({{0, 99, 5}}));
  EXPECT_TRUE(t.granter.report(t.now, 0).released.empty());
  t.granter.handle_heartbeat(t.now, t.heartbeat({{50, 99, 5}}, {{0, 49, "part"}}));  // still works on a part
  EXPECT_TRUE(t.granter.report(t.now, 0).released.empty());
  t.granter.handle_heartbeat(t.now, t.heartbeat({}, {{0, 99, "token"}}));
  EXPECT_TRUE(t.granter.has_urgent_report());
  KeyReport const report = t.granter.report(t.now, 0);
  ASSERT_EQ(report.released.size(), 1u);
  EXPECT_EQ(report.released[0].handover, "token");
  EXPECT_EQ(report.released[0].moving, 3u);
  EXPECT_EQ(report.released[0].fence, 5u);
}

TEST(KeyGranter, an_unlisted_row_counts_as_released_only_after_a_heartbeat_whose_reply_omitted_it) {
  GranterTrial t;
  t.confirm_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  t.first_row().moving = 3;
  t.receive_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  EXPECT_TRUE(t.granter.report(t.now, 0).released.empty());
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  ASSERT_EQ(t.granter.report(t.now, 0).released.size(), 1u);
  EXPECT_EQ(t.granter.report(t.now, 0).released[0].handover, "");
}

TEST(KeyGranter, a_cancelled_move_returns_the_row_with_its_own_token_but_never_with_an_old_one) {
  GranterTrial t;
  t.confirm_table();
  t.first_row().moving = 3;
  t.receive_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat({}, {{0, 99, "own"}}));
  t.first_row().moving = 0;
  t.receive_table();
  EXPECT_EQ(t.granter.handle_heartbeat(t.now, t.heartbeat()).rows, (std::vector<KeyGrant>{{0, 99, 5, "own"}}));
  t.first_row().fence = 9;  // another held it in between
  t.first_row().handover = "theirs";
  t.receive_table();
  EXPECT_EQ(t.granter.handle_heartbeat(t.now, t.heartbeat()).rows, (std::vector<KeyGrant>{{0, 99, 9, "theirs"}}));
}

// Guards against two holders of one key: other heartbeats beside the node were delayed ones of a former instance, and
// the holder was still running, whatever its hold and its silence.
TEST(KeyGranter, late_heartbeats_of_a_former_instance_do_not_end_the_current_one) {
  GranterTrial t;
  t.confirm_table();
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  ASSERT_TRUE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
  KeyHeartbeat late = t.heartbeat();
  late.instance = "i-0";
  for (int i = 0; i < 20; ++i, t.now += 500ms) {
    ++late.sequence;
    t.granter.handle_heartbeat(t.now + 100ms, late);
    EXPECT_EQ(t.granter.instance(), "i-0");
    EXPECT_TRUE(t.granter.report(t.now + 200ms, 0).ended.empty()) << i;
  }
  t.granter.on_confirmed(t.table.revision, t.now);
  EXPECT_EQ(t.granter.handle_heartbeat(t.now, t.heartbeat()).rows, (std::vector<KeyGrant>{{0, 99, 5, ""}}))
      << "the living instance gets its rows again, also after its hold has expired";
}

TEST(KeyGranter, an_instance_without_a_hold_is_not_put_out_for_good_when_another_replaces_it) {
  GranterTrial t;
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
  KeyHeartbeat newer = t.heartbeat();
  newer.instance = "i-9";
  t.granter.handle_heartbeat(t.now, newer);
  EXPECT_TRUE(t.granter.has_urgent_report());
  EXPECT_TRUE(t.granter.report(t.now, 0).ended.empty());
  t.confirm_table();
  EXPECT_TRUE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
}

TEST(KeyGranter, an_instance_replaced_by_mistake_is_granted_its_rows_again) {
  GranterTrial t;
  t.confirm_table();
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  ASSERT_TRUE(t.granter.handle_heartbeat(t.now, t.heartbeat()).renews);
  KeyHeartbeat late = t.heartbeat();
  late.instance = "i-0";
  t.granter.handle_heartbeat(t.now + 100ms, late);
  KeyHeartbeatReply const again = t.granter.handle_heartbeat(t.now + 200ms, t.heartbeat());
  EXPECT_EQ(again.rows, (std::vector<KeyGrant>{{0, 99, 5, ""}}));
  KeyReport const report = t.granter.report(t.now + 10s, 0);
  for (KeyEnd const& end : report.ended) EXPECT_EQ(end.instance, "i-0");
}

// An instance may keep serving after it has signed off, and holds its keys until the hold expires.
TEST(KeyGranter, an_instance_that_signs_off_without_draining_ends_when_its_hold_has_expired) {
  GranterTrial t;
  t.confirm_table();
  KeyHeartbeatReply const granted = t.granter.handle_heartbeat(t.now, t.heartbeat());
  ASSERT_TRUE(granted.renews);
  Instant const end_of_hold = t.now + std::chrono::duration_cast<Duration>(granted.hold * 1.02);
  // The reply to a heartbeat may still be pending when the instance signs off.
  KeyHeartbeat const unanswered = t.heartbeat();
  t.granter.take_heartbeat(t.now + 50ms, unanswered);
  t.granter.on_instance_signed_off("i-1", t.now + 100ms);
  EXPECT_FALSE(t.granter.reply(t.now + 110ms, "i-1", unanswered.sequence).renews);
  EXPECT_FALSE(t.granter.fence_to_run(50, t.now + 200ms, 1ms));
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now + 300ms, t.heartbeat()).renews);
  KeyReport const before = t.granter.report(end_of_hold - 10ms, 0);
  EXPECT_TRUE(before.ended.empty());
  EXPECT_EQ(before.instance, "i-1");
  EXPECT_EQ(before.state, KeyHolderState::draining);
  KeyReport const after = t.granter.report(end_of_hold + 1ms, 0);
  ASSERT_EQ(after.ended.size(), 1u);
  EXPECT_EQ(after.ended[0].instance, "i-1");
  EXPECT_EQ(after.instance, "");
}

// Guards against two holders of one key: an instance signed off while a late heartbeat of a former one was taken for
// the current one's.
TEST(KeyGranter, an_instance_that_signs_off_while_another_is_current_ends_when_its_hold_has_expired) {
  GranterTrial t;
  t.confirm_table();
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  KeyHeartbeatReply const granted = t.granter.handle_heartbeat(t.now, t.heartbeat());
  ASSERT_TRUE(granted.renews);
  Instant const end_of_hold = t.now + std::chrono::duration_cast<Duration>(granted.hold * 1.02);
  KeyHeartbeat late = t.heartbeat();
  late.instance = "i-0";
  t.granter.handle_heartbeat(t.now + 100ms, late);
  t.granter.on_instance_signed_off("i-1", t.now + 200ms);
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now + 300ms, t.heartbeat()).renews);
  EXPECT_TRUE(t.granter.report(end_of_hold - 10ms, 0).ended.empty());
  KeyReport const after = t.granter.report(end_of_hold + 1ms, 0);
  ASSERT_EQ(after.ended.size(), 1u);
  EXPECT_EQ(after.ended[0].instance, "i-1");
}

// Guards against keys that stay with nobody: an instance signed off, and the next one came before its hold had expired.
TEST(KeyGranter, an_instance_that_signed_off_and_was_replaced_ends_when_its_hold_has_expired) {
  GranterTrial t;
  t.confirm_table();
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  KeyHeartbeatReply const granted = t.granter.handle_heartbeat(t.now, t.heartbeat());
  ASSERT_TRUE(granted.renews);
  Instant const end_of_hold = t.now + std::chrono::duration_cast<Duration>(granted.hold * 1.02);
  t.granter.on_instance_signed_off("i-1", t.now + 100ms);
  KeyHeartbeat next = t.heartbeat();
  next.instance = "i-9";
  t.granter.handle_heartbeat(t.now + 200ms, next);
  EXPECT_EQ(t.granter.instance(), "i-9");
  EXPECT_TRUE(t.granter.report(end_of_hold - 10ms, 0).ended.empty());
  KeyReport const after = t.granter.report(end_of_hold + 1ms, 0);
  ASSERT_EQ(after.ended.size(), 1u);
  EXPECT_EQ(after.ended[0].instance, "i-1");
}

TEST(KeyGranter, names_the_instances_whose_end_is_not_proved_and_forgets_them_over_thousands_of_them) {
  GranterTrial t;
  t.confirm_table();
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  for (int life = 0; life < 3000; ++life, t.now += 10ms) {
    KeyHeartbeat other = t.heartbeat();
    other.instance = "life-" + std::to_string(life);
    t.granter.handle_heartbeat(t.now, other);
    t.granter.report(t.now, 0);
    EXPECT_LE(t.granter.instances_without_proved_end().size(), 16u);
  }
  t.granter.on_instance_ended("i-1", "another instance answers at its address");
  t.granter.report(t.now + 10s, 0);
  std::vector<std::string> const left = t.granter.instances_without_proved_end();
  EXPECT_TRUE(left.empty()) << left.front();
}

TEST(KeyGranter, an_instance_that_signs_off_after_draining_or_without_a_hold_ends_at_once) {
  GranterTrial drained;
  drained.confirm_table();
  KeyHeartbeat leaving = drained.heartbeat();
  leaving.state = KeyHolderState::draining;
  ASSERT_TRUE(drained.granter.handle_heartbeat(drained.now, leaving).renews);
  drained.granter.on_instance_signed_off("i-1", drained.now + 100ms);
  EXPECT_EQ(drained.granter.report(drained.now + 200ms, 0).ended.size(), 1u);

  GranterTrial without_lease;
  without_lease.granter.handle_heartbeat(without_lease.now, without_lease.heartbeat());
  without_lease.granter.on_instance_signed_off("i-1", without_lease.now + 100ms);
  EXPECT_EQ(without_lease.granter.report(without_lease.now + 200ms, 0).ended.size(), 1u);
}

// Guards against two holders of one key: a node that had just restarted assumed that a backend that signed off had no
// hold.
TEST(KeyGranter, an_instance_that_signs_off_after_a_node_restart_may_hold_keys_granted_before) {
  Instant const started = long_ago + 1000s;
  GranterTrial t(started);
  Duration const longest_hold = std::chrono::duration_cast<Duration>(t.settings.term * 1.02);
  t.now += 400ms;
  t.granter.take_heartbeat(t.now, t.heartbeat({{0, 99, 5}}));
  t.granter.on_instance_signed_off("i-1", t.now + 100ms);
  KeyReport const within = t.granter.report(started + longest_hold - 10ms, 0);
  EXPECT_TRUE(within.ended.empty());
  EXPECT_EQ(within.state, KeyHolderState::draining);
  EXPECT_EQ(t.granter.report(started + longest_hold + 10ms, 0).ended.size(), 1u);
}

TEST(KeyGranter, long_after_a_node_start_only_grants_of_this_process_delay_the_end) {
  GranterTrial t(long_ago + 1000s - 2 * KeySettings{}.term);
  t.granter.take_heartbeat(t.now, t.heartbeat());
  t.granter.on_instance_signed_off("i-1", t.now + 100ms);
  EXPECT_EQ(t.granter.report(t.now + 200ms, 0).ended.size(), 1u);
}

TEST(KeyGranter, right_after_a_suspension_no_heartbeat_replaces_an_instance) {
  GranterTrial t;
  t.confirm_table();
  for (int i = 0; i < 4; ++i, t.now += 500ms) t.granter.report(t.now, 0);
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  t.now += 10s;
  KeyHeartbeat stale = t.heartbeat();
  stale.instance = "i-0";
  t.granter.handle_heartbeat(t.now, stale);
  t.granter.report(t.now, 0);
  t.granter.handle_heartbeat(t.now, stale);
  EXPECT_EQ(t.granter.instance(), "i-1");
}

// Guards against two holders of one key: the first heartbeat that a restarted node heard was a late one of a former
// instance, and the one that the table lists was running.
TEST(KeyGranter, a_late_heartbeat_heard_first_after_a_restart_does_not_end_the_instance_in_the_table) {
  for (Duration const uptime : {Duration(0ms), Duration(500ms), Duration(60s)}) {
    GranterTrial t(long_ago + 1000s - uptime);
    KeyHeartbeat late = t.heartbeat();
    late.instance = "i-0";
    t.granter.handle_heartbeat(t.now, late);
    t.confirm_table();
    for (int i = 0; i < 4; ++i, t.now += 500ms) EXPECT_TRUE(t.granter.report(t.now, 0).ended.empty()) << i;
    EXPECT_EQ(t.granter.handle_heartbeat(t.now, t.heartbeat()).rows, (std::vector<KeyGrant>{{0, 99, 5, ""}}));
    EXPECT_TRUE(t.granter.report(t.now, 0).ended.empty());
  }
}

// Guards against OWNER: a refused connection had the keys of a backend that still ran granted to others.
TEST(KeyGranter, an_unreachable_instance_gives_up_its_rows_only_when_its_hold_has_expired) {
  GranterTrial t;
  t.confirm_table();
  KeyHeartbeatReply const granted = t.granter.handle_heartbeat(t.now, t.heartbeat());
  ASSERT_TRUE(granted.renews);
  t.granter.on_instance_unreachable("i-1");
  EXPECT_FALSE(t.granter.fence_to_run(0, t.now, 1ms));
  EXPECT_TRUE(t.granter.has_urgent_report());
  EXPECT_EQ(t.granter.report(t.now, 0).state, KeyHolderState::draining) << "its rows are to be moved";
  t.first_row().moving = t.table.revision + 1;
  t.receive_table();
  Instant const expired = t.now + std::chrono::duration_cast<Duration>(granted.hold * 1.02);
  EXPECT_TRUE(t.granter.report(expired - 1ms, 0).released.empty());
  KeyReport const after = t.granter.report(expired + 1ms, 0);
  ASSERT_EQ(after.released.size(), 1u);
  EXPECT_EQ(after.released[0].moving, t.table.revision);
  EXPECT_TRUE(after.ended.empty()) << "it may live";
}

TEST(KeyGranter, an_unreachable_instance_is_granted_its_rows_again_with_its_next_heartbeat) {
  GranterTrial t;
  t.confirm_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  t.granter.on_instance_unreachable("i-1");
  t.now += 1s;
  KeyHeartbeatReply const answer = t.granter.handle_heartbeat(t.now, t.heartbeat({{0, 99, 5}}));
  EXPECT_TRUE(answer.renews);
  EXPECT_EQ(answer.rows, (std::vector<KeyGrant>{{0, 99, 5, ""}}));
  EXPECT_EQ(t.granter.report(t.now, 0).state, KeyHolderState::serving);
}

TEST(KeyGranter, runs_requests_on_held_keys_that_end_within_the_hold) {
  GranterTrial t;
  t.confirm_table();
  EXPECT_FALSE(t.granter.fence_to_run(7, t.now, 1ms));
  Duration const hold = t.granter.handle_heartbeat(t.now, t.heartbeat()).hold;
  EXPECT_EQ(t.granter.fence_to_run(7, t.now, 1ms), 5u);
  EXPECT_EQ(t.granter.fence_to_run(99, t.now, 1ms), 5u);
  EXPECT_FALSE(t.granter.fence_to_run(100, t.now, 1ms));
  EXPECT_FALSE(t.granter.fence_to_run(7, t.now, hold));
  EXPECT_FALSE(t.granter.fence_to_run(7, t.now + hold, 0ms));
  EXPECT_FALSE(t.granter.handle_heartbeat(t.now + 20s, t.heartbeat()).renews);
  EXPECT_FALSE(t.granter.fence_to_run(7, t.now + 20s, 1ms));
}

TEST(KeyGranter, merges_adjacent_rows_with_one_fence_when_a_reply_would_be_too_long) {
  GranterTrial t;
  std::vector<KeyRow>& rows = t.table.services[0].rows;
  rows.clear();
  for (std::uint32_t i = 0; i < 128; ++i)
    rows.push_back(row_of(static_cast<std::uint16_t>(i * 512), static_cast<std::uint16_t>(i * 512 + 511), 0, 5));
  t.confirm_table();
  std::vector<KeyGrant> const granted = t.granter.handle_heartbeat(t.now, t.heartbeat()).rows;
  EXPECT_LE(granted.size(), t.settings.held_rows_limit);
  std::uint32_t from = 0;
  for (KeyGrant const& grant : granted) {
    EXPECT_EQ(grant.from, from);
    from = grant.to + 1u;
  }
  EXPECT_EQ(from, 65536u);
}

// A coordinator must not mistake a row that was just granted for an idle one.
TEST(KeyGranter, reports_no_rate_before_it_is_measured_and_then_the_full_rate) {
  GranterTrial t;
  t.confirm_table();
  t.granter.report(t.now, 0.5F);
  t.now += 1s;
  t.confirm_table();
  t.granter.handle_heartbeat(t.now, t.heartbeat());
  for (int i = 0; i < 20; ++i) t.granter.count(static_cast<std::uint16_t>(i));
  t.now += 100ms;
  KeyReport const early = t.granter.report(t.now, 0.5F, 120);
  ASSERT_EQ(early.held.size(), 1u);
  EXPECT_LT(early.held[0].rate, 0);
  EXPECT_EQ(early.capacity, 120);
  t.now += 400ms;
  KeyReport const measured = t.granter.report(t.now, 0.5F, 120);
  EXPECT_FLOAT_EQ(measured.held[0].rate, 40);
  t.now += 500ms;
  EXPECT_LT(t.granter.report(t.now, 0.5F, 120).held[0].rate, 40);
}

// A node whose backend holds keys 0 to 9999 and receives requests on them.
struct LoadTrial : GranterTrial {
  LoadTrial() {
    table.services[0].rows = {row_of(0, 9999, 0, 5), row_of(10000, last_key, 1, 6)};
    renew();
    granter.report(now, 0.5F);
  }
  void renew() {
    confirm_table();
    granter.handle_heartbeat(now, heartbeat());
  }
  // Counts the given requests on each key over half a second, and returns a report.
  KeyReport report_after(std::map<std::uint16_t, int> const& requests, float const capacity) {
    for (auto const& [key, times] : requests)
      for (int i = 0; i < times; ++i) granter.count(key);
    now += 500ms;
    return granter.report(now, 0.5F, capacity);
  }
  static std::size_t size_of(KeyReport const& report) {
    Bytes bytes;
    SaveArchive archive(bytes);
    archive(report);
    return bytes.size();
  }
};

// The shares of the parts into which a report's cuts split a row, including the first part.
std::vector<double> shares_of(KeyRowCuts const& cuts) {
  std::vector<double> shares{1};
  for (KeyCut const& cut : cuts.cuts) {
    shares.push_back(cut.share / 65535.0);
    shares[0] -= shares.back();
  }
  return shares;
}

TEST(KeyGranter, reports_cuts_of_a_hot_row_into_parts_of_about_equal_load) {
  LoadTrial t;
  std::map<std::uint16_t, int> requests;
  for (std::uint16_t key = 7000; key < 7120; ++key) requests[key] = 1 + key % 3;
  KeyReport const report = t.report_after(requests, 200);
  ASSERT_EQ(report.hot.size(), 1u);
  EXPECT_EQ(report.hot[0].from, 0);
  ASSERT_GE(report.hot[0].cuts.size(), 31u);
  std::uint16_t before = 0;
  for (KeyCut const& cut : report.hot[0].cuts) {
    EXPECT_GT(cut.at, before);
    EXPECT_GT(cut.at, 7000);
    EXPECT_LT(cut.at, 7120);
    before = cut.at;
  }
  double all = 0;
  for (double const share : shares_of(report.hot[0])) {
    EXPECT_GT(share, 0);
    EXPECT_LT(share, 0.05);
    all += share;
  }
  EXPECT_NEAR(all, 1, 0.001);
}

TEST(KeyGranter, reports_no_cuts_of_cool_rows_and_isolates_a_very_hot_key) {
  LoadTrial t;
  std::map<std::uint16_t, int> requests;
  for (std::uint16_t key = 0; key < 100; ++key) requests[key] = 1;
  EXPECT_TRUE(t.report_after(requests, 5000).hot.empty());
  requests[50] = 1000;
  KeyReport const report = t.report_after(requests, 1000);
  ASSERT_EQ(report.hot.size(), 1u);
  std::vector<KeyCut> const& cuts = report.hot[0].cuts;
  std::vector<KeyCut>::const_iterator const hottest =
      std::find_if(cuts.begin(), cuts.end(), [](KeyCut const& cut) { return cut.at == 50; });
  ASSERT_NE(hottest, cuts.end());
  EXPECT_GT(hottest->share, 55000);
  ASSERT_NE(hottest + 1, cuts.end());
  EXPECT_EQ((hottest + 1)->at, 51);
}

TEST(KeyGranter, a_report_stays_small_however_many_rows_and_busy_keys_there_are) {
  LoadTrial t;
  std::vector<KeyRow>& rows = t.table.services[0].rows;
  rows.clear();
  for (std::uint32_t i = 0; i < 56; ++i)
    rows.push_back(row_of(static_cast<std::uint16_t>(i * 1000), static_cast<std::uint16_t>(i * 1000 + 999), 0, 5));
  rows.push_back(row_of(56000, last_key, 1, 5));
  t.renew();
  std::map<std::uint16_t, int> requests;
  for (std::uint32_t key = 0; key < 56000; key += 2)
    requests[static_cast<std::uint16_t>(key)] = 1 + (key % 13 == 0) * 40;
  for (float const capacity : {0.0F, 10.0F, 100.0F, 100000.0F}) {
    KeyReport const report = t.report_after(requests, capacity);
    std::size_t cuts = 0;
    for (KeyRowCuts const& hot : report.hot) cuts += hot.cuts.size();
    EXPECT_LE(cuts, 96u);
    EXPECT_LE(LoadTrial::size_of(report), 1600u);
  }
}

// Otherwise a coordinator would have to wait for a new measurement after each split.
TEST(KeyGranter, knows_the_rates_of_split_and_merged_rows_at_once) {
  LoadTrial t;
  t.report_after({{100, 30}, {8000, 10}}, 0);
  std::vector<KeyRow>& rows = t.table.services[0].rows;
  rows = {row_of(0, 4999, 0, 5), row_of(5000, 9999, 0, 5), row_of(10000, last_key, 1, 6)};
  t.renew();
  KeyReport const cut = t.granter.report(t.now, 0.5F);
  ASSERT_EQ(cut.held.size(), 2u);
  EXPECT_FLOAT_EQ(cut.held[0].rate, 60);
  EXPECT_FLOAT_EQ(cut.held[1].rate, 20);
  rows = {row_of(0, 9999, 0, 7), row_of(10000, last_key, 1, 6)};
  t.renew();
  KeyReport const joined = t.granter.report(t.now, 0.5F);
  ASSERT_EQ(joined.held.size(), 1u);
  EXPECT_FLOAT_EQ(joined.held[0].rate, 80);
}

TEST(KeyGranter, a_rate_is_averaged_over_seconds_and_restarts_when_the_load_changes) {
  LoadTrial t;
  KeyReport report;
  for (int i = 0; i < 20; ++i) report = t.report_after({{1, i % 2 == 0 ? 40 : 60}}, 0);
  EXPECT_NEAR(report.held[0].rate, 100, 6);
  EXPECT_GT(report.held[0].seconds, 9);
  report = t.report_after({{1, 400}}, 0);
  EXPECT_NEAR(report.held[0].rate, 800, 1);
  EXPECT_LT(report.held[0].seconds, 1);
}

}  // namespace
}  // namespace banktide
