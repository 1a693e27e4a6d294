// Whole fleets on virtual time: the invariants hold under faults, and the check of each
// invariant detects a build that is broken on purpose.
#include "simulation/sim_fleet.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

inline std::string joined(std::vector<std::string> const& lines) {
  std::string out;
  for (std::size_t i = 0; i < lines.size() && i < 8; ++i) out += lines[i] + "\n";
  return out;
}

inline std::string violations_under(std::string const& deployment, std::uint64_t const seed, std::set<std::string> only,
                                    Duration const faults_for = 20s, std::string const& last = "") {
  Scenario s;
  s.seed = seed;
  s.deployment = deployment;
  s.only = std::move(only);
  s.faults_for = faults_for;
  s.last = last;
  SimFleet fleet(s);
  std::string const all = joined(fleet.run().violations());
  return all.empty() ? "" : deployment + " seed " + std::to_string(seed) + ": " + all;
}

TEST(SimFleet, without_faults_every_call_is_answered) {
  for (std::string const name : {"kibble", "nilewise"}) {
    Scenario s;
    s.deployment = name;
    s.fault_every = 0s;
    s.faults_for = 5s;
    SimFleet fleet(s);
    History const h = fleet.run();
    EXPECT_EQ(joined(h.violations()), "") << name;
    EXPECT_GT(h.calls.size(), 1000u);
    for (auto const& [id, c] : h.calls)
      EXPECT_TRUE(c.outcome == "answered" || c.outcome == "hung-up" || c.service == "promo")
          << id << " " << c.outcome << " " << c.reason;
  }
}

TEST(SimFleet, the_same_seed_replays_exactly) {
  std::array<std::uint64_t, 2> digests{};
  for (std::uint64_t& digest : digests) {
    Scenario s;
    s.seed = 42;
    s.faults_for = 10s;
    SimFleet fleet(s);
    History const h = fleet.run();
    std::string all;
    for (auto const& [id, c] : h.calls) all += id + c.outcome + std::to_string(c.answered.time_since_epoch().count());
    for (RunRecord const& r : h.runs) all += r.id + r.instance + std::to_string(r.begin.time_since_epoch().count());
    digest = digest_of(all);
  }
  EXPECT_EQ(digests[0], digests[1]);
}

TEST(SimFleet, a_frozen_registry_withholds_no_revision_from_its_zone) {
  for (std::uint64_t const seed : {100, 101}) EXPECT_EQ(violations_under("kibble", seed, {"freeze_registry"}), "");
}

TEST(SimFleet, a_registry_without_a_majority_withholds_no_revision_from_its_zone) {
  for (std::uint64_t const seed : {100, 101}) EXPECT_EQ(violations_under("kibble", seed, {"cut_core_one"}), "");
}

TEST(SimFleet, nothing_reaches_another_service_that_took_over_a_dead_backends_address) {
  for (std::uint64_t const seed : {300, 301})
    EXPECT_EQ(violations_under("kibble", seed, {"reuse_port_naive", "reuse_port_intruder"}), "");
}

// Seeds that failed: another service took over the port while the node was frozen.
TEST(SimFleet, nothing_reaches_an_address_that_was_taken_over_while_its_node_was_frozen) {
  for (std::uint64_t const seed : {17, 42, 53}) {
    Scenario s;
    s.seed = seed;
    s.only = {"freeze_node", "reuse_port_intruder", "reuse_port_naive"};
    s.fault_every = 1200ms;
    SimFleet fleet(s);
    EXPECT_EQ(joined(fleet.run().violations()), "") << seed;
  }
}

// Seeds that failed: a sender's first call to a node that had just started was held up
// by a cut link and ran past its deadline.
TEST(SimFleet, a_senders_first_call_to_a_new_node_runs_in_time_or_not_at_all) {
  for (std::uint64_t const seed : {7, 31})
    EXPECT_EQ(violations_under("kibble", seed, {"kill_herd", "drain_then_cut"}, 30s), "");
}

TEST(SimFleet, rolling_restarts_of_all_machines_lose_no_answer) {
  EXPECT_EQ(violations_under("kibble", 21, {"roll_all"}), "");
  EXPECT_EQ(violations_under("nilewise", 22, {"roll_all"}), "");
}

TEST(SimFleet, service_recovers_within_15_s_after_each_fault) {
  for (std::uint64_t const seed : {31, 32}) {
    Scenario s;
    s.seed = seed;
    s.faults_for = 150s;
    s.fault_every = 30s;
    SimFleet fleet(s);
    EXPECT_EQ(joined(fleet.run().violations()), "") << seed;
  }
}

TEST(SimFleet, the_mesh_recovers_from_a_permanent_fault_without_repair) {
  for (std::string const last : {"core_gone", "cell_gone", "disk_lost", "node_gone"})
    EXPECT_EQ(violations_under("kibble", 41, {"kill_node"}, 5s, last), "") << last;
}

