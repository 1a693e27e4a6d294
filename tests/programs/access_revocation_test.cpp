// Revocation of access keys, on whole meshes on virtual time: no process admits a request with a revoked key after the
// revocation limit, whatever it is partitioned from, and no valid key is rejected as unknown.
#include "platform/platform_adapter.hpp"
#include "tests/programs/mesh_trial.hpp"

namespace banktide {
namespace {

constexpr Duration revocation_limit = 5s;
constexpr Duration request_interval = 100ms;

/// Version 1 has two keys; later versions have only the second.
ServiceConfiguration one_key_fewer(std::uint64_t const version) {
  std::string const keys = version == 1 ? R"("dropped","kept")" : R"("kept")";
  std::string routes, services;
  for (std::string_view const service : trial_services) {
    std::string const name(service);
    routes += (routes.empty() ? "" : ",") + std::string(R"({"name":")") + name + R"(","domain":")" + name +
              R"(.test","pathPrefix":"/","routeType":"idempotent","releaseS":2,"targetS":1,"destination":")" + name +
              R"(","attemptLimit":2})";
    services += (services.empty() ? "" : ",") + std::string(R"({"name":")") + name + R"(","partitioned":)" +
                (name == "accounts" ? "true" : "false") + "}";
  }
  std::string const text = R"({"revision":"0000000)" + std::to_string(version) + R"(","routingEntries":[)" + routes +
                           R"(],"destinations":[)" + services + R"(],"subscribers":[{"name":"mill","accessKeys":[)" +
                           keys + "]}]}";
  Result<ServiceConfiguration> const read = platform::adapter().read_configuration(text);
  if (!read) throw std::runtime_error("not taken: " + read.error().reason);
  return *read;
}

MeshTrialOptions with_revocation() {
  MeshTrialOptions options;
  options.bounds = *platform::adapter().read_bounds({"revocationGlobal=true", "revokeS=5"});
  options.configuration = one_key_fewer;
  return options;
}

/// A request that a client sent, and the status it got.
struct SentRequest {
  std::string machine;
  std::string key;
  Instant sent{};
  std::uint16_t status = 0;
};

/// A mesh whose clients repeatedly send requests with both keys.
class RevocationTrial {
 public:
  explicit RevocationTrial(std::uint64_t const seed) : mesh(seed, {"a", "b", "c"}, with_revocation()) {}

  void start_clients() {
    for (auto& [name, machine] : mesh.machines)
      for (std::string const key : {"dropped", "kept"}) spawn(*machine.process, client_loop(name, key));
  }

  void cut_off(std::string const& machine) {
    for (auto const& [name, core] : mesh.cores) {
      mesh.sim.cut(machine, name);
      mesh.sim.cut(name, machine);
    }
  }

  /// Sends version 2 until it is acknowledged; returns the time of the acknowledgement.
  Instant revoke() {
    bool const taken = mesh.run_until(
        [&] { return mesh.call_operator_interface("b", "PUT", "/configuration", "2").status == 200; }, 20s);
    EXPECT_TRUE(taken);
    return mesh.sim.now;
  }

  std::size_t count(std::string const& machine, std::string const& key, std::uint16_t const status, Instant const from,
                    Instant const to) const {
    return static_cast<std::size_t>(
        std::count_if(sent_requests.begin(), sent_requests.end(), [&](std::shared_ptr<SentRequest> const& a) {
          return (machine.empty() || a->machine == machine) && a->key == key && a->status == status &&
                 a->sent >= from && a->sent < to;
        }));
  }

  MeshTrial mesh;
  std::vector<std::shared_ptr<SentRequest>> sent_requests;

