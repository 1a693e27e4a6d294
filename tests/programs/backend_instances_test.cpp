// The instances of a machine's backend follow one another while their heartbeats come late and their node restarts, on
// whole meshes on virtual time: no two instances that are up hold a key, none gets requests after its sign-off was
// acknowledged, and the living one gets keys and requests again.
#include "tests/programs/instances_trial.hpp"

#include <cstdlib>
#include <random>

namespace banktide {
namespace {

class BackendInstances : public testing::TestWithParam<bool> {};

std::string name_of(testing::TestParamInfo<bool> const& parameter) {
  return parameter.param ? "backends_tell_their_id" : "backends_tell_no_id";
}
INSTANTIATE_TEST_SUITE_P(Identification, BackendInstances, testing::Bool(), name_of);

// Guards against OWNER: a restarted node took a late heartbeat of its backend's former instance for the living one, and
// had the keys of the living one granted to others.
TEST_P(BackendInstances, a_restarted_node_that_first_hears_a_former_instance_leaves_the_living_one_its_keys) {
  InstancesTrial t(1, GetParam());
  t.form();
  MeshTrial::Machine& machine = t.machine("accounts-0-a");
  BackendHeartbeat const late = t.replace_in_order(machine);
  ASSERT_TRUE(t.run_until([&] { return t.holds_keys(machine); }, 15s));
  t.restart_node(machine);
  t.run_for(300ms);
  t.mesh.deliver(machine, late);
  t.run_for(3500ms);
  EXPECT_TRUE(t.holds_keys(machine)) << "within two of its heartbeats";
  t.run_for(10s);
  EXPECT_TRUE(t.holds_keys(machine));
  EXPECT_LE(t.longest_double_hold, longest_overlap);
  EXPECT_GT(t.executions_on(machine.backend->id, t.mesh.sim.now - 5s), 0u);
}

// The same after a crash: nothing was signed off, and only the key table names the living instance.
TEST_P(BackendInstances, a_restarted_node_that_first_hears_a_crashed_instance_leaves_the_living_one_its_keys) {
  InstancesTrial t(2, GetParam());
  t.form();
  MeshTrial::Machine& machine = t.machine("accounts-0-a");
  std::vector<BackendHeartbeat> const late = t.crash(machine, 2);
  ASSERT_TRUE(t.run_until([&] { return t.holds_keys(machine); }, 20s));
  t.restart_node(machine);
  t.run_for(300ms);
  for (BackendHeartbeat const& heartbeat : late) t.mesh.deliver(machine, heartbeat);
  t.run_for(4s);
  EXPECT_TRUE(t.holds_keys(machine));
  t.run_for(10s);
  EXPECT_LE(t.longest_double_hold, longest_overlap);
  EXPECT_GT(t.executions_on(machine.backend->id, t.mesh.sim.now - 5s), 0u);
}

// Guards against OWNER: late heartbeats of a crashed instance made the node report the living one as ended.
TEST_P(BackendInstances, late_heartbeats_of_a_crashed_instance_take_no_keys_from_the_living_one) {
  for (Duration const gap : {Duration(10ms), Duration(700ms)}) {
    InstancesTrial t(3, GetParam());
    t.form();
    MeshTrial::Machine& machine = t.machine("accounts-0-a");
    std::vector<BackendHeartbeat> const late = t.crash(machine, 2);
    ASSERT_TRUE(t.run_until([&] { return t.holds_keys(machine); }, 20s));
    t.run_for(1600ms);
    for (BackendHeartbeat const& heartbeat : late) {
      t.mesh.deliver(machine, heartbeat);
      t.run_for(gap);
    }
    t.run_for(5s);
    EXPECT_TRUE(t.holds_keys(machine)) << gap.count();
    t.run_for(10s);
    EXPECT_LE(t.longest_double_hold, longest_overlap) << gap.count();
    EXPECT_GT(t.executions_on(machine.backend->id, t.mesh.sim.now - 5s), 0u) << gap.count();
  }
}

// Guards against OWNER: a refused connection ended a backend that still ran and held keys, and it got no keys ever
// again.
TEST_P(BackendInstances, a_living_instance_that_refuses_connections_keeps_its_keys_while_it_may_hold_them) {
  for (Duration const refusing : {Duration(300ms), Duration(3s), Duration(9s)}) {
    InstancesTrial t(9, GetParam());
    t.form();
    MeshTrial::Machine& machine = t.machine("accounts-0-a");
    std::string const instance = machine.backend->id;
    machine.backend->listens = false;
    t.run_for(refusing);
    machine.backend->listens = true;
    t.run_for(15s);
    EXPECT_LE(t.longest_double_hold, longest_overlap) << as_ms(refusing);
    EXPECT_TRUE(t.holds_keys(machine)) << as_ms(refusing);
    EXPECT_EQ(t.mesh.keys_held(), 65536u) << as_ms(refusing);
    EXPECT_GT(t.executions_on(instance, t.mesh.sim.now - 5s), 0u) << as_ms(refusing);
  }
}

// The other side of it: the keys of an instance whose process has gone are held by others once its hold has run out.
TEST_P(BackendInstances, keys_of_a_crashed_instance_that_refuses_connections_move_when_its_hold_has_run_out) {
  InstancesTrial t(10, GetParam());
  t.form();
  MeshTrial::Machine& machine = t.machine("accounts-0-a");
  t.end(*machine.backend);
  EXPECT_TRUE(t.run_until([&] { return t.mesh.keys_held() == 65536; }, 8s));
  EXPECT_LE(t.longest_double_hold, longest_overlap);
}

// Guards against a loss of seconds after a crash: the next instance waited until its former one, which was to send its
// next heartbeat at once, had been silent for 3 s.
TEST_P(BackendInstances, the_next_instance_is_taken_with_its_first_heartbeat_if_the_former_one_is_overdue) {
  InstancesTrial t(11, GetParam());
  t.form();
  MeshTrial::Machine& machine = t.machine("accounts-0-a");
  t.drain_until_keys_are_let_go(machine);
  t.run_for(2s);
  t.crash(machine, 1);
  EXPECT_TRUE(t.run_until([&] { return t.is_offered(machine); }, 300ms));
  EXPECT_TRUE(t.run_until([&] { return t.holds_keys(machine); }, 10s));
  EXPECT_LE(machine.backend->heartbeats, 2u) << "heartbeats until it held keys";
}

// Guards against DRAIN: a node that was restarted after it had acknowledged a sign-off took a late heartbeat of that
// instance for one of an instance in service.
TEST_P(BackendInstances, a_restarted_node_sends_nothing_to_an_instance_that_signed_off_before) {
  InstancesTrial t(4, GetParam());
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  BackendHeartbeat const late = t.mesh.next_heartbeat(machine, *machine.backend);
  machine.backend->sends_heartbeats = false;
  ASSERT_TRUE(t.sign_off(machine));
  t.run_for(100ms);
  t.restart_node(machine);
  t.run_for(100ms);
  t.mesh.deliver(machine, late);
  t.run_for(6s);
  EXPECT_EQ(t.executions_after_sign_off(), 0u);
  t.end(*machine.backend);
  t.mesh.start_backend(machine);
  EXPECT_TRUE(t.run_until([&] { return t.is_offered(machine); }, 3500ms)) << "within two of its heartbeats";
  EXPECT_TRUE(t.run_until([&] { return t.executions_on(machine.backend->id, Instant{}) > 0; }, 15s));
}

// Guards against DRAIN: a node that was restarted after it had acknowledged a drain took a late heartbeat, sent before
// the drain, for one of an instance in service.
TEST_P(BackendInstances, a_restarted_node_sends_nothing_to_an_instance_whose_drain_was_acknowledged_before) {
  for (std::string const name : {"payments-0-a", "accounts-0-a"}) {
    InstancesTrial t(13, GetParam());
    t.form();
    MeshTrial::Machine& machine = t.machine(name);
    std::vector<BackendHeartbeat> const late{t.mesh.next_heartbeat(machine, *machine.backend),
                                             t.mesh.next_heartbeat(machine, *machine.backend)};
    ASSERT_TRUE(t.drain_with_one_heartbeat(machine)) << name;
    t.run_for(100ms);
    t.restart_node(machine);
    t.run_for(100ms);
    for (BackendHeartbeat const& heartbeat : late) {
      t.mesh.deliver(machine, heartbeat);
      t.run_for(1500ms);
    }
    t.run_for(4s);
    EXPECT_EQ(t.executions_after_drain(), 0u) << name;
    EXPECT_LE(t.longest_double_hold, longest_overlap) << name;
    t.end(*machine.backend);
    t.mesh.start_backend(machine);
    EXPECT_TRUE(t.run_until([&] { return t.is_offered(machine); }, 3500ms)) << "within two of its heartbeats";
  }
}

// The sign-off reaches a node that has just been restarted and has heard no heartbeat of the instance yet.
TEST_P(BackendInstances, a_sign_off_of_an_instance_not_heard_before_is_kept) {
  InstancesTrial t(5, GetParam());
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  BackendHeartbeat const late = t.mesh.next_heartbeat(machine, *machine.backend);
  machine.backend->sends_heartbeats = false;
  t.restart_node(machine);
  t.run_for(500ms);
  ASSERT_TRUE(t.sign_off(machine));
  t.mesh.deliver(machine, late);
  t.run_for(6s);
  EXPECT_EQ(t.executions_after_sign_off(), 0u);
}

/// Random replacements, crashes, sign-offs, restarts and freezes, while heartbeats of former instances come late.
class InstancesSoak : public InstancesTrial {
 public:
  explicit InstancesSoak(std::uint64_t const seed) : InstancesTrial(seed, seed % 3 != 0), chance_(seed) {}

