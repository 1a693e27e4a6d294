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

}  // namespace
}  // namespace banktide
