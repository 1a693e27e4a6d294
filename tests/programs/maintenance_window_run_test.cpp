// A whole maintenance window: a window is scheduled for a zone, the zone drains and
// loses power when the window opens, and the registries restart during the window.
// Afterwards the backends' ledger is compared with the clients' records. The same
// run without a scheduled window shows that the comparison detects harm.
#include "programs/mesh_trial.hpp"

namespace banktide {
namespace {

constexpr Duration opens_in = 40s;
constexpr Duration lasts = 60s;
constexpr Duration lead = 25s;
constexpr Duration settle = 15s;  // for traffic and keys to leave the zone, from the start of the drain

/** The results of a run. */
struct RunResults {
  std::size_t twice = 0;  // executions of a non-repeatable request after the first
  std::size_t lost = 0;   // reported as done to the client, but not in the ledger
  std::size_t ran_though_refused = 0;
  std::size_t unknown = 0;            // requests of live clients without a known outcome
  std::size_t repeatable_harmed = 0;  // failed, refused, or later than the aim
  Duration longest_payment{};
  Duration longest_keyed{};
  std::size_t records = 0;
  std::size_t runs_in_window = 0;
  std::size_t keys_in_window = 0;  // the most that the zone held
  std::size_t fewest_keys_held = 65536;
  std::size_t fewest_keys_in_window = 65536;
  std::size_t requests_outside_its_keys = 0;
  std::string phase;
  bool was_clear = false;
  std::size_t runs_after = 0;

  bool shows_harm() const {
    return twice + lost + ran_though_refused + unknown + repeatable_harmed > 0 || longest_keyed > 3s ||
           longest_payment > 2s;
  }
};

struct MaintenanceRun {
  explicit MaintenanceRun(std::uint64_t const seed) : mesh(seed, {"a", "b", "c"}) {}

  void sample(RunResults& m, bool const in_window) {
    if (in_window) m.keys_in_window = std::max(m.keys_in_window, mesh.keys_held("a"));
    std::size_t const held = mesh.keys_held();
    m.fewest_keys_held = std::min(m.fewest_keys_held, held);
    if (in_window) m.fewest_keys_in_window = std::min(m.fewest_keys_in_window, held);
  }
  void run_and_sample(RunResults& m, Duration const d, bool const in_window = false) {
    for (Instant const end = mesh.sim.now + d; mesh.sim.now < end;) {
      mesh.run_for(100ms);
      sample(m, in_window);
    }
  }

  RunResults execute(bool const scheduled, Duration const dark_for) {
    RunResults m;
    EXPECT_TRUE(mesh.form());
    mesh.serving = true;
    run_and_sample(m, 10s);
    std::string const body = R"({"opens_in_s":40,"lasts_s":60,"lead_s":25})";
    if (scheduled) {
      EXPECT_EQ(mesh.call_operator_interface("b", "PUT", "/maintenance/a", body).status, 200);
      EXPECT_EQ(mesh.call_operator_interface("c", "PUT", "/maintenance/a", body).status, 200);  // scheduled twice
    }
    Instant const scheduled_at = mesh.sim.now;
    run_and_sample(m, opens_in - lead + settle);
    Instant const drained_at = mesh.sim.now;
    run_and_sample(m, scheduled_at + opens_in + 1s - mesh.sim.now, true);
    if (scheduled) m.was_clear = status(0).value("clear", false);
    mesh.power_off("a");
    Instant const dark_at = mesh.sim.now;
    run_and_sample(m, 20s, true);
    mesh.kill_registries();
    run_and_sample(m, 1s, true);
    mesh.start_registries();
    Instant const closes_at = scheduled_at + opens_in + lasts;
    if (dark_at + dark_for < closes_at) {
      run_and_sample(m, dark_at + dark_for - mesh.sim.now, true);
      mesh.power_on("a");
      run_and_sample(m, closes_at - mesh.sim.now - 200ms, true);
    } else {
      run_and_sample(m, closes_at - mesh.sim.now - 200ms, true);
      run_and_sample(m, dark_at + dark_for - mesh.sim.now);
      mesh.power_on("a");
    }
    run_and_sample(m, 45s);
    m.runs_in_window = mesh.executions_in("a", drained_at, closes_at - 200ms);
    m.runs_after = mesh.executions_in("a", mesh.sim.now - 8s, mesh.sim.now);
    if (scheduled) m.phase = status(0).value("phase", "");
    mesh.serving = false;
    mesh.run_for(5s);
    compare(m, dark_at);
    return m;
  }

  Json status(std::size_t const window) {
    HttpReply const reply = mesh.call_operator_interface("c", "GET", "/maintenance");
    EXPECT_EQ(reply.status, 200);
    Json const j = Json::parse(reply.body, nullptr, false);
    if (!j.is_object() || j["windows"].size() <= window) return Json::object();
    return j["windows"][window];
  }

