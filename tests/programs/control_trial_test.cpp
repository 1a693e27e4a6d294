// The control plane's answers to operators under faults, alone and combined.
#include "tests/programs/control_trial.hpp"

#include "protocol/archive.hpp"

namespace banktide {
namespace {

constexpr std::size_t cores = 4;
constexpr std::uint32_t losses = 1;

ConfigurationChange make_change(Revision const version, std::string const& text = "") {
  return ConfigurationChange{version, std::to_string(version) + ":" + text};
}

bool formed(ControlTrial& t) {
  return t.stores.run_until([&] { return t.stores.all_vote(cores); }, 20s);
}

template <class T>
Task<void> finish(Task<T> task, std::optional<T>& result) {
  result = co_await std::move(task);
}

// Runs one operator's request to its end.
template <class T>
T finished(ControlTrial& t, Task<T> task) {
  std::optional<T> result;
  spawn(t.client(), finish<T>(std::move(task), result));
  t.stores.run_until([&] { return result.has_value(); }, 5s);
  return result.value_or(T{});
}

bool decided(std::uint16_t const status) { return status != 0 && status != 503; }

Task<void> send_until_decided(ControlTrial& t, ConfigurationChange const change, std::size_t const registry,
                              std::uint16_t& status) {
  while (!decided(status)) {
    HttpReply const reply = co_await t.send(registry, change);
    status = reply.status;
  }
}

std::uint16_t sent(ControlTrial& t, std::size_t const registry, ConfigurationChange const& change) {
  return finished(t, t.send(registry, change)).status;
}

void cut_off(ControlTrial& t, std::vector<std::size_t> const& these) {
  for (std::size_t const a : these)
    for (std::size_t b = 0; b < cores; ++b) {
      if (std::find(these.begin(), these.end(), b) != these.end()) continue;
      t.stores.sim.cut(ControlTrial::machine(a), ControlTrial::machine(b));
      t.stores.sim.cut(ControlTrial::machine(b), ControlTrial::machine(a));
    }
}

TEST(ControlTrial, of_two_operators_with_one_version_exactly_one_is_confirmed) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ControlTrial t(seed, cores, losses, 0);
    ASSERT_TRUE(formed(t));
    for (Revision version = 5; version < 15; ++version) {
      std::array<std::uint16_t, 2> statuses{};
      for (std::size_t operator_ = 0; operator_ < 2; ++operator_) {
        ConfigurationChange const change = make_change(version, operator_ == 0 ? "one" : "other");
        spawn(t.client(), send_until_decided(t, change, operator_ + 1, statuses[operator_]));
      }
      ASSERT_TRUE(t.stores.run_until([&] { return decided(statuses[0]) && decided(statuses[1]); }, 10s));
      std::sort(statuses.begin(), statuses.end());
      EXPECT_EQ(statuses[0], 200u) << "seed " << seed << " version " << version;
      EXPECT_EQ(statuses[1], 409u) << "seed " << seed << " version " << version;
    }
  }
}

TEST(ControlTrial, a_change_is_acknowledged_again_later_anywhere_and_after_everything_restarted) {
  ControlTrial t(2, cores, losses, 0);
  ASSERT_TRUE(formed(t));
  for (Revision version = 10; version <= 30; version += 10) ASSERT_EQ(sent(t, 0, make_change(version, "first")), 200u);
  for (std::size_t i = 0; i < cores; ++i) t.power_off(i);
  for (std::size_t i = 0; i < cores; ++i) t.start(i, false);
  ASSERT_TRUE(formed(t));
  t.stores.run_for(3s);
  for (std::size_t registry = 0; registry < cores; ++registry)
    for (Revision version = 10; version <= 30; version += 10) {
      EXPECT_EQ(sent(t, registry, make_change(version, "first")), 200u);
      EXPECT_EQ(sent(t, registry, make_change(version, "second")), 409u);
    }
  EXPECT_EQ(finished(t, t.read(1)).body, "30:first");
}

// Guards against a change that never gets a final answer: while no value is held, version 0 isn't newer than it.
TEST(ControlTrial, version_zero_is_refused_while_nothing_is_held_and_then_acknowledged_as_any_older_one) {
  ControlTrial t(3, cores, losses, 0);
  ASSERT_TRUE(formed(t));
  EXPECT_EQ(sent(t, 0, make_change(0, "zero")), 409u);
  EXPECT_EQ(sent(t, 1, make_change(4, "four")), 200u);
  EXPECT_EQ(sent(t, 0, make_change(0, "zero")), 200u);
  EXPECT_EQ(sent(t, 2, make_change(0, "other")), 409u);
  EXPECT_EQ(finished(t, t.read(1)).body, "4:four");
}

