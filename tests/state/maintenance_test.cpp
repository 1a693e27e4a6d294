// Compares phases and countdowns of a plan with a model that has the fixed start time of each phase.
#include "state/maintenance.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

MaintenanceWindowSpec spec_of(std::string const& zone, Duration const opens_in, Duration const lasts,
                              Duration const lead = 60s) {
  MaintenanceWindowSpec spec;
  spec.zone = zone;
  spec.opens_in = opens_in;
  spec.lasts = lasts;
  spec.lead = lead;
  spec.return_time = 30s;
  return spec;
}

MaintenancePhase phase_of(MaintenancePlan const& plan, std::string const& zone) {
  MaintenanceWindow const* const window = plan.newest(zone);
  return window == nullptr ? MaintenancePhase::over : window->phase;
}

/** The expected state of a window that was scheduled at time 0 and not ended early. */
struct Model {
  MaintenanceWindowSpec spec;
  MaintenancePhase phase(Duration const at) const {
    if (at < spec.opens_in - spec.lead) return MaintenancePhase::scheduled;
    if (at < spec.opens_in) return MaintenancePhase::draining;
    if (at < spec.opens_in + spec.lasts) return MaintenancePhase::open;
    if (at < spec.opens_in + spec.lasts + spec.return_time) return MaintenancePhase::returning;
    return MaintenancePhase::over;
  }
  Duration remaining(Duration const at) const {
    switch (phase(at)) {
      case MaintenancePhase::scheduled:
      case MaintenancePhase::draining:
        return spec.opens_in - at;
      case MaintenancePhase::open:
        return spec.opens_in + spec.lasts - at;
      case MaintenancePhase::returning:
        return spec.opens_in + spec.lasts + spec.return_time - at;
      default:
        return 0s;
    }
  }
  double share(Duration const at) const {
    if (phase(at) == MaintenancePhase::scheduled || phase(at) == MaintenancePhase::over) return 1;
    if (phase(at) != MaintenancePhase::returning) return 0;
    return 1 - std::chrono::duration<double>(remaining(at)) / std::chrono::duration<double>(spec.return_time);
  }
};

TEST(Maintenance, agrees_with_fixed_start_times_when_advanced_in_steps_of_any_length) {
  std::mt19937_64 chance(1);
  auto const up_to = [&](std::uint64_t const most) { return std::chrono::milliseconds(chance() % most); };
  for (int round = 0; round < 500; ++round) {
    Model model{spec_of("z", 1s + up_to(100000), 1s + up_to(100000), up_to(60000))};
    model.spec.lead = std::min(model.spec.lead, model.spec.opens_in);
    MaintenancePlan plan;
    ASSERT_EQ(plan.schedule(model.spec), ScheduleOutcome::scheduled);
    Duration at{};
    while (phase_of(plan, "z") != MaintenancePhase::over) {
      MaintenancePhase const before = phase_of(plan, "z");
      std::chrono::milliseconds const step = chance() % 20 == 0 ? up_to(90000) : up_to(5000);
      at += step;
      bool const changed = plan.advance(step);
      ASSERT_EQ(phase_of(plan, "z"), model.phase(at)) << "round " << round << " at " << as_ms(at);
      ASSERT_EQ(changed, before != model.phase(at));
      MaintenanceWindow const& window = *plan.newest("z");
      ASSERT_EQ(window.remaining, as_ms(model.remaining(at)));
      std::map<std::string, double> const shares = plan.zone_shares();
      ASSERT_NEAR(shares.contains("z") ? shares.at("z") : 1, model.share(at), 1e-9);
      ASSERT_EQ(plan.withheld_zones().contains("z"), window.withholds());
      ASSERT_EQ(plan.current(), window.current());
      Result<MaintenancePlan> const back = unpack_maintenance(pack_maintenance(plan));
      ASSERT_TRUE(back);
      ASSERT_EQ(*back, plan);
    }
  }
}

TEST(Maintenance, a_lead_longer_than_the_time_until_the_opening_begins_at_once) {
  MaintenancePlan plan;
  plan.schedule(spec_of("z", 20s, 10s, 60s));
  EXPECT_EQ(phase_of(plan, "z"), MaintenancePhase::draining);
  EXPECT_EQ(plan.newest("z")->remaining, 20000);
}

