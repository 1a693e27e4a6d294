// Checks properties of plans by walking all rows of each planned table.
#include "state/key_planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace banktide {
namespace {

struct Fleet {
  explicit Fleet(std::size_t const count) : planner(KeySettings{}) {
    for (std::size_t i = 0; i < count; ++i) add(4);
  }
  KeyReport& add(std::uint32_t const slots) {
    KeyReport report;
    report.service = "payments";
    report.instance = "i-" + std::to_string(reports.size());
    report.node = "n-" + std::to_string(reports.size());
    report.leased = true;
    report.slots = slots;
    reports.push_back(report);
    return reports.back();
  }
  // Reports and plans ten times a second; every plan becomes the newest table.
  void run(Duration const d) {
    for (Instant const end = now + d; now < end; now += 100ms) {
      for (KeyReport const& report : reports)
        if (!silent.contains(report.instance)) planner.on_report(now, report);
      std::optional<KeyTable> const plan = planner.plan(now);
      if (!plan) continue;
      ++plans;
      check(*plan);
      planner.on_table(now, *plan);
    }
  }
  static void check(KeyTable const& table) {
    for (KeyService const& service : table.services) {
      std::uint32_t from = 0;
      for (KeyRow const& row : service.rows) {
        EXPECT_EQ(row.from, from);
        EXPECT_GE(row.to, row.from);
        from = row.to + 1u;
      }
      EXPECT_EQ(from, 65536u);
      EXPECT_LE(service.rows.size(), KeySettings{}.rows_limit);
    }
  }
  std::map<std::string, std::size_t> rows_by_holder() const {
    std::map<std::string, std::size_t> rows;
    for (KeyRow const& row : planner.table().services[0].rows)
      ++rows[row.holder == no_holder ? "" : planner.table().holders[row.holder].instance];
    return rows;
  }