TEST(ControlTrial, an_isolated_registry_returns_and_confirms_nothing_and_says_so_in_time) {
  for (std::size_t const alone : {0u, 3u}) {
    ControlTrial t(3 + alone, cores, losses, 0);
    ASSERT_TRUE(formed(t));
    ASSERT_EQ(sent(t, alone, make_change(10)), 200u);
    cut_off(t, {alone});
    std::size_t const other = (alone + 1) % cores;
    Instant const end = t.stores.sim.now + 20s;
    for (Revision version = 11; t.stores.sim.now < end; ++version) {
      ASSERT_EQ(sent(t, other, make_change(version)), 200u);
      Instant const asked = t.stores.sim.now;
      EXPECT_EQ(finished(t, t.read(alone)).status, 503u);
      EXPECT_EQ(sent(t, alone, make_change(version + 1000)), 503u);
      EXPECT_LT(t.stores.sim.now - asked, 2s);
    }
    // Right after the partition heals, a read that began before may still be in flight.
    t.stores.sim.heal();
    Revision const newest = 5000;
    ASSERT_EQ(sent(t, other, make_change(newest)), 200u);
    HttpReply const seen = finished(t, t.read(alone));
    EXPECT_TRUE(seen.status == 503 || seen.body == make_change(newest).content) << seen.body;
  }
}

TEST(ControlTrial, neither_half_of_a_partition_confirms_or_returns_anything_and_both_recover) {
  ControlTrial t(9, cores, losses, 0);
  ASSERT_TRUE(formed(t));
  ASSERT_EQ(sent(t, 0, make_change(10)), 200u);
  for (Revision round = 1; round <= 3; ++round) {
    cut_off(t, {0, 1});
    t.stores.run_for(2s);
    for (std::size_t registry = 0; registry < cores; ++registry) {
      EXPECT_EQ(sent(t, registry, make_change(10 * round + registry + 1, "half")), 503u);
      EXPECT_EQ(finished(t, t.read(registry)).status, 503u);
    }
    t.stores.sim.heal();
    t.stores.run_for(2s);
    for (std::size_t registry = 0; registry < cores; ++registry)
      EXPECT_EQ(sent(t, registry, make_change(10 * round + 10, "whole")), 200u);
  }
}

TEST(ControlTrial, the_status_reports_who_votes_and_how_many_losses_are_tolerated) {
  ControlTrial t(10, cores, losses, 0);
  ASSERT_TRUE(formed(t));
  ASSERT_EQ(sent(t, 0, make_change(10)), 200u);
  t.stores.run_for(1s);
  Json const sound = Json::parse(finished(t, t.status(1)).body);
  EXPECT_EQ(sound["voting"], 4);
  EXPECT_EQ(sound["losses_to_bear"], 1);
  EXPECT_EQ(sound["configuration"], 10);
  EXPECT_TRUE(sound["vouched"]);
  t.power_off(2);
  Json const weak = Json::parse(finished(t, t.status(1)).body);
  EXPECT_EQ(weak["voting"], 3);
  EXPECT_EQ(weak["losses_to_bear"], 0);
  EXPECT_EQ(weak["losses_wanted"], 1);
  std::size_t silent = 0;
  for (Json const& voter : weak["voters"]) silent += voter["condition"] == "silent";
  EXPECT_EQ(silent, 1u);
}

// Two operators write and three clients read all the time, at any registry, while
// faults are injected into the core: the answers must never contradict each other.
class FaultTrial {
 public:
  explicit FaultTrial(std::uint64_t const seed) : t(seed, cores, losses, spares), next_spare_(cores) {
    for (std::size_t i = 0; i < cores; ++i) members_.push_back(i);
  }

  void run() {
    for (int operator_ = 0; operator_ < 2; ++operator_) spawn(t.client(), write_loop());
    for (int reader = 0; reader < 3; ++reader) spawn(t.client(), read_loop());
    t.stores.sim.after(300ms, [this] { inject_random_fault(); });
    t.stores.run_for(40s);
    stopped_ = true;
    t.stores.sim.heal();
    for (std::size_t const i : members_) recover(i);
  }