TEST(Maintenance, a_repeat_changes_nothing_and_another_window_of_the_zone_is_refused) {
  MaintenancePlan plan;
  ASSERT_EQ(plan.schedule(spec_of("z", 100s, 50s)), ScheduleOutcome::scheduled);
  for (int i = 0; i < 3; ++i) {
    plan.advance(45s);
    MaintenancePlan const before = plan;
    EXPECT_EQ(plan.schedule(spec_of("z", 100s, 50s)), ScheduleOutcome::repeated);
    EXPECT_EQ(plan.schedule(spec_of("z", 100s, 60s)), ScheduleOutcome::overlaps_own_zone);
    EXPECT_EQ(plan, before);
  }
}

TEST(Maintenance, windows_of_two_zones_overlap_only_if_requested) {
  MaintenancePlan plan;
  ASSERT_EQ(plan.schedule(spec_of("a", 100s, 50s)), ScheduleOutcome::scheduled);
  MaintenanceWindowSpec second = spec_of("b", 200s, 50s);
  EXPECT_EQ(plan.schedule(second), ScheduleOutcome::overlaps_other_zone);  // a is back at 180 s, b drains from 140 s
  second.allow_second = true;
  EXPECT_EQ(plan.schedule(second), ScheduleOutcome::scheduled);
  MaintenancePlan apart;
  ASSERT_EQ(apart.schedule(spec_of("a", 100s, 50s)), ScheduleOutcome::scheduled);
  EXPECT_EQ(apart.schedule(spec_of("b", 240s, 50s)), ScheduleOutcome::scheduled);
}

TEST(Maintenance, a_window_ended_early_is_cancelled_or_returns_and_a_repeat_changes_nothing) {
  MaintenancePlan plan;
  EXPECT_EQ(plan.end("z"), EndOutcome::no_window);
  plan.schedule(spec_of("z", 100s, 50s));
  EXPECT_EQ(plan.end("z"), EndOutcome::ended);
  EXPECT_EQ(phase_of(plan, "z"), MaintenancePhase::cancelled);
  EXPECT_EQ(plan.end("z"), EndOutcome::already_ended);
  plan.schedule(spec_of("z", 100s, 50s));
  plan.advance(41s);
  ASSERT_EQ(phase_of(plan, "z"), MaintenancePhase::draining);
  EXPECT_EQ(plan.end("z"), EndOutcome::ended);
  EXPECT_EQ(phase_of(plan, "z"), MaintenancePhase::returning);
  EXPECT_EQ(plan.newest("z")->remaining, 30000);
  EXPECT_EQ(plan.end("z"), EndOutcome::already_ended);
  EXPECT_EQ(plan.newest("z")->remaining, 30000);
}

TEST(Maintenance, a_returning_zone_may_get_another_window) {
  MaintenancePlan plan;
  plan.schedule(spec_of("z", 100s, 50s));
  plan.advance(160s);
  ASSERT_EQ(phase_of(plan, "z"), MaintenancePhase::returning);
  EXPECT_EQ(plan.schedule(spec_of("z", 100s, 50s)), ScheduleOutcome::scheduled);
  EXPECT_EQ(phase_of(plan, "z"), MaintenancePhase::scheduled);
  EXPECT_FALSE(plan.zone_shares().contains("z"));
}

TEST(Maintenance, only_the_latest_finished_windows_are_kept) {
  MaintenancePlan plan;
  for (int i = 0; i < 40; ++i) {
    ASSERT_EQ(plan.schedule(spec_of("z" + std::to_string(i), 100s, 50s)), ScheduleOutcome::scheduled);
    plan.advance(1000s);
  }
  EXPECT_LE(plan.windows.size(), 17u);
  EXPECT_EQ(plan.windows.back().id, 40u);
  EXPECT_EQ(phase_of(plan, "z39"), MaintenancePhase::over);
}

TEST(Maintenance, bytes_that_are_no_plan_are_an_error) {
  EXPECT_TRUE(unpack_maintenance("")->windows.empty());
  EXPECT_FALSE(unpack_maintenance("x"));
  MaintenancePlan plan;
  plan.schedule(spec_of("z", 100s, 50s));
  plan.windows[0].remaining = -1;
  EXPECT_FALSE(unpack_maintenance(pack_maintenance(plan)));
  plan.windows[0].remaining = 1;
  plan.windows[0].phase = static_cast<MaintenancePhase>(9);
  EXPECT_FALSE(unpack_maintenance(pack_maintenance(plan)));
}

}  // namespace
}  // namespace banktide
