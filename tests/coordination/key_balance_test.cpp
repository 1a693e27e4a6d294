// Load balancing of keys by real KeyGranters and a KeyPlanner, in a model of a fleet on virtual time: requests arrive
// at random, busy keys are close to each other, and a moving row has no new holder until the old one has released it.
#include "coordination/key_granter.hpp"
#include "state/key_planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <memory>
#include <random>

namespace banktide {
namespace {

constexpr std::size_t key_count = 65536;
constexpr Duration step = 100ms;

// Requests per second on each key.
using Traffic = std::vector<double>;

// Items with Zipf-like popularity. The most popular ones, which receive the given part of all requests, are on
// adjacent keys, the others on random keys.
Traffic skewed(double const rate, double const busy_part, std::size_t const busy_from, std::size_t const busy_keys) {
  constexpr std::size_t items = 60000;
  constexpr double skew = 0.84;
  std::mt19937_64 chance(17);
  double all = 0, drawn = 0;
  for (std::size_t i = 1; i <= items; ++i) all += std::pow(i, -skew);
  Traffic traffic(key_count, 0);
  for (std::size_t i = 1; i <= items; ++i) {
    double const part = std::pow(i, -skew) / all;
    std::size_t const key = drawn < busy_part ? busy_from + chance() % busy_keys : chance() % key_count;
    traffic[key % key_count] += rate * part;
    drawn += part;
  }
  return traffic;
}

struct BalanceTrial {
  struct Member {
    std::unique_ptr<KeyGranter> granter;
    std::string instance;
    double capacity = 0;
    std::uint64_t heartbeats = 0;
    std::vector<HeldRange> held;
    Duration until_report{};
    std::size_t largest_report = 0;
  };

  explicit BalanceTrial(std::vector<double> const& capacities) : planner(KeySettings{}) {
    for (std::size_t i = 0; i < capacities.size(); ++i) {
      Member member;
      std::string const node = "node-" + std::to_string(i);
      member.instance = "i-" + std::to_string(i);
      member.capacity = capacities[i];
      member.until_report = step * static_cast<int>(i % 5);
      member.granter = std::make_unique<KeyGranter>("payments", node, node + ":1", "zone", KeySettings{}, Instant{});
      members.push_back(std::move(member));
    }
  }

  void set_traffic(Traffic const& wanted) {
    traffic = wanted;
    draw = std::discrete_distribution<std::size_t>(traffic.begin(), traffic.end());
    all = 0;
    for (double const rate : traffic) all += rate;
  }

  std::vector<KeyRow> const& rows() const { return planner.table().services.at(0).rows; }

  // Each backend's requests per second by the table; moving rows count for their current holder.
  std::vector<double> demands() const {
    std::vector<double> demands(members.size(), 0);
    if (planner.table().services.empty()) return demands;
    for (KeyRow const& row : rows()) {
      if (row.holder == no_holder) continue;
      double& demand = demands[member_of(row.holder)];
      for (std::size_t key = row.from; key <= row.to; ++key) demand += traffic[key];
    }
    return demands;
  }
  std::size_t member_of(std::uint16_t const holder) const {
    return static_cast<std::size_t>(std::stoi(planner.table().holders[holder].instance.substr(2)));
  }

  // The highest utilisation of a backend divided by the mean, both without the load of single keys that alone exceed
  // the mean.
  double worst_utilisation() const {
    std::vector<double> const demand = demands();
    std::vector<double> hottest(members.size(), 0);
    for (KeyRow const& row : rows())
      if (row.holder != no_holder && row.from == row.to) {
        double& most = hottest[member_of(row.holder)];
        most = std::max(most, traffic[row.from]);
      }
    double demanded = all, capacity = 0;
    for (Member const& member : members) capacity += member.capacity;
    std::vector<bool> saturated(members.size(), false);
    for (bool again = true; again;) {
      again = false;
      for (std::size_t i = 0; i < members.size(); ++i) {
        if (saturated[i] || hottest[i] * capacity <= demanded * members[i].capacity) continue;
        saturated[i] = again = true;
        demanded -= hottest[i];
        capacity -= members[i].capacity;
      }
    }
    double most = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
      double const other_demand = demand[i] - hottest[i];
      if (!saturated[i]) most = std::max(most, demand[i] / members[i].capacity);
      if (saturated[i]) most = std::max(most, other_demand / members[i].capacity);
    }
    return most * capacity / demanded;
  }

  void requests() {
    if (planner.table().services.empty() || all <= 0) return;
    std::poisson_distribution<int> coming(all * std::chrono::duration<double>(step).count());
    for (int n = coming(chance); n > 0; --n) {
      std::size_t const key = draw(chance);
      KeyRow const* const row = planner.table().services[0].row_of(static_cast<std::uint16_t>(key));
      if (row->holder != no_holder) members[member_of(row->holder)].granter->count(static_cast<std::uint16_t>(key));
    }
  }

