// Alarms of simulated processes.
#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(SimWorld, an_alarm_fires_on_time_can_be_woken_early_and_ends_with_its_process) {
  Sim sim(1);
  SimNet net(sim);
  std::shared_ptr<SimProcess> p = std::make_shared<SimProcess>(sim, net, "m", "a:1", 1);
  std::vector<std::pair<std::int64_t, bool>> seen;
  SimProcess::Alarm alarm(*p);
  Instant const start = sim.now;
  auto const sleeper = [&]() -> Task<void> {
    while (true) {
      bool const ran_out = co_await alarm.wait(p->now() + 100ms);
      seen.emplace_back(as_ms(p->now() - start), ran_out);
    }
  };
  spawn(*p, sleeper());
  sim.at(start + 250ms, [&] { alarm.wake(); });
  sim.at(start + 420ms, [&] { p->kill(); });
  sim.run_until(start + 2s);
  EXPECT_EQ(seen, (std::vector<std::pair<std::int64_t, bool>>{{100, true}, {200, true}, {250, false}, {350, true}}));
}

// Guards against a waiter that is never resumed: two heartbeats were held back at the same time.
TEST(SimWorld, a_new_wait_on_an_alarm_ends_the_one_before_it) {
  Sim sim(1);
  SimNet net(sim);
  std::shared_ptr<SimProcess> p = std::make_shared<SimProcess>(sim, net, "m", "a:1", 1);
  std::vector<std::pair<std::string, std::int64_t>> seen;
  SimProcess::Alarm alarm(*p);
  Instant const start = sim.now;
  auto const sleeper = [&](std::string const name, Duration const time) -> Task<void> {
    co_await alarm.wait(p->now() + time);
    seen.emplace_back(name, as_ms(p->now() - start));
  };
  spawn(*p, sleeper("first", 500ms));
  sim.at(start + 100ms, [&] { spawn(*p, sleeper("second", 200ms)); });
  sim.run_until(start + 2s);
  EXPECT_EQ(seen, (std::vector<std::pair<std::string, std::int64_t>>{{"first", 100}, {"second", 300}}));
  p->kill();
}

}  // namespace
}  // namespace banktide