TEST(SimFleet, a_hot_key_with_half_the_traffic_does_not_affect_other_keys) {
  Scenario s;
  s.rate_divisor = 1;
  s.fault_every = 0s;
  s.faults_for = 6s;
  SimFleet fleet(s);
  fleet.make_hot();
  History const h = fleet.run();
  Instant first = Instant::max();
  for (auto const& [id, c] : h.calls) first = std::min(first, c.sent);
  std::size_t hot = 0, hot_dropped = 0, others = 0, others_dropped = 0;
  Index const slices = 32;
  for (auto const& [id, c] : h.calls) {
    if (c.service != "deliveries" || c.outcome == "hung-up" || c.sent > first + 6s) continue;
    bool const same_slice = digest_of(c.key) % slices == digest_of("k0") % slices;
    (same_slice ? hot : others) += 1;
    if (c.outcome != "answered") (same_slice ? hot_dropped : others_dropped) += 1;
    EXPECT_NE(c.outcome, "lost") << id;
  }
  EXPECT_GT(hot, others / 2);
  EXPECT_GT(hot_dropped, hot / 10);  // otherwise the key wasn't hot
  EXPECT_EQ(others_dropped, 0u);
}

TEST(SimFleet, all_invariants_hold_under_all_faults) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) EXPECT_EQ(violations_under("kibble", seed, {}), "");
  for (std::uint64_t seed = 5; seed <= 7; ++seed) EXPECT_EQ(violations_under("nilewise", seed, {}), "");
}

// Each check must be able to fail: a build that is broken on purpose, and the violation
// that must be reported.
struct Broken {
  char const* mutant;
  char const* rule;
  std::set<std::string> only;
  int fault_every_ms = 2500;
  bool hot = false;  // one key receives half of the calls, and its requests are slow
};

inline std::ostream& operator<<(std::ostream& out, Broken const& b) { return out << b.mutant; }

class EachCheckFails : public testing::TestWithParam<Broken> {};

TEST_P(EachCheckFails, on_a_build_broken_on_purpose) {
  std::string seen;
  for (std::uint64_t seed = 1; seed <= 24 && seen.find(GetParam().rule) == std::string::npos; ++seed) {
    Scenario s;
    s.seed = seed;
    s.only = GetParam().only;
    s.faults_for = 20s;
    s.fault_every = std::chrono::milliseconds(GetParam().fault_every_ms);
    mutant_name = GetParam().mutant;
    {
      SimFleet fleet(s);
      if (GetParam().hot) fleet.make_hot();
      seen.clear();
      for (std::string const& line : fleet.run().violations()) seen += line + "\n";
    }
    mutant_name.clear();
  }
  EXPECT_NE(seen.find(GetParam().rule), std::string::npos) << GetParam().mutant << ": " << seen.substr(0, 1000);
}

INSTANTIATE_TEST_SUITE_P(
    Mutants, EachCheckFails,
    testing::Values(
        Broken{"tries_unknown_again", "ran twice", {}}, Broken{"calls_unknown_not_run", "said not run, and ran", {}},
        Broken{"no_sync", "two revisions with number", {"power_all", "power_two_after_vote", "power_coordinator"}},
        Broken{"own_registry_only", "was acknowledged at", {"kill_registry", "freeze_registry"}},
        Broken{"slips_back", "slipped back", {"kill_node"}},
        Broken{"drain_unheard", "after its drain", {"drain_backend", "replace_backend"}},
        Broken{"no_probe", "ran at a service that was never allowed", {"reuse_port_intruder"}},
        Broken{"trusts_thawed", "ran at the wrong service", {"freeze_node", "reuse_port_naive"}, 600},
        Broken{"old_catalogue", "where no catalogue of then lets it", {"kill_node"}},
        Broken{"swaps_answers", "wrong answer", {"kill_node"}},
        Broken{"leaves_at_once", "a planned restart lost the answer", {"roll_node"}},
        Broken{"no_budget", "extra tries to", {"kill_node"}}, Broken{"no_lease", "did not rise", {}},
        Broken{"lease_to_all", "did not rise", {}},
        Broken{"release_busy", "two backends at once", {"replace_backend", "drain_backend"}, 800, true},
        Broken{"no_lease", "two backends at once", {"replace_backend", "drain_backend"}, 800, true},
        Broken{"epochs_start_again", "did not rise", {"power_all"}, 6000},
        Broken{"takes_bad_revisions", "a bad revision was taken", {"bad_revision"}},
        Broken{"runs_late", "ran past its deadline", {"freeze_node"}},
        Broken{"drops_all", "beside a backend known to be good", {"kill_node"}},
        Broken{"crosses_first", "where a backend was known to be good", {"kill_node"}},
        Broken{"no_retry_after", "given up with no Retry-After", {"kill_node"}},
        Broken{"drops_all", "calls unserved 15 s after a fault", {"kill_node"}}),
    [](testing::TestParamInfo<Broken> const& i) {
      return std::string(i.param.mutant) + "_" + std::to_string(i.index);
    });

}  // namespace
}  // namespace banktide