  void heartbeat(Member& member) {
    KeyHeartbeat heartbeat;
    heartbeat.instance = member.instance;
    heartbeat.sequence = ++member.heartbeats;
    heartbeat.held = member.held;
    heartbeat.slots = 9;
    KeyHeartbeatReply const reply = member.granter->handle_heartbeat(now, heartbeat);
    if (!reply.renews) return;
    EXPECT_LE(reply.rows.size(), KeySettings{}.held_rows_limit);
    member.held.clear();
    for (KeyGrant const& grant : reply.rows) member.held.push_back(HeldRange{grant.from, grant.to, grant.fence});
  }

  void send_report(Member& member, double const demand) {
    member.until_report -= step;
    if (member.until_report > Duration::zero() && !member.granter->has_urgent_report()) return;
    member.until_report = KeySettings{}.report_every;
    double const busy = std::min(1.3, demand / member.capacity);
    KeyReport report = member.granter->report(now, static_cast<float>(busy), static_cast<float>(member.capacity));
    Bytes bytes;
    KeyReport calm = report;
    calm.released.clear();
    SaveArchive archive(bytes);
    archive(calm);
    member.largest_report = std::max(member.largest_report, bytes.size());
    planner.on_report(now, std::move(report));
  }

  void run(Duration const d) {
    for (Instant const end = now + d; now < end; now += step) {
      requests();
      std::vector<double> const demand = demands();
      for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].granter->on_confirmed(planner.table().revision, now);
        heartbeat(members[i]);
        send_report(members[i], demand[i]);
      }
      std::optional<KeyTable> const plan = planner.plan(now);
      if (!plan) continue;
      ++tables;
      apply_table(*plan);
    }
  }

  void apply_table(KeyTable const& table) {
    for (KeyService const& service : table.services) {
      EXPECT_LE(service.rows.size(), KeySettings{}.rows_limit);
      double moving = 0;
      for (KeyRow const& row : service.rows) {
        moving += row.moving != 0 ? (row.to - row.from + 1) / 65536.0 : 0;
        if (row.moving != table.revision) continue;
        ++moved_rows;
        moved_width += (row.to - row.from + 1) / 65536.0;
      }
      EXPECT_LE(moving, KeySettings{}.moving_width_limit + 1e-9);
    }
    planner.on_table(now, table);
    for (Member& member : members) member.granter->on_table(table);
  }

  // The time until the most utilised backend is within the bound; the limit if it never is.
  Duration time_to(double const bound, Duration const limit) {
    Instant const begun = now;
    while (now - begun < limit) {
      run(step);
      if (worst_utilisation() <= bound) break;
    }
    return now - begun;
  }
  Duration time_to_first_table(Duration const limit) {
    Instant const begun = now;
    while (planner.table().services.empty() && now - begun < limit) run(step);
    return now - begun;
  }
  std::size_t largest_report() const {
    std::size_t most = 0;
    for (Member const& member : members) most = std::max(most, member.largest_report);
    return most;
  }
  void print(std::string const& what, Duration const took) const {
    std::cout << what << ": " << std::chrono::duration<double>(took).count() << " s, tables " << tables
              << ", rows moved " << moved_rows << ", width moved " << moved_width << ", rows "
              << (planner.table().services.empty() ? 0 : rows().size()) << ", worst " << worst_utilisation()
              << ", report " << largest_report() << "\n";
  }

  KeyPlanner planner;
  std::vector<Member> members;
  Traffic traffic;
  std::discrete_distribution<std::size_t> draw;
  double all = 0;
  std::mt19937_64 chance{5};
  Instant now = Instant{} + 1000s;
  std::size_t tables = 0, moved_rows = 0;
  double moved_width = 0;
};

// Nine slots with 210 ms per request, at relative speeds from 0.7 to 1.6.
std::vector<double> unequal_capacities(std::size_t const count) {
  std::vector<double> capacities;
  for (std::size_t i = 0; i < count; ++i) {
    double const speed =
        0.7 + 0.9 * static_cast<double>(i * 7 % count) / static_cast<double>(std::max<std::size_t>(count - 1, 1));
    capacities.push_back(9 / 0.21 * speed);
  }
  return capacities;
}

double capacity_of(std::vector<double> const& capacities) {
  double all = 0;
  for (double const one : capacities) all += one;
  return all;
}

constexpr double mean_utilisation = 0.75;  // of small fleets