  void run_events(int const events) {
    for (int i = 0; i < events; ++i) {
      inject_event();
      run_for(std::chrono::milliseconds(200 + below(1500)));
      deliver_late_ones();
    }
  }
  void settle() {
    for (auto& [name, machine] : mesh.machines)
      if (machine.process->frozen) machine.process->thaw();
    for (auto& [name, core] : mesh.cores)
      if (!core.registry_process->alive) mesh.start_registry(core);
    late_.clear();
    run_for(25s);
  }

 private:
  struct LateHeartbeat {
    std::string machine;
    BackendHeartbeat heartbeat;
    Instant arrives{};
  };

  std::uint64_t below(std::uint64_t const n) { return chance_() % n; }
  MeshTrial::Machine& any_machine() {
    constexpr std::array<std::string_view, 2> services{"accounts", "payments"};
    constexpr std::array<std::string_view, 3> zones{"a", "b", "c"};
    return machine(std::string(services[below(2)]) + "-" + std::to_string(below(2)) + "-" +
                   std::string(zones[below(3)]));
  }
  void keep_for_later(MeshTrial::Machine const& of, BackendHeartbeat const& heartbeat) {
    late_.push_back(LateHeartbeat{of.name, heartbeat, mesh.sim.now + std::chrono::milliseconds(below(9000))});
  }
  void deliver_late_ones() {
    for (LateHeartbeat const& late : late_)
      if (late.arrives <= mesh.sim.now && machine(late.machine).process->alive)
        mesh.deliver(machine(late.machine), late.heartbeat);
    std::erase_if(late_, [&](LateHeartbeat const& late) { return late.arrives <= mesh.sim.now; });
  }

