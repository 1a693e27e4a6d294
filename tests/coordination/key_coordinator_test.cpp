// The coordinator's loop on a store with a single value: it writes the first table, and reads again when another
// coordinator's table was written first.
#include "coordination/key_coordinator.hpp"

#include <gtest/gtest.h>

#include "simulation/sim_world.hpp"

namespace banktide {
namespace {

struct OneValueStore {
  RegisterValue held;
  std::size_t conflicts = 0;
  std::function<void()> before_change;

  Task<Result<RegisterValue>> read(Register, RegisterValue, Instant) { co_return held; }
  template <class Step>
  Task<Result<RegisterValue>> change(Register, std::string, Instant, Step step) {
    if (before_change) before_change();
    Result<RegisterValue> next = step(held);
    if (next) {
      held = *next;
    } else {
      ++conflicts;
    }
    co_return next;
  }
};

KeyReport serving_report(std::string const& instance) {
  KeyReport report;
  report.service = "payments";
  report.instance = instance;
  report.node = "node-of-" + instance;
  report.leased = true;
  return report;
}

Task<void> send_reports(SimProcess& process, Address const to) {
  for (int i = 0; i < 40; ++i) {
    for (std::string const instance : {"i-1", "i-2"}) {
      KeyReport const report = serving_report(instance);
      co_await ask(process, to, report, process.now() + 500ms);
    }
    co_await sleep_for(process, 250ms);
  }
}

struct CoordinatorTrial {
  CoordinatorTrial() : sim(5), net(sim) {
    registry = start("registry");
    node = start("node");
    coordinator = std::make_unique<KeyCoordinator<SimProcess, OneValueStore>>(*registry, store, KeySettings{},
                                                                              [this] { return acting; });
    coordinator->attach(dispatcher);
    registry->serve(dispatcher);
    spawn(*registry, coordinator->run());
    spawn(*node, send_reports(*node, "registry:1"));
  }
  ~CoordinatorTrial() {
    registry->kill();
    node->kill();
    sim.clear();
  }
  std::shared_ptr<SimProcess> start(std::string const& name) {
    std::shared_ptr<SimProcess> process = std::make_shared<SimProcess>(sim, net, name, name + ":1", 1);
    net.at[name + ":1"] = process;
    net.machine_of[name + ":1"] = process->machine;
    return process;
  }

  Sim sim;
  SimNet net;
  OneValueStore store;
  Dispatcher dispatcher;
  bool acting = true;
  std::shared_ptr<SimProcess> registry, node;
  std::unique_ptr<KeyCoordinator<SimProcess, OneValueStore>> coordinator;
};

TEST(KeyCoordinator, writes_the_first_table_once_all_nodes_have_reported) {
  CoordinatorTrial trial;
  trial.sim.run_until(trial.sim.now + 5s);
  Result<KeyTable> const table = unpack_key_table(trial.store.held.bytes, trial.store.held.revision);
  ASSERT_TRUE(table);
  EXPECT_NE(table->find("payments", 0), nullptr);
  EXPECT_NE(table->find("payments", 65535), nullptr);
  EXPECT_EQ(table->holders.size(), 2u);
}

TEST(KeyCoordinator, an_inactive_coordinator_writes_nothing) {
  CoordinatorTrial trial;
  trial.acting = false;
  trial.sim.run_until(trial.sim.now + 5s);
  EXPECT_EQ(trial.store.held.revision, 0u);
}

TEST(KeyCoordinator, accepts_the_table_that_was_written_first) {
  CoordinatorTrial trial;
  KeyTable other;
  other.add_holder(KeyHolderRecord{"i-1", "node-of-i-1", "", ""});
  KeyRow row;
  row.to = last_key;
  row.holder = 0;
  row.fence = 40;
  other.services.push_back(KeyService{"payments", {row}});
  trial.store.before_change = [&] {
    if (trial.store.held.revision > 0) return;
    trial.store.held.revision = 1;
    trial.store.held.bytes = pack_key_table(other);
  };
  trial.sim.run_until(trial.sim.now + 5s);
  EXPECT_GE(trial.store.conflicts, 1u);
  EXPECT_GE(trial.coordinator->table().revision, 1u);
  KeyHolderRecord const* const holder = trial.coordinator->table().find("payments", 7);
  ASSERT_NE(holder, nullptr);
  EXPECT_EQ(holder->instance, "i-1");
}

}  // namespace
}  // namespace banktide