TEST(KeyBalance, a_large_fleet_is_balanced_within_seconds_and_then_hardly_moves_rows) {
  BalanceTrial trial(unequal_capacities(44));
  trial.set_traffic(skewed(968, 0.37, 30000, 120));
  Duration const first = trial.time_to_first_table(10s);
  ASSERT_LT(first, 3s);
  EXPECT_GT(trial.worst_utilisation(), 5);
  trial.tables = 0;
  Duration const bearable = trial.time_to(1.6, 60s);
  trial.print("44 backends to 1.6 of the mean", bearable);
  EXPECT_LE(bearable, 4s);
  Duration const even = bearable + trial.time_to(1.25, 60s);
  trial.print("... to 1.25", even);
  EXPECT_LE(even, 20s);
  EXPECT_LT(trial.moved_rows, 250u);
  EXPECT_LT(trial.moved_width, 0.25);
  trial.run(40s);
  EXPECT_LE(trial.worst_utilisation(), 1.2);
  trial.tables = trial.moved_rows = 0;
  trial.run(60s);
  trial.print("... a minute later", even);
  EXPECT_LE(trial.worst_utilisation(), 1.2);
  EXPECT_LT(trial.tables, 30u);
  EXPECT_LT(trial.moved_rows, 25u);
  EXPECT_LE(trial.largest_report(), 1024u);
}

TEST(KeyBalance, shifting_busy_keys_are_rebalanced_within_seconds) {
  BalanceTrial trial(unequal_capacities(44));
  std::mt19937_64 chance(3);
  trial.set_traffic(skewed(968, 0.37, 30000, 120));
  trial.run(20s);
  Duration longest{}, longest_to_even{};
  std::size_t most_rows = 0;
  for (int shift = 0; shift < 20; ++shift) {
    bool const wide = shift % 3 == 0;
    trial.set_traffic(skewed(968, wide ? 0.26 : 0.37, chance() % 65000, wide ? 200 : 120));
    Duration const bearable = trial.time_to(1.6, 60s);
    Duration const even = bearable + trial.time_to(1.25, 60s);
    longest = std::max(longest, bearable);
    longest_to_even = std::max(longest_to_even, even);
    most_rows = std::max(most_rows, trial.rows().size());
    trial.run(40s);
    EXPECT_LE(trial.worst_utilisation(), 1.3) << shift;
    EXPECT_LE(trial.rows().size(), 680u) << shift;
  }
  trial.print("20 shifts, longest to 1.6", longest);
  trial.print("... to 1.25", longest_to_even);
  std::cout << "most rows " << most_rows << "\n";
  EXPECT_LE(longest, 8s);
  EXPECT_LE(longest_to_even, 45s);
  EXPECT_LE(trial.largest_report(), 1024u);
}

TEST(KeyBalance, small_fleets_are_balanced_within_seconds) {
  for (std::size_t const count : {2u, 5u, 6u}) {
    std::vector<double> const capacities = unequal_capacities(count);
    BalanceTrial trial(capacities);
    trial.set_traffic(skewed(mean_utilisation * capacity_of(capacities), 0.37, 30000, 120));
    trial.time_to_first_table(10s);
    Duration const even = trial.time_to(1.25, 60s);
    trial.print(std::to_string(count) + " backends to 1.25", even);
    EXPECT_LE(even, 20s) << count;
    trial.run(30s);
    EXPECT_LE(trial.worst_utilisation(), 1.2) << count;
    trial.tables = trial.moved_rows = 0;
    trial.run(60s);
    trial.print("... a minute later", even);
    EXPECT_LT(trial.tables, 12u) << count;
    EXPECT_LT(trial.moved_rows, 8u) << count;
    EXPECT_LE(trial.worst_utilisation(), 1.2) << count;
  }
}

// While one backend gets nearly all requests, the others can't report a capacity.
TEST(KeyBalance, nearly_idle_backends_take_load_from_the_only_busy_one) {
  std::vector<double> const capacities = unequal_capacities(5);
  BalanceTrial trial(capacities);
  trial.set_traffic(skewed(mean_utilisation * capacity_of(capacities), 0.97, 30000, 400));
  trial.time_to_first_table(10s);
  Duration const even = trial.time_to(1.25, 60s);
  trial.print("one busy backend of 5, to 1.25", even);
  EXPECT_LE(even, 20s);
}

TEST(KeyBalance, a_key_too_hot_for_any_backend_is_isolated_and_the_other_load_balanced) {
  for (std::size_t const count : {2u, 5u, 44u}) {
    std::vector<double> const capacities = unequal_capacities(count);
    BalanceTrial trial(capacities);
    Traffic traffic = skewed(0.3 * capacity_of(capacities), 0.2, 30000, 120);
    traffic[12345] += 3 * *std::max_element(capacities.begin(), capacities.end());
    trial.set_traffic(traffic);
    trial.run(60s);
    EXPECT_LE(trial.worst_utilisation(), 1.3) << count;
    KeyRow const& key = *trial.planner.table().services[0].row_of(12345);
    EXPECT_EQ(key.from, key.to) << count;
    std::uint32_t const fence = key.fence;
    trial.tables = trial.moved_rows = 0;
    trial.run(60s);
    trial.print(std::to_string(count) + " backends, a very hot key", 60s);
    EXPECT_LT(trial.tables, 30u) << count;
    EXPECT_EQ(trial.planner.table().services[0].row_of(12345)->fence, fence) << count;
  }
}

}  // namespace
}  // namespace banktide