  /// All members vote again, and each registry returns the newest confirmed version.
  void expect_recovery(std::uint64_t const seed) {
    ASSERT_TRUE(t.stores.run_until([&] { return all_vote(); }, 15s)) << "seed " << seed << "\n" << t.stores.describe();
    t.stores.run_for(2s);
    for (std::size_t const i : members_) {
      HttpReply const seen = finished(t, t.read(i));
      ASSERT_EQ(seen.status, 200u) << "seed " << seed;
      EXPECT_GE(std::stoull(seen.body), t.ledger.newest()) << "seed " << seed;
    }
  }

  ControlTrial t;

 private:
  static constexpr std::size_t spares = 3;

  Task<void> write_loop() {
    while (!stopped_) {
      Revision const version = ++version_ / 2 + 1;  // each version twice
      ConfigurationChange const change = make_change(version, std::to_string(t.stores.sim.chance() % 1000));
      co_await t.submit(change, true);
      submitted_.push_back(change);
      if (t.stores.sim.chance() % 4 == 0) {
        ConfigurationChange const again = submitted_[t.stores.sim.chance() % submitted_.size()];
        co_await t.submit(again, true);
      }
    }
  }
  Task<void> read_loop() {
    while (!stopped_) {
      std::size_t const at = t.any_registry();
      co_await t.check_read(at);
      co_await sleep_for(t.client(), std::chrono::milliseconds(10 + t.stores.sim.chance() % 100));
    }
  }

  void inject_random_fault() {
    if (stopped_) return;
    std::size_t const i = members_[t.stores.sim.chance() % members_.size()];
    Duration const duration = std::chrono::milliseconds(100 + t.stores.sim.chance() % 3000);
    inject_fault(i, duration);
    t.stores.sim.after(std::chrono::milliseconds(500 + t.stores.sim.chance() % 2500),
                       [this] { inject_random_fault(); });
  }

  void inject_fault(std::size_t const i, Duration const duration) {
    switch (t.stores.sim.chance() % 9) {
      case 0:
        return lose_power({i}, duration);
      case 1:
        return lose_disk(i, duration);
      case 2:
        cut(i, true, true);
        return heal_after(duration);
      case 3: {
        bool const inwards = t.stores.sim.chance() % 2 == 0;
        cut(i, inwards, !inwards);
        return heal_after(duration);
      }
      case 4:
        for (std::size_t const m : members_)
          if (t.stores.sim.chance() % 2 == 0) cut(m, true, true);
        return heal_after(duration);
      case 5:
        if (!t.up(i) || t.frozen(i)) return;
        t.freeze(i);
        return t.stores.sim.after(duration, [this, i] {
          if (t.frozen(i)) t.thaw(i);
        });
      case 6:
        t.stores.disks[i].stalled_until = t.stores.sim.now + duration;
        return;
      case 7:
        return lose_power(members_, duration / 4);
      default:
        return replace(i);
    }
  }

  void cut(std::size_t const i, bool const inwards, bool const outwards) {
    for (std::size_t const m : members_) {
      if (m == i) continue;
      if (outwards) t.stores.sim.cut(ControlTrial::machine(i), ControlTrial::machine(m));
      if (inwards) t.stores.sim.cut(ControlTrial::machine(m), ControlTrial::machine(i));
    }
  }
  void heal_after(Duration const d) {
    t.stores.sim.after(d, [this] { t.stores.sim.heal(); });
  }
  void lose_power(std::vector<std::size_t> const these, Duration const for_how_long) {
    for (std::size_t const i : these) t.power_off(i);
    t.stores.sim.after(for_how_long, [this, these] {
      for (std::size_t const i : these)
        if (std::find(members_.begin(), members_.end(), i) != members_.end()) recover(i);
    });
  }
  // A second disk is lost only after the first loss was repaired.
  void lose_disk(std::size_t const i, Duration const for_how_long) {
    if (disk_lost_ || !all_vote()) return;
    disk_lost_ = true;
    t.power_off(i);
    t.stores.wipe(i);
    t.stores.sim.after(for_how_long, [this, i] { recover(i); });
    await_repair();
  }
  void replace(std::size_t const i) {
    if (disk_lost_ || next_spare_ == cores + spares || !all_vote()) return;
    disk_lost_ = true;
    t.power_off(i);
    std::erase(members_, i);
    t.stores.sim.after(1s, [this] {
      t.stores.seeds = listed_members();
      members_.push_back(next_spare_);
      recover(next_spare_++);
      await_repair();
    });
  }
  /// The seeds of a process that starts now: three machines of the control plane.
  std::vector<Address> listed_members() const {
    std::vector<Address> listed;
    for (std::size_t k = 0; k < std::min<std::size_t>(3, members_.size()); ++k)
      listed.push_back(t.stores.addresses[members_[k]]);
    return listed;
  }
  void await_repair() {
    t.stores.sim.after(500ms, [this] {
      if (all_vote())
        disk_lost_ = false;
      else
        await_repair();
    });
  }
  void recover(std::size_t const i) {
    if (!t.up(i)) t.start(i, false);
    if (t.frozen(i)) t.thaw(i);
  }
  bool all_vote() {
    return std::all_of(members_.begin(), members_.end(), [this](std::size_t const i) {
      return t.up(i) && !t.frozen(i) && t.stores.acceptors[i]->voting() &&
             find_entry(t.stores.acceptors[i]->set(), t.stores.addresses[i]) != nullptr;
    });
  }