  void inject_event() {
    MeshTrial::Machine& of = any_machine();
    if (of.process->frozen) of.process->thaw();
    MeshTrial::Core& core = mesh.cores.at("core-" + of.zone);
    switch (below(9)) {
      case 0:
        of.backend->leaving = true;
        run_for(drain_limit);
        leave(of, 200ms);
        break;
      case 1:
        for (BackendHeartbeat const& late : crash(of, 1 + below(3))) keep_for_later(of, late);
        break;
      case 2:
      case 3:
        restart_node(of);
        break;
      case 4:
        leave(of, 3s);
        break;
      case 5:
        if (core.registry_process->alive) core.registry_process->kill();
        run_for(300ms);
        mesh.start_registry(core);
        break;
      case 6:
        of.process->freeze();
        break;
      case 7:  // its machine
        keep_for_later(of, mesh.next_heartbeat(of, *of.backend));
        of.process->kill();
        end(*of.backend);
        run_for(std::chrono::milliseconds(below(1000)));
        mesh.start_machine(of);
        break;
      case 8:
        of.backend->listens = false;
        run_for(std::chrono::milliseconds(below(4000)));
        of.backend->listens = true;
        break;
    }
  }
  // Signs off, serves on, and is followed by the next instance; a restart of the node may come in between.
  void leave(MeshTrial::Machine& of, Duration const serves_on) {
    keep_for_later(of, mesh.next_heartbeat(of, *of.backend));
    of.backend->sends_heartbeats = false;
    sign_off(of);
    if (below(2) == 0) restart_node(of);
    run_for(serves_on);
    end(*of.backend);
    run_for(100ms);
    mesh.start_backend(of);
  }