 private:
  Task<void> client_loop(std::string const name, std::string const key) {
    MeshTrial::Machine const& machine = mesh.machines.at(name);
    std::shared_ptr<SimProcess> const process = machine.process;
    std::shared_ptr<MeshNode<SimProcess>> const node = machine.node;
    while (true) {
      co_await sleep_for(*process, request_interval);
      std::shared_ptr<SentRequest> const record = std::make_shared<SentRequest>();
      record->machine = name;
      record->key = key;
      record->sent = process->now();
      sent_requests.push_back(record);
      HttpRequest request;
      request.method = "GET";
      request.target = "/thing";
      request.headers = {{"Host", "browse.test"},
                         {"attempt", name + key + std::to_string(sent_requests.size())},
                         {"Authorization", "Bearer " + key}};
      HttpReply const reply = co_await node->request(std::move(request), std::make_shared<HttpExchange>());
      record->status = reply.status;
    }
  }
};

std::string const cut_machine = "browse-0-a";

class AccessRevocation : public ::testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, AccessRevocation, ::testing::Values(1, 2, 3));

// Guards against CONFIG: a revoked key still works on a machine that is cut off from the control plane.
TEST_P(AccessRevocation, ends_in_time_on_a_machine_that_is_cut_off) {
  RevocationTrial trial(GetParam());
  ASSERT_TRUE(trial.mesh.form());
  Instant const begun = trial.mesh.sim.now;
  trial.start_clients();
  trial.mesh.run_for(3s);
  trial.cut_off(cut_machine);
  Instant const cut = trial.mesh.sim.now;
  trial.mesh.run_for(200ms);
  Instant const revoked = trial.revoke();
  trial.mesh.run_for(10s);
  Instant const healed = trial.mesh.sim.now;
  trial.mesh.sim.heal();
  trial.mesh.run_for(8s);
  Instant const end = trial.mesh.sim.now;
  EXPECT_GT(trial.count(cut_machine, "dropped", 200, begun, cut), 10u);
  EXPECT_EQ(trial.count("", "dropped", 200, revoked + revocation_limit, end), 0u);
  // While cut off it can't tell valid keys from revoked ones: it answers 503 (not executed), not 401.
  EXPECT_GT(trial.count(cut_machine, "kept", 503, revoked + revocation_limit, healed), 10u);
  EXPECT_EQ(trial.count("", "kept", 401, begun, end), 0u);
  EXPECT_GT(trial.count(cut_machine, "kept", 200, healed + 4s, end), 10u);
  EXPECT_GT(trial.count(cut_machine, "dropped", 401, healed + 4s, end), 10u);
}

// Guards against CONFIG, and against refusing everybody: on connected machines a revoked key ends as fast as any
// configuration change takes effect.
TEST_P(AccessRevocation, ends_with_the_news_on_machines_in_touch) {
  RevocationTrial trial(GetParam());
  ASSERT_TRUE(trial.mesh.form());
  Instant const begun = trial.mesh.sim.now;
  trial.start_clients();
  trial.mesh.run_for(10s);
  Instant const revoked = trial.revoke();
  trial.mesh.run_for(10s);
  Instant const end = trial.mesh.sim.now;
  EXPECT_GT(trial.count("", "dropped", 200, begun, revoked), 500u);
  EXPECT_EQ(trial.count("", "dropped", 200, revoked + 2s, end), 0u);
  EXPECT_GT(trial.count("", "kept", 200, begun, end), 2000u);
  EXPECT_EQ(trial.count("", "kept", 401, begun, end) + trial.count("", "kept", 503, begun, end), 0u);
}

// Guards against CONFIG while the whole control plane is down, and after it is back.
TEST_P(AccessRevocation, nobody_is_let_in_for_longer_than_the_bound_without_the_control_plane) {
  RevocationTrial trial(GetParam());
  ASSERT_TRUE(trial.mesh.form());
  trial.start_clients();
  trial.mesh.run_for(3s);
  trial.mesh.kill_registries();
  Instant const gone = trial.mesh.sim.now;
  trial.mesh.run_for(12s);
  Instant const back = trial.mesh.sim.now;
  trial.mesh.start_registries();
  trial.mesh.run_for(8s);
  Instant const end = trial.mesh.sim.now;
  EXPECT_GT(trial.count("", "kept", 200, gone, gone + 3s), 100u);
  EXPECT_EQ(trial.count("", "kept", 200, gone + revocation_limit, back), 0u);
  EXPECT_EQ(trial.count("", "kept", 401, gone, end), 0u);
  EXPECT_GT(trial.count("", "kept", 200, back + 4s, end), 200u);
}

}  // namespace
}  // namespace banktide