  KeyPlanner planner;
  std::vector<KeyReport> reports;
  std::set<std::string> silent;
  Instant now = Instant{} + 1000s;
  std::size_t plans = 0;
};

TEST(KeyPlanner, assigns_the_first_rows_by_slots_and_neighbours_to_different_holders) {
  Fleet fleet(4);
  fleet.add(8);
  fleet.run(3s);
  ASSERT_EQ(fleet.planner.table().services.size(), 1u);
  std::vector<KeyRow> const& rows = fleet.planner.table().services[0].rows;
  EXPECT_EQ(rows.size(), 60u);
  for (std::size_t i = 1; i < rows.size(); ++i) EXPECT_NE(rows[i].holder, rows[i - 1].holder);
  for (auto const& [instance, count] : fleet.rows_by_holder()) EXPECT_EQ(count, instance == "i-4" ? 20u : 10u);
}

TEST(KeyPlanner, changes_nothing_while_nothing_happens) {
  Fleet fleet(6);
  fleet.run(3s);
  std::size_t const plans = fleet.plans;
  fleet.run(60s);
  EXPECT_EQ(fleet.plans, plans);
}

TEST(KeyPlanner, reassigns_the_rows_of_an_ended_backend_at_once_under_higher_fences) {
  Fleet fleet(5);
  fleet.run(3s);
  std::uint32_t const fence = fleet.planner.table().services[0].highest_fence();
  fleet.silent.insert("i-2");
  fleet.reports[1].ended.push_back(KeyEnd{"i-2", "its port refuses connections"});
  fleet.run(200ms);
  std::map<std::string, std::size_t> const rows = fleet.rows_by_holder();
  EXPECT_FALSE(rows.contains("i-2"));
  EXPECT_FALSE(rows.contains(""));
  for (auto const& [instance, count] : rows) EXPECT_LE(count, 18u) << instance;
  EXPECT_GT(fleet.planner.table().services[0].highest_fence(), fence);
}

TEST(KeyPlanner, waits_a_whole_lease_term_for_a_silent_holder_and_restores_one_that_returns) {
  Fleet fleet(5);
  fleet.run(3s);
  KeySettings const settings;
  fleet.silent.insert("i-2");
  fleet.run(settings.revoke_after + 500ms);
  EXPECT_TRUE(fleet.rows_by_holder().contains("i-2"));
  fleet.silent.clear();
  fleet.run(500ms);
  for (KeyRow const& row : fleet.planner.table().services[0].rows) EXPECT_EQ(row.revoked, 0u);
  fleet.silent.insert("i-2");
  fleet.run(settings.revoke_after + settings.term);
  EXPECT_TRUE(fleet.rows_by_holder().contains("i-2"));
  fleet.run(1s);
  EXPECT_FALSE(fleet.rows_by_holder().contains("i-2"));
}

// A release counts only for the move that it belongs to.
TEST(KeyPlanner, accepts_a_release_of_its_own_move_only) {
  Fleet fleet(3);
  fleet.run(3s);
  fleet.reports[0].state = KeyHolderState::draining;
  fleet.run(500ms);
  std::vector<KeyRow> const rows = fleet.planner.table().services[0].rows;
  for (KeyRow const& row : rows)
    if (row.moving != 0)
      fleet.reports[0].released.push_back(KeyRelease{row.from, row.to, row.fence, row.moving + 7, "token"});
  ASSERT_FALSE(fleet.reports[0].released.empty());
  fleet.run(1s);
  EXPECT_TRUE(fleet.rows_by_holder().contains("i-0"));
  for (KeyRelease& release : fleet.reports[0].released) release.moving -= 7;
  fleet.run(500ms);
  EXPECT_FALSE(fleet.rows_by_holder().contains("i-0"));
  for (KeyRow const& row : fleet.planner.table().services[0].rows) {
    if (row.fence == 1) continue;
    EXPECT_EQ(row.handover, "token");
  }
}

TEST(KeyPlanner, keeps_the_rows_of_each_backend_within_the_limit_when_few_backends_are_left) {
  Fleet fleet(40);
  fleet.run(4s);
  for (std::size_t i = 0; i < 37; ++i) {
    std::string const instance = "i-" + std::to_string(i);
    fleet.silent.insert(instance);
    fleet.reports[39].ended.push_back(KeyEnd{instance, "gone"});
  }
  fleet.run(1s);
  std::map<std::string, std::size_t> const rows = fleet.rows_by_holder();
  EXPECT_EQ(rows.size(), 3u);
  EXPECT_FALSE(rows.contains(""));
  for (auto const& [instance, count] : rows) EXPECT_LE(count, KeySettings{}.held_rows_limit) << instance;
}

// After a restart of a whole machine the boundaries of its rows are kept.
TEST(KeyPlanner, assigns_the_rows_of_an_ended_incarnation_to_the_next_one_on_its_node) {
  Fleet fleet(5);
  fleet.run(3s);
  std::vector<KeyRow> const before = fleet.planner.table().services[0].rows;
  std::uint16_t const former = fleet.planner.table().holder_index("i-2");
  KeyReport& report = fleet.reports[2];
  report.ended.push_back(KeyEnd{"i-2", "a new incarnation started on the same node"});
  report.instance = "i-2-again";
  report.leased = false;  // as in the first moments of a node
  fleet.run(200ms);
  KeyTable const& table = fleet.planner.table();
  ASSERT_EQ(table.services[0].rows.size(), before.size());
  for (std::size_t i = 0; i < before.size(); ++i) {
    KeyRow const& row = table.services[0].rows[i];
    EXPECT_EQ(row.from, before[i].from);
    if (before[i].holder == former) {
      EXPECT_EQ(table.holders[row.holder].instance, "i-2-again");
      EXPECT_GT(row.fence, before[i].fence);
      EXPECT_EQ(row.handover, "");
    } else {
      EXPECT_EQ(row.fence, before[i].fence);
    }
  }
}

TEST(KeyPlanner, a_next_incarnation_without_a_lease_inherits_nothing_after_the_grace_time) {
  Fleet fleet(5);
  fleet.run(3s);
  KeyReport& report = fleet.reports[2];
  fleet.add(4) = report;
  fleet.reports.back().instance = "i-2-again";
  fleet.reports.back().leased = false;
  fleet.run(KeySettings{}.successor_grace + 500ms);
  EXPECT_FALSE(fleet.rows_by_holder().contains("i-2-again"));
  fleet.reports.back().ended.push_back(KeyEnd{"i-2", "a new incarnation started on the same node"});
  fleet.run(200ms);
  std::map<std::string, std::size_t> const rows = fleet.rows_by_holder();
  EXPECT_FALSE(rows.contains("i-2"));
  EXPECT_FALSE(rows.contains("i-2-again"));
  EXPECT_FALSE(rows.contains(""));
}

// Simulates reports of backends with given capacities under requests to all keys, with a higher rate
// on some. Rows that are to move are released at once.
struct LoadedFleet : Fleet {
  explicit LoadedFleet(std::vector<double> const& all_capacities)
      : Fleet(all_capacities.size()), capacities(all_capacities) {}
  double rate_of(std::uint32_t const from, std::uint32_t const to) const {
    double const busy_keys = std::max(0.0, std::min<double>(to, 29999) - std::max<double>(from, 20000) + 1);
    double const hottest = from <= hot_key && hot_key <= to ? hot_key_rate : 0;
    return 200.0 * (to - from + 1) / 65536 + 150.0 * busy_keys / 10000 + hottest;
  }
  // Proposes splits before and after the hot key.
  KeyRowCuts cuts_of(KeyRow const& row) const {
    KeyRowCuts cuts{row.from, {}};
    double const all = rate_of(row.from, row.to);
    auto const share = [&](std::uint32_t const from) {
      std::uint32_t const to = from == hot_key ? from : row.to;
      return static_cast<std::uint16_t>(65535 * rate_of(from, to) / all);
    };
    if (row.from < hot_key) cuts.cuts.push_back(KeyCut{hot_key, share(hot_key)});
    std::uint16_t const after = static_cast<std::uint16_t>(hot_key + 1);
    if (row.to > hot_key) cuts.cuts.push_back(KeyCut{after, share(after)});
    return cuts;
  }
  double demand_of(std::size_t const backend) const {
    double demand = 0;
    for (KeyRowLoad const& load : reports[backend].held) demand += load.rate;
    return demand;
  }
  void measure() {
    for (std::size_t i = 0; i < reports.size(); ++i) {
      KeyReport& report = reports[i];
      report.held.clear();
      report.hot.clear();
      report.released.clear();
      KeyTable const& table = planner.table();
      if (table.services.empty()) continue;
      for (KeyRow const& row : table.services[0].rows) {
        if (row.holder == no_holder || table.holders[row.holder].instance != report.instance) continue;
        report.held.push_back(
            KeyRowLoad{row.from, row.to, row.fence, static_cast<float>(rate_of(row.from, row.to)), 0});
        bool const hot = hot_key_rate > 0 && row.from <= hot_key && hot_key <= row.to;
        if (hot && row.from < row.to) report.hot.push_back(cuts_of(row));
        if (row.moving != 0) report.released.push_back(KeyRelease{row.from, row.to, row.fence, row.moving, "token"});
      }
      report.capacity = static_cast<float>(capacities[i]);
      report.busy = loaded ? static_cast<float>(std::min(1.3, demand_of(i) / capacities[i])) : 0.0F;
    }
  }
  double utilisation_over_mean() const {
    double demand = 0, capacity = 0, highest = 0;
    for (std::size_t i = 0; i < reports.size(); ++i) {
      demand += demand_of(i);
      capacity += capacities[i];
      highest = std::max(highest, demand_of(i) / capacities[i]);
    }
    return highest * capacity / demand;
  }
  void run_loaded(Duration const d) {
    for (Instant const end = now + d; now < end;) {
      measure();
      run(200ms);
      record_moving_rows();
    }
  }
  std::size_t record_moving_rows() {
    std::size_t rows = 0;
    double width = 0;
    for (KeyRow const& row : planner.table().services[0].rows) {
      if (row.moving == 0) continue;
      ++rows;
      width += (row.to - row.from + 1) / 65536.0;
    }
    max_moving = std::max(max_moving, width);
    return rows;
  }