  std::mt19937_64 chance_;
  std::vector<LateHeartbeat> late_;
};

/// The number of seeds of the soak; more of them are run by hand.
std::uint64_t soak_seeds() {
  constexpr std::uint64_t short_run = 12;
  char const* const wanted = std::getenv("BANKTIDE_SOAK_SEEDS");
  return wanted == nullptr ? short_run : std::strtoull(wanted, nullptr, 10);
}

TEST(BackendInstancesSoak, no_promise_is_broken_and_all_is_served_again_afterwards) {
  for (std::uint64_t seed = 1; seed <= soak_seeds(); ++seed) {
    InstancesSoak soak(seed);
    soak.form();
    soak.run_events(40);
    soak.settle();
    EXPECT_LE(soak.longest_double_hold, longest_overlap) << "seed " << seed;
    EXPECT_EQ(soak.executions_after_sign_off(), 0u) << "seed " << seed;
    EXPECT_EQ(soak.mesh.keys_held(), 65536u) << "seed " << seed;
    for (auto const& [name, machine] : soak.mesh.machines)
      EXPECT_TRUE(soak.is_offered(machine)) << "seed " << seed << " " << name;
  }
}

TEST(SignOffs, are_known_after_the_registries_and_then_the_node_were_restarted) {
  InstancesTrial t(6);
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  BackendHeartbeat const late = t.mesh.next_heartbeat(machine, *machine.backend);
  machine.backend->sends_heartbeats = false;
  ASSERT_TRUE(t.sign_off(machine));
  t.mesh.kill_registries();
  t.run_for(300ms);
  t.mesh.start_registries();
  t.run_for(2500ms);
  t.restart_node(machine);
  t.restart_node(machine);
  t.run_for(100ms);
  t.mesh.deliver(machine, late);
  t.run_for(6s);
  EXPECT_EQ(t.executions_after_sign_off(), 0u);
}

TEST(SignOffs, are_known_when_the_own_registry_was_restarted_together_with_the_node) {
  InstancesTrial t(7);
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  BackendHeartbeat const late = t.mesh.next_heartbeat(machine, *machine.backend);
  machine.backend->sends_heartbeats = false;
  ASSERT_TRUE(t.sign_off(machine));
  MeshTrial::Core& core = t.mesh.cores.at("core-a");
  core.registry_process->kill();
  machine.process->kill();
  t.run_for(300ms);
  t.mesh.start_registry(core);
  t.mesh.start_node(machine);
  t.run_for(100ms);
  t.mesh.deliver(machine, late);
  t.run_for(6s);
  EXPECT_EQ(t.executions_after_sign_off(), 0u);
}

TEST(Drains, are_not_acknowledged_by_a_node_that_reaches_no_majority_of_the_registries) {
  InstancesTrial t(14);
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  for (std::string const core : {"core-b", "core-c"}) {
    t.mesh.sim.cut(machine.name, core);
    t.mesh.sim.cut(core, machine.name);
  }
  EXPECT_FALSE(t.drain_with_one_heartbeat(machine));
  t.mesh.sim.heal(machine.name);
  t.run_for(3s);
  EXPECT_TRUE(t.drain_with_one_heartbeat(machine)) << "it is acknowledged when it comes again";
}

TEST(Drains, are_known_after_the_registries_and_then_the_node_were_restarted) {
  InstancesTrial t(15);
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  BackendHeartbeat const late = t.mesh.next_heartbeat(machine, *machine.backend);
  ASSERT_TRUE(t.drain_with_one_heartbeat(machine));
  t.mesh.kill_registries();
  t.run_for(300ms);
  t.mesh.start_registries();
  t.run_for(2500ms);
  t.restart_node(machine);
  t.run_for(100ms);
  t.mesh.deliver(machine, late);
  t.run_for(4s);
  EXPECT_EQ(t.executions_after_drain(), 0u);
}

TEST(SignOffs, are_not_acknowledged_by_a_node_that_reaches_no_majority_of_the_registries) {
  InstancesTrial t(8);
  t.form();
  MeshTrial::Machine& machine = t.machine("payments-0-a");
  for (std::string const core : {"core-b", "core-c"}) {
    t.mesh.sim.cut(machine.name, core);
    t.mesh.sim.cut(core, machine.name);
  }
  machine.backend->sends_heartbeats = false;
  EXPECT_FALSE(t.sign_off(machine));
  t.mesh.sim.heal(machine.name);
  t.run_for(3s);
  EXPECT_TRUE(t.sign_off(machine)) << "it is acknowledged when it comes again";
}

}  // namespace
}  // namespace banktide