  std::vector<std::size_t> members_;
  std::size_t next_spare_;
  std::vector<ConfigurationChange> submitted_;
  Revision version_ = 0;
  bool disk_lost_ = false, stopped_ = false;
};

class CombinedFaults : public testing::TestWithParam<std::uint64_t> {};

TEST_P(CombinedFaults, answers_to_operators_never_contradict_each_other) {
  FaultTrial trial(GetParam());
  ASSERT_TRUE(formed(trial.t));
  trial.run();
  trial.expect_recovery(GetParam());
  EXPECT_EQ(trial.t.ledger.contradictions, std::vector<std::string>{});
  EXPECT_GT(trial.t.ledger.acknowledgements, 10u);
  EXPECT_GT(trial.t.ledger.readings, 50u);
  EXPECT_LE(trial.t.longest_answer, 1s);
}
INSTANTIATE_TEST_SUITE_P(Seeds, CombinedFaults, testing::Range<std::uint64_t>(1, 41));

// The ledger detects faults that are built in on purpose.
class BrokenControl : public testing::TestWithParam<char const*> {};

TEST_P(BrokenControl, is_detected) {
  std::size_t contradictions = 0;
  for (std::uint64_t seed = 1; seed <= 20 && contradictions == 0; ++seed) {
    FaultTrial trial(seed);
    ASSERT_TRUE(formed(trial.t));
    mutant_name = GetParam();
    trial.run();
    mutant_name.clear();
    contradictions += trial.t.ledger.contradictions.size();
  }
  EXPECT_GT(contradictions, 0u);
}
INSTANTIATE_TEST_SUITE_P(Builds, BrokenControl, testing::Values("confirms_any_content", "shows_what_it_holds"));

TEST(ControlTrial, after_a_thousand_changes_each_member_that_restarts_is_up_to_date_in_time_and_holds_little) {
  ControlTrial t(21, cores, losses, 0);
  ASSERT_TRUE(formed(t));
  std::size_t most_bytes = 0;
  Duration slowest{};
  Revision version = 0;
  for (std::size_t member = 0; member < cores; ++member) {
    for (std::size_t n = 0; n < 250; ++n) {
      if (n == 125) t.power_off(member);
      ASSERT_EQ(sent(t, (member + 1) % cores, make_change(++version, std::string(200, 'x'))), 200u);
    }
    Instant const started = t.stores.sim.now;
    t.start(member, false);
    ASSERT_TRUE(t.stores.run_until(
        [&] {
          return t.stores.acceptors[member]->voting() &&
                 finished(t, t.read(member)).body == make_change(version, std::string(200, 'x')).content;
        },
        4s))
        << "member " << member;
    slowest = std::max<Duration>(slowest, t.stores.sim.now - started);
    // A member has recovered fully when it votes on the newest value.
    ASSERT_EQ(sent(t, member, make_change(++version)), 200u);
    t.stores.run_for(1s);
    most_bytes = std::max(most_bytes, pack(t.stores.disks[member].durable).size());
  }
  EXPECT_LE(slowest, 4s);
  EXPECT_LT(most_bytes, 24 * max_claims + 3000u);
  RecordProperty("slowest_ms", static_cast<int>(as_ms(slowest)));
  RecordProperty("most_bytes", static_cast<int>(most_bytes));
}

}  // namespace
}  // namespace banktide
