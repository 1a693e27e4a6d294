// Readings that askers share: how many there are, and whom each of them serves.
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
    ++readings;
    co_await sleep_for(*process, takes);
    co_return works;
  }
  Task<void> ask_once(Duration const patience) {
    Instant const came = process->now();
    bool const good = co_await shared->read_fresh(came + patience);
    ++answered;
    served += good;
    stale += good && *shared->latest_start() < came;
    longest = std::max(longest, process->now() - came);
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
  Duration takes = 20ms;
  bool works = true;
  std::size_t readings = 0, answered = 0, served = 0, stale = 0;
  Duration longest{};
};

TEST(SharedReading, all_who_ask_while_one_is_under_way_share_the_next_one) {
  SharedReadingTrial t;
  t.run_for(1s);
  std::size_t const before = t.readings;
  for (int wave = 0; wave < 5; ++wave) {
    t.ask(200, 300ms);
    t.run_for(1ms);
  }
  t.run_for(300ms);
  EXPECT_EQ(t.served, 1000u);
  EXPECT_EQ(t.stale, 0u) << "served by a reading that began before it was asked for";
  EXPECT_LE(t.readings - before, 4u);
}

TEST(SharedReading, goes_on_by_itself_and_at_a_bounded_rate_however_often_it_is_asked) {
  SharedReadingTrial t;
  t.run_for(2s);
  std::size_t const alone = t.readings;
  EXPECT_GE(alone, 8u);
  EXPECT_LE(alone, 11u);
  for (int i = 0; i < 2000; ++i) {
    t.ask(3, 300ms);
    t.run_for(1ms);
  }
  t.run_for(300ms);
  EXPECT_EQ(t.served, 6000u);
  EXPECT_LE(t.readings - alone, static_cast<std::size_t>(2300ms / (t.takes + t.settings.min_pause)) + 1);
}

TEST(SharedReading, an_asker_is_told_no_at_its_deadline_while_readings_fail) {
  SharedReadingTrial t;
  t.run_for(500ms);
  t.works = false;
  t.ask(10, 300ms);
  t.run_for(400ms);
  EXPECT_EQ(t.answered, 10u);
  EXPECT_EQ(t.served, 0u);
  EXPECT_LE(t.longest, 310ms);
  Instant const last_good = *t.shared->latest_start();
  t.run_for(1s);
  EXPECT_EQ(*t.shared->latest_start(), last_good);
  t.works = true;
  t.ask(1, 300ms);
  t.run_for(400ms);
  EXPECT_EQ(t.served, 1u);
}

TEST(SharedReading, a_process_that_ends_leaves_no_asker_behind) {
  SharedReadingTrial t;
  t.takes = 10s;
  t.run_for(100ms);
  t.ask(5, 5s);
  t.run_for(100ms);
  t.process->kill();
  t.run_for(6s);
  EXPECT_EQ(t.answered, 0u);
}

}  // namespace
}  // namespace banktide