  std::vector<double> capacities;
  bool loaded = false;
  std::uint16_t hot_key = 50001;
  double hot_key_rate = 0;
  double max_moving = 0;
};

TEST(KeyPlanner, moves_several_rows_at_once_while_loads_differ_much_and_none_when_they_are_even) {
  LoadedFleet fleet({70, 70, 160, 70, 70});
  fleet.run(3s);
  fleet.loaded = true;
  fleet.measure();
  ASSERT_GT(fleet.utilisation_over_mean(), 1.25);
  fleet.run(100ms);
  EXPECT_GT(fleet.record_moving_rows(), 1u);
  fleet.run_loaded(5s);
  fleet.measure();
  EXPECT_LT(fleet.utilisation_over_mean(), 1.3);
  fleet.run_loaded(30s);
  EXPECT_LT(fleet.utilisation_over_mean(), 1.2);
  EXPECT_GT(fleet.max_moving, 0);
  EXPECT_LE(fleet.max_moving, KeySettings{}.moving_width_limit);
  std::size_t const plans = fleet.plans;
  fleet.run_loaded(60s);
  EXPECT_LT(fleet.plans - plans, 6u);
}

TEST(KeyPlanner, moves_nothing_for_load_while_nobody_is_busy) {
  LoadedFleet fleet({300, 300, 700, 300, 300});
  fleet.run(3s);
  std::size_t const plans = fleet.plans;
  fleet.loaded = true;
  fleet.run_loaded(20s);
  EXPECT_EQ(fleet.plans, plans);
}

TEST(KeyPlanner, splits_a_hot_row_where_reported_and_moves_parts_in_the_same_table) {
  LoadedFleet fleet({100, 100, 100, 100, 100});
  fleet.run(3s);
  fleet.hot_key_rate = 90;
  fleet.loaded = true;
  fleet.measure();
  std::size_t const rows = fleet.planner.table().services[0].rows.size();
  fleet.run(100ms);
  KeyService const& service = fleet.planner.table().services[0];
  EXPECT_EQ(service.rows.size(), rows + 2);
  KeyRow const& key = *service.row_of(fleet.hot_key);
  EXPECT_EQ(key.from, fleet.hot_key);
  EXPECT_EQ(key.to, fleet.hot_key);
  EXPECT_GT(fleet.record_moving_rows(), 0u);
}

// A single key that is too hot for any backend can't be split: rows are moved once, and then no more
// tables are written.
TEST(KeyPlanner, stops_planning_though_one_key_is_too_hot_for_any_backend) {
  for (std::size_t const count : {2u, 5u, 40u}) {
    LoadedFleet fleet(std::vector<double>(count, 600.0 / static_cast<double>(count)));
    fleet.run(3s);
    fleet.hot_key_rate = 1000;
    fleet.loaded = true;
    fleet.run_loaded(60s);
    fleet.measure();
    std::size_t const plans = fleet.plans;
    fleet.run_loaded(120s);
    EXPECT_EQ(fleet.plans, plans) << count;
    KeyTable const& table = fleet.planner.table();
    KeyRow const& key = *table.services[0].row_of(fleet.hot_key);
    ASSERT_EQ(key.from, key.to);
    for (KeyRow const& row : table.services[0].rows) {
      if (row.holder != key.holder || row.from == key.from) continue;
      EXPECT_LT(fleet.rate_of(row.from, row.to), 30) << count;
    }
  }
}

TEST(KeyPlanner, a_row_that_moved_for_load_is_not_moved_again_within_the_settle_time) {
  LoadedFleet fleet({70, 70, 160, 70, 70});
  fleet.run(3s);
  fleet.loaded = true;
  std::map<std::uint16_t, Instant> moved;
  for (int i = 0; i < 300; ++i) {
    if (i % 20 == 0) std::rotate(fleet.capacities.begin(), fleet.capacities.begin() + 1, fleet.capacities.end());
    fleet.measure();
    std::size_t const before = fleet.plans;
    fleet.run(100ms);
    if (fleet.plans == before) continue;
    KeyTable const& table = fleet.planner.table();
    for (KeyRow const& row : table.services[0].rows) {
      if (row.moving != table.revision) continue;
      if (moved.contains(row.from)) {
        EXPECT_GE(fleet.now - moved[row.from], KeySettings{}.settle_time);
      }
      moved[row.from] = fleet.now;
    }
  }
  EXPECT_GT(moved.size(), 3u);
}

// Two zones with three backends each; rows that are to move are released within a second.
struct ZonedFleet : Fleet {
  ZonedFleet() : Fleet(6) {
    for (std::size_t i = 0; i < reports.size(); ++i) reports[i].zone = i < 3 ? "east" : "west";
  }
  void run_with_releases(Duration const d) {
    for (Instant const end = now + d; now < end;) {
      for (KeyReport& report : reports) report.released.clear();
      for (KeyRow const& row : planner.table().services[0].rows) {
        if (row.moving == 0 || row.holder == no_holder) continue;
        for (KeyReport& report : reports)
          if (report.instance == planner.table().holders[row.holder].instance)
            report.released.push_back(KeyRelease{row.from, row.to, row.fence, row.moving, "token"});
      }
      run(100ms);
      record_moving_rows_by_holder();
      run(900ms);
      record_moving_rows_by_holder();
    }
  }
  void record_moving_rows_by_holder() {
    std::map<std::uint16_t, std::size_t> moving;
    for (KeyRow const& row : planner.table().services[0].rows)
      if (row.moving != 0) max_moving = std::max(max_moving, ++moving[row.holder]);
  }
  std::size_t rows_in(std::string const& zone) const {
    std::size_t rows = 0;
    for (KeyRow const& row : planner.table().services[0].rows) {
      rows += row.holder != no_holder && planner.table().holders[row.holder].zone == zone;
      rows += row.next != no_holder && planner.table().holders[row.next].zone == zone;
    }
    return rows;
  }
  std::size_t without_token() const {
    std::size_t rows = 0;
    for (KeyRow const& row : planner.table().services[0].rows) rows += row.fence > 1 && row.handover.empty();
    return rows;
  }
  std::size_t max_moving = 0;
};

TEST(KeyPlanner, a_withheld_zone_gives_up_its_rows_a_few_at_a_time_and_gets_none) {
  ZonedFleet fleet;
  fleet.run(3s);
  ASSERT_EQ(fleet.rows_in("east"), 36u);
  fleet.planner.withhold_zones({"east"});
  fleet.run_with_releases(20s);
  EXPECT_EQ(fleet.rows_in("east"), 0u);
  EXPECT_EQ(fleet.without_token(), 0u);
  EXPECT_GT(fleet.max_moving, 0u);
  EXPECT_LE(fleet.max_moving, KeySettings{}.moving_rows_limit);
  // The zone gets no rows for a new backend, the next incarnation of an old one, or free rows either.
  KeyReport& next_incarnation = fleet.add(4);
  next_incarnation.zone = "east";
  next_incarnation.node = "n-0";
  fleet.reports[0].ended.push_back(KeyEnd{"i-0", "ended"});
  fleet.reports[5].ended.push_back(KeyEnd{"i-5", "ended"});
  fleet.silent = {"i-5"};
  fleet.run_with_releases(10s);
  EXPECT_EQ(fleet.rows_in("east"), 0u);
  EXPECT_EQ(fleet.rows_by_holder().count(""), 0u);
  fleet.planner.withhold_zones({});
  fleet.run_with_releases(20s);
  EXPECT_GT(fleet.rows_in("east"), 10u);
}

TEST(KeyPlanner, a_withheld_zone_keeps_its_rows_if_no_other_zone_has_backends) {
  ZonedFleet fleet;
  for (KeyReport& report : fleet.reports) report.zone = "east";
  fleet.run(3s);
  fleet.planner.withhold_zones({"east"});
  std::size_t const plans = fleet.plans;
  fleet.run(10s);
  EXPECT_EQ(fleet.plans, plans);
  EXPECT_EQ(fleet.rows_in("east"), 72u);
}

TEST(KeyPlanner, a_move_into_a_zone_that_becomes_withheld_is_redirected) {
  ZonedFleet fleet;
  fleet.run(3s);
  fleet.reports[5].state = KeyHolderState::draining;
  fleet.run(300ms);
  ASSERT_GT(fleet.rows_in("east"), 36u);
  fleet.planner.withhold_zones({"east"});
  fleet.run(300ms);
  for (KeyRow const& row : fleet.planner.table().services[0].rows)
    EXPECT_TRUE(row.next == no_holder || fleet.planner.table().holders[row.next].zone == "west");
}

}  // namespace
}  // namespace banktide
