// Registries that count a maintenance window down. Regardless of which registry acts
// and which ones restart, the phases come in order, never earlier than on a single
// clock, and later by at most the time lost between two writes and while all were down.
#include "coordination/maintenance_keeper.hpp"

#include <gtest/gtest.h>

#include "coordination/fake_register_client.hpp"

namespace banktide {
namespace {

struct KeeperTrial {
  using Keeper = MaintenanceKeeper<SimProcess, FakeRegisterClient>;
  struct Registry {
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<FakeRegisterClient> store;
    std::shared_ptr<Keeper> keeper;
    bool acting = false;
  };

  explicit KeeperTrial(std::uint64_t const seed) : sim(seed), net(sim), registries(2) {
    for (std::size_t i = 0; i < registries.size(); ++i) start(i);
    registries[0].acting = true;
  }
  ~KeeperTrial() {
    for (std::shared_ptr<SimProcess> const& p : processes) p->kill();
    sim.clear();
  }

  void start(std::size_t const i) {
    Registry& r = registries[i];
    std::string const name = "r" + std::to_string(i);
    r.process = std::make_shared<SimProcess>(sim, net, name, name + ":1", 1);
    r.process->clock_offset = std::chrono::seconds(sim.chance() % 100);
    processes.push_back(r.process);
    r.store = std::make_shared<FakeRegisterClient>(*r.process, shared);
    r.keeper = std::make_shared<Keeper>(*r.process, *r.store, [&r] { return r.acting; });
    r.keeper->known = [this] { return shared.held; };
    retained.push_back(r.store);
    retained.push_back(r.keeper);
    spawn(*r.process, r.keeper->run());
  }
  void run_for(Duration const d) { sim.run_until(sim.now + d); }

  void mark(std::size_t const i, Duration const opens_in, Duration const lasts) {
    MaintenanceWindowSpec wish;
    wish.zone = "z";
    wish.opens_in = opens_in;
    wish.lasts = lasts;
    wish.lead = 20s;
    wish.return_time = 10s;
    bool done = false;
    spawn(*registries[i].process, [](Keeper& keeper, MaintenanceWindowSpec const wanted, bool& to) -> Task<void> {
      MaintenanceEdit const edit = [wanted](MaintenancePlan& plan) -> Result<bool> {
        return plan.schedule(wanted) == ScheduleOutcome::scheduled;
      };
      Result<MaintenancePlan> const plan = co_await keeper.change(edit);
      to = plan.has_value();
    }(*registries[i].keeper, wish, done));
    run_for(200ms);
    EXPECT_TRUE(done);
  }
  MaintenanceWindow window(std::size_t const i) const {
    MaintenancePlan const plan = registries[i].keeper->plan();
    MaintenanceWindow const* const w = plan.newest("z");
    return w == nullptr ? MaintenanceWindow{} : *w;
  }

  Sim sim;
  SimNet net;
  SharedRegister shared;
  std::vector<std::shared_ptr<SimProcess>> processes;
  std::vector<std::shared_ptr<void>> retained;
  std::vector<Registry> registries;
};

TEST(MaintenanceKeeper, all_registries_change_phase_at_the_same_time) {
  KeeperTrial trial(1);
  trial.mark(0, 60s, 30s);
  trial.run_for(30s);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(trial.window(i).phase, MaintenancePhase::scheduled);
  trial.run_for(11s);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(trial.window(i).phase, MaintenancePhase::draining);
  trial.run_for(20s);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(trial.window(i).phase, MaintenancePhase::open);
  trial.run_for(30s);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(trial.window(i).phase, MaintenancePhase::returning);
  trial.run_for(10s);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(trial.window(i).phase, MaintenancePhase::over);
  std::size_t const writes = trial.shared.writes;
  EXPECT_LT(writes, 40u);
  trial.run_for(60s);
  EXPECT_EQ(trial.shared.writes, writes) << "nothing is left to count";
}

TEST(MaintenanceKeeper, a_restart_of_all_loses_only_the_time_since_the_last_write) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    KeeperTrial trial(seed);
    trial.mark(0, 300s, 30s);
    Duration lost{};
    for (int i = 0; i < 5; ++i) {
      trial.run_for(std::chrono::milliseconds(8000 + trial.sim.chance() % 20000));
      for (std::size_t r = 0; r < 2; ++r) trial.registries[r].process->kill();
      Duration const down = std::chrono::milliseconds(trial.sim.chance() % 4000);
      trial.run_for(down);
      for (std::size_t r = 0; r < 2; ++r) trial.start(r);
      lost += down + 5500ms;
    }
    Instant const marked_at{std::chrono::hours(1)};
    trial.run_for(500ms);
    Duration const passed = trial.sim.now - marked_at;
    std::int64_t const on_one_clock = as_ms(Duration(300s) - passed);
    EXPECT_GE(trial.window(0).remaining, on_one_clock) << "never earlier; seed " << seed;
    EXPECT_LE(trial.window(0).remaining, on_one_clock + as_ms(lost)) << "seed " << seed;
  }
}

TEST(MaintenanceKeeper, registries_that_act_at_once_or_in_turn_count_no_time_twice) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    KeeperTrial trial(seed);
    trial.mark(1, 200s, 30s);
    for (int i = 0; i < 100; ++i) {
      for (KeeperTrial::Registry& r : trial.registries) r.acting = trial.sim.chance() % 2 == 0;
      trial.run_for(1s);
    }
    std::int64_t const on_one_clock = as_ms(Duration(200s) - (trial.sim.now - Instant{std::chrono::hours(1)}));
    for (std::size_t i = 0; i < 2; ++i) {
      EXPECT_GE(trial.window(i).remaining, on_one_clock) << "seed " << seed;
      EXPECT_LE(trial.window(i).remaining, on_one_clock + 6000) << "seed " << seed;
    }
  }
}

TEST(MaintenanceKeeper, without_a_majority_the_phases_continue_and_are_written_afterwards) {
  KeeperTrial trial(1);
  trial.mark(0, 60s, 30s);
  trial.shared.reachable = false;
  trial.run_for(61s);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(trial.window(i).phase, MaintenancePhase::open);
  trial.shared.reachable = true;
  trial.run_for(2s);
  EXPECT_EQ(unpack_maintenance(trial.shared.held.bytes)->newest("z")->phase, MaintenancePhase::open);
}

}  // namespace
}  // namespace banktide
