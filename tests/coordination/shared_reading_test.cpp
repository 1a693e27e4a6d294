// Coalesced reads: how many there are, and which callers each of them serves.
#include "coordination/shared_reading.hpp"

#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

struct SharedReadingTrial {
  SharedReadingTrial() : sim(1), net(sim) {
    process = std::make_shared<SimProcess>(sim, net, "core-0", "registry:1", 1);
    net.at["registry:1"] = process;
    net.machine_of["registry:1"] = process->machine;
    shared = std::make_unique<SharedReading<SimProcess>>(*process, settings, [this] { return read(); });
    spawn(*process, shared->run());
  }
  ~SharedReadingTrial() {
    process->kill();
    sim.clear();
  }
  SharedReadingTrial(SharedReadingTrial const&) = delete;

  Task<bool> read() {
    ++reads;
    co_await sleep_for(*process, read_time);
    co_return succeeds;
  }
  Task<void> ask_once(Duration const patience) {
    Instant const called_at = process->now();
    bool const succeeded = co_await shared->read_fresh(called_at + patience);
    ++finished;
    served += succeeded;
    stale += succeeded && *shared->latest_start() < called_at;
    longest = std::max(longest, process->now() - called_at);
  }
  void ask(std::size_t const askers, Duration const patience) {
    for (std::size_t i = 0; i < askers; ++i) spawn(*process, ask_once(patience));
  }
  void run_for(Duration const d) { sim.run_until(sim.now + d); }

  Sim sim;
  SimNet net;
  SharedReadingSettings settings;
  std::shared_ptr<SimProcess> process;
  std::unique_ptr<SharedReading<SimProcess>> shared;
  Duration read_time = 20ms;
  bool succeeds = true;
  std::size_t reads = 0, finished = 0, served = 0, stale = 0;
  Duration longest{};
};

TEST(SharedReading, callers_that_arrive_during_a_read_share_the_next_one) {
  SharedReadingTrial t;
  t.run_for(1s);
  std::size_t const before = t.reads;
  for (int wave = 0; wave < 5; ++wave) {
    t.ask(200, 300ms);
    t.run_for(1ms);
  }
  t.run_for(300ms);
  EXPECT_EQ(t.served, 1000u);
  EXPECT_EQ(t.stale, 0u) << "served by a read that began before the call";
  EXPECT_LE(t.reads - before, 4u);
}

TEST(SharedReading, reads_periodically_and_at_a_bounded_rate_regardless_of_callers) {
  SharedReadingTrial t;
  t.run_for(2s);
  std::size_t const alone = t.reads;
  EXPECT_GE(alone, 8u);
  EXPECT_LE(alone, 11u);
  for (int i = 0; i < 2000; ++i) {
    t.ask(3, 300ms);
    t.run_for(1ms);
  }
  t.run_for(300ms);
  EXPECT_EQ(t.served, 6000u);
  EXPECT_LE(t.reads - alone, static_cast<std::size_t>(2300ms / (t.read_time + t.settings.min_pause)) + 1);
}

TEST(SharedReading, a_caller_gets_a_failure_at_its_deadline_while_reads_fail) {
  SharedReadingTrial t;
  t.run_for(500ms);
  t.succeeds = false;
  t.ask(10, 300ms);
  t.run_for(400ms);
  EXPECT_EQ(t.finished, 10u);
  EXPECT_EQ(t.served, 0u);
  EXPECT_LE(t.longest, 310ms);
  Instant const last_success = *t.shared->latest_start();
  t.run_for(1s);
  EXPECT_EQ(*t.shared->latest_start(), last_success);
  t.succeeds = true;
  t.ask(1, 300ms);
  t.run_for(400ms);
  EXPECT_EQ(t.served, 1u);
}

TEST(SharedReading, callers_end_with_their_process) {
  SharedReadingTrial t;
  t.read_time = 10s;
  t.run_for(100ms);
  t.ask(5, 5s);
  t.run_for(100ms);
  t.process->kill();
  t.run_for(6s);
  EXPECT_EQ(t.finished, 0u);
}

}  // namespace
}  // namespace banktide