  // Compares each execution in the ledger with the outcome that its client was told.
  void compare(RunResults& m, Instant const dark_at) {
    std::map<std::string, std::size_t> by_attempt, by_request;
    for (LedgerEntry const& e : mesh.ledger) {
      ++by_attempt[e.request];
      ++by_request[e.request.substr(0, e.request.find('/'))];
    }
    for (std::shared_ptr<ClientRecord> const& r : mesh.records) {
      ++m.records;
      std::size_t const runs = by_request[r->request];
      bool const done = r->outcome == ClientOutcome::done;
      // A client in the zone loses power with its machine and gets no answer.
      bool const went_dark = !done && r->zone == "a" && r->begun <= dark_at && r->begun > dark_at - 5s;
      m.lost += done && by_attempt[r->request + "/" + std::to_string(r->attempts)] == 0;
      if (r->service == "browse") {
        m.repeatable_harmed += !went_dark && (!done || r->attempts > 1 || r->took > MeshTrial::aim);
        continue;
      }
      m.twice += runs > 1 ? runs - 1 : 0;
      for (std::size_t n = 1; n < r->attempts; ++n)
        m.ran_though_refused += by_attempt[r->request + "/" + std::to_string(n)] > 0;
      m.unknown += !went_dark && !done;
      if (!done) continue;
      Duration& longest = r->service == "accounts" ? m.longest_keyed : m.longest_payment;
      longest = std::max(longest, r->took);
    }
    for (std::shared_ptr<FakeBackend> const& b : mesh.all_backends)
      m.requests_outside_its_keys += b->requests_outside_its_keys;
  }

  MeshTrial mesh;
};

class MaintenanceWindowRun : public testing::TestWithParam<std::uint64_t> {};

TEST_P(MaintenanceWindowRun, leaves_ledger_and_clients_in_agreement_and_nobody_waits) {
  std::uint64_t const seed = GetParam();
  MaintenanceRun run(seed);
  // The machines come back before the window closes, or after it, by seed.
  RunResults const m = run.execute(true, seed % 2 == 0 ? 45s : 70s);
  EXPECT_GT(m.records, 3000u);
  EXPECT_EQ(m.twice, 0u);
  EXPECT_EQ(m.lost, 0u);
  EXPECT_EQ(m.ran_though_refused, 0u);
  EXPECT_EQ(m.unknown, 0u);
  EXPECT_EQ(m.repeatable_harmed, 0u);
  EXPECT_EQ(m.requests_outside_its_keys, 0u);
  EXPECT_LE(as_ms(m.longest_payment), 1000);
  EXPECT_LE(as_ms(m.longest_keyed), 3000);
  EXPECT_TRUE(m.was_clear);
  EXPECT_EQ(m.runs_in_window, 0u);
  EXPECT_EQ(m.keys_in_window, 0u);
  EXPECT_EQ(m.fewest_keys_in_window, 65536u);
  EXPECT_GT(m.fewest_keys_held, 65536u * 2 / 3);
  EXPECT_EQ(m.phase, "over");
  EXPECT_GT(m.runs_after, 50u) << "traffic has not come back";
}
INSTANTIATE_TEST_SUITE_P(Seeds, MaintenanceWindowRun, testing::Values(1, 2, 3, 4));

TEST(RunWithoutWindow, without_the_mark_the_same_night_does_harm) {
  MaintenanceRun run(1);
  RunResults const m = run.execute(false, 70s);
  EXPECT_TRUE(m.shows_harm());
  EXPECT_GT(m.runs_in_window, 0u);
  EXPECT_LT(m.fewest_keys_in_window, 65536u);
  // Even without a window, nothing is executed twice or lost.
  EXPECT_EQ(m.twice, 0u);
  EXPECT_EQ(m.lost, 0u);
  EXPECT_EQ(m.ran_though_refused, 0u);
}

// Faults during a window: the zone under maintenance stays empty while any other zone
// is up; if no other zone is up, it is used as if there were no window.
TEST(MaintenanceFaults, a_zone_under_maintenance_is_used_again_only_if_no_other_zone_is_up) {
  MeshTrial mesh(5, {"a", "b", "c"});
  ASSERT_TRUE(mesh.form());
  mesh.serving = true;
  mesh.run_for(5s);
  ASSERT_EQ(mesh.call_operator_interface("b", "PUT", "/maintenance/a", R"({"opens_in_s":30,"lasts_s":600,"lead_s":20})")
                .status,
            200);
  mesh.run_for(40s);
  mesh.power_off("b");
  mesh.run_for(10s);
  Instant const one_left = mesh.sim.now;
  mesh.run_for(10s);
  EXPECT_EQ(mesh.executions_in("a", one_left - 10s, mesh.sim.now), 0u);
  EXPECT_GT(mesh.executions_in("c", one_left, mesh.sim.now), 100u);
  mesh.power_off("c");
  mesh.run_for(10s);
  Instant const none_left = mesh.sim.now;
  mesh.run_for(10s);
  EXPECT_GT(mesh.executions_in("a", none_left, mesh.sim.now), 100u);
}

TEST(MaintenanceFaults, after_an_early_end_traffic_returns_gradually) {
  MeshTrial mesh(6, {"a", "b", "c"});
  ASSERT_TRUE(mesh.form());
  mesh.serving = true;
  ASSERT_EQ(mesh.call_operator_interface("b", "PUT", "/maintenance/a", R"({"opens_in_s":30,"lasts_s":600,"lead_s":20})")
                .status,
            200);
  mesh.run_for(40s);
  ASSERT_EQ(mesh.call_operator_interface("c", "DELETE", "/maintenance/a").status, 200);
  Instant const ended = mesh.sim.now;
  mesh.run_for(25s);
  std::size_t const first = mesh.executions_in("a", ended, ended + 3s);
  std::size_t const last = mesh.executions_in("a", ended + 22s, ended + 25s);
  EXPECT_GT(first, 0u);
  EXPECT_GT(last, 2 * first);
  EXPECT_GT(mesh.keys_held("a"), 0u);
}

}  // namespace
}  // namespace banktide
