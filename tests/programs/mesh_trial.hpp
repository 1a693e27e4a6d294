// A whole mesh on virtual time: each zone has a core machine with a store and a
// registry, and machines with a node, a fake backend and clients. The program
// code is the real one; the network, the disks, the connections to backends and
// the adapter of the operator interface are fakes. A ledger records each execution
// of a request on a backend, and each client records the outcome it was told, so
// that tests can compare the two.
#pragma once

#include "coordination/membership.hpp"
#include "programs/mesh_node.hpp"
#include "programs/mesh_registry.hpp"
#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {

/** The services: with idempotent requests, with requests that may not be repeated, and the latter with keys. */
inline constexpr std::array<std::string_view, 3> trial_services{"browse", "payments", "accounts"};

/** One execution of a request on a backend. */
struct LedgerEntry {
  std::string request;
  std::string zone;
  Instant at{};
  std::string instance;
};

/** The final outcome of a request, as its client was told. */
enum class ClientOutcome : std::uint8_t { none, done, refused, unknown };
struct ClientRecord {
  std::string request;
  std::string service;
  std::string zone;
  ClientOutcome outcome = ClientOutcome::none;
  std::size_t attempts = 0;
  Instant begun{};
  Duration took{};
};

struct FakeBackend {
  struct Row {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t fence = 0;
    Instant end{};
  };
  std::string id, service, zone;
  bool up = true;  // its process runs
  bool sends_heartbeats = true;
  bool listens = true;   // its process accepts connections
  bool leaving = false;  // its heartbeats say so
  bool tells_id = true;  // its answer to a question about its health names it
  std::vector<Row> rows;
  std::vector<HeartbeatReleasedRow> released;
  std::uint64_t heartbeats = 0;
  Instant next_heartbeat_at{};
  std::uint32_t running = 0;
  std::size_t requests_outside_its_keys = 0;
};

/** Options of a trial. */
struct MeshTrialOptions {
  TimingBounds bounds;
  /** Returns the configuration of a version; if empty: three services that need no access key. */
  std::function<ServiceConfiguration(std::uint64_t version)> configuration;
  /** Whether a backend names itself when it is asked about its health. */
  bool backends_tell_their_id = true;
};

class MeshTrial {
 public:
  static constexpr std::uint16_t store_port = 2;
  static constexpr std::uint32_t slots = 6;
  static constexpr Duration aim = 1s;
  static constexpr Duration timeout = 2s;

  struct Core {
    std::string name, zone;
    std::shared_ptr<SimProcess> registry_process, store_process;
    std::shared_ptr<Registry<SimProcess>> registry;
    std::shared_ptr<MeshRegistry<SimProcess>> mesh;
    SimDisk disk;
  };
  struct Machine {
    std::string name, zone, service;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<MeshNode<SimProcess>> node;
    std::shared_ptr<FakeBackend> backend;
  };

  MeshTrial(std::uint64_t const seed, std::vector<std::string> zone_names, MeshTrialOptions trial_options = {})
      : sim(seed), net(sim), zones(zone_names), options(std::move(trial_options)) {
    make_adapter();
    for (std::string const& zone : zones) {
      Core& core = cores["core-" + zone];
      core.name = "core-" + zone;
      core.zone = zone;
      for (std::string_view const service : trial_services)
        for (int i = 0; i < 2; ++i) {
          std::string const name = std::string(service) + "-" + std::to_string(i) + "-" + zone;
          machines[name] = Machine{name, zone, std::string(service), nullptr, nullptr, nullptr};
        }
    }
    for (auto& [name, core] : cores) {
      start_store(core, true);
      start_registry(core);
    }
    for (auto& [name, machine] : machines) start_machine(machine);
  }
  // Tasks spawned last must start before the processes are killed, so that they end with their process.
  ~MeshTrial() {
    sim.run_ready_handlers();
    for (std::shared_ptr<SimProcess> const& p : processes) p->kill();
    sim.clear();
    sim.run_ready_handlers();
  }
  MeshTrial(MeshTrial const&) = delete;

  // ---- processes

  void start_store(Core& core, bool const initial) {
    core.store_process = process(core.name, address_of(core.name, store_port));
    core.disk.process = core.store_process.get();
    using Voter = Acceptor<SimProcess, SimDisk>;
    std::shared_ptr<Voter> const voter =
        std::make_shared<Voter>(*core.store_process, core.disk, core.store_process->address);
    EXPECT_TRUE(voter->load());
    MembershipSettings settings;
    settings.seeds = seeds(store_port);
    settings.initial_start = initial;
    std::shared_ptr<Membership<SimProcess, SimDisk>> const membership =
        std::make_shared<Membership<SimProcess, SimDisk>>(*core.store_process, *voter, settings);
    Dispatcher& d = dispatcher(*core.store_process);
    voter->attach(d);
    membership->attach(d);
    spawn(*core.store_process, membership->run());
    keep_alive.push_back(voter);
    keep_alive.push_back(membership);
  }

  void start_registry(Core& core) {
    core.registry_process = process(core.name, address_of(core.name, 1));
    RegistrySettings settings;
    settings.id = "registry-" + core.zone;
    settings.zone = core.zone;
    settings.address = core.registry_process->address;
    settings.seeds = seeds(1);
    settings.store_port = store_port;
    core.registry = std::make_shared<Registry<SimProcess>>(*core.registry_process, settings);
    MaintenanceSettings maintenance;
    maintenance.return_time = 10s;
    core.mesh = std::make_shared<MeshRegistry<SimProcess>>(*core.registry_process, *core.registry, adapter,
                                                           KeySettings{}, maintenance);
    keep_alive.push_back(core.registry);
    keep_alive.push_back(core.mesh);
    Dispatcher& d = dispatcher(*core.registry_process);
    core.registry->start(d);
    core.mesh->start(d);
  }

  void start_machine(Machine& machine) {
    start_backend(machine);
    start_node(machine);
  }

  /** Starts the next instance of a machine's backend; the former one must have ended. */
  void start_backend(Machine& machine) {
    machine.backend = std::make_shared<FakeBackend>();
    machine.backend->id = machine.name + "-life-" + std::to_string(++backend_incarnations);
    machine.backend->service = machine.service;
    machine.backend->zone = machine.zone;
    machine.backend->tells_id = options.backends_tell_their_id;
    all_backends.push_back(machine.backend);
    if (machine.process && machine.process->alive)
      spawn(*machine.process, heartbeat_loop(machine.process, machine.node, machine.backend));
  }

  /** Starts a machine's node beside the instance of its backend that is there. */
  void start_node(Machine& machine) {
    machine.process = process(machine.name, address_of(machine.name, 1));
    MeshNodeSettings settings;
    settings.follower.id = "node-of-" + machine.name;
    settings.follower.zone = machine.zone;
    settings.follower.address = machine.process->address;
    settings.follower.gateway = true;
    settings.follower.seeds = seeds(1);
    settings.service = machine.service;
    settings.store_port = store_port;
    settings.bounds = options.bounds;
    ConnectionsFactory const factory = [this, &machine](Address const&, std::size_t) -> std::unique_ptr<BackendCaller> {
      return std::make_unique<Caller>(*this, *machine.process, machine);
    };
    machine.node = std::make_shared<MeshNode<SimProcess>>(*machine.process, settings, adapter, factory);
    keep_alive.push_back(machine.node);
    machine.node->start(dispatcher(*machine.process));
    spawn(*machine.process, heartbeat_loop(machine.process, machine.node, machine.backend));
    for (std::string_view const service : trial_services)
      spawn(*machine.process, client_loop(machine.process, machine.node, machine, std::string(service)));
  }

  /** Delivers a heartbeat to a machine's node, whenever it was sent; the status is 0 until it is answered. */
  std::shared_ptr<std::uint32_t> deliver(Machine const& machine, BackendHeartbeat const& heartbeat) {
    std::shared_ptr<std::uint32_t> const status = std::make_shared<std::uint32_t>(0);
    heartbeats.push_back(heartbeat);
    spawn(*machine.process, send_to_node(machine.node, "/beat", std::to_string(heartbeats.size() - 1), status));
    return status;
  }
  /** Sends an instance's sign-off to its node; the status is 0 until it is answered. */
  std::shared_ptr<std::uint32_t> sign_off(Machine const& machine, std::string const& instance) {
    std::shared_ptr<std::uint32_t> const status = std::make_shared<std::uint32_t>(0);
    spawn(*machine.process, send_to_node(machine.node, "/leave", instance, status));
    return status;
  }
  /** The heartbeat that the backend sends next. */
  BackendHeartbeat next_heartbeat(Machine const& machine, FakeBackend& backend) {
    BackendHeartbeat heartbeat;
    heartbeat.id = backend.id;
    heartbeat.service = backend.service;
    heartbeat.address = machine.name + ":9";
    heartbeat.zone = backend.zone;
    heartbeat.slots = slots;
    heartbeat.leaving = backend.leaving;
    heartbeat.sequence = ++backend.heartbeats;
    std::erase_if(backend.rows, [&](FakeBackend::Row const& r) { return r.end <= sim.now; });
    for (FakeBackend::Row const& r : backend.rows) heartbeat.held.push_back(HeartbeatHeldRow{r.from, r.to, r.fence});
    heartbeat.released = backend.released;
    return heartbeat;
  }

  void power_off(std::string const& zone) {
    for (auto const& [name, core] : cores)
      if (core.zone == zone) {
        net.unpowered.insert(name);
        core.registry_process->kill();
        core.store_process->kill();
      }
    for (auto const& [name, machine] : machines)
      if (machine.zone == zone) {
        net.unpowered.insert(name);
        machine.process->kill();
      }
  }
  void power_on(std::string const& zone) {
    for (auto& [name, core] : cores)
      if (core.zone == zone) {
        net.unpowered.erase(name);
        start_store(core, false);
        start_registry(core);
      }
    for (auto& [name, machine] : machines)
      if (machine.zone == zone) {
        net.unpowered.erase(name);
        start_machine(machine);
      }
  }
  void kill_registries() {
    for (auto const& [name, core] : cores) core.registry_process->kill();
  }
  void start_registries() {
    for (auto& [name, core] : cores)
      if (!net.unpowered.contains(name)) start_registry(core);
  }

  // ---- running the trial

  void run_for(Duration const d) { sim.run_until(sim.now + d); }
  bool run_until(std::function<bool()> const& holds, Duration const most) {
    Instant const end = sim.now + most;
    while (!holds() && sim.now < end) run_for(50ms);
    return holds();
  }

  /** Sends an operator's request to the registry of a zone; status 0 if it doesn't answer. */
  HttpReply call_operator_interface(std::string const& zone, std::string const& method, std::string const& target,
                                    std::string const& body = "") {
    Core const& core = cores.at("core-" + zone);
    std::shared_ptr<HttpReply> const reply = std::make_shared<HttpReply>();
    HttpRequest const request{method, target, {}, body};
    spawn(
        *core.registry_process,
        [](std::shared_ptr<MeshRegistry<SimProcess>> mesh, HttpRequest q, std::shared_ptr<HttpReply> to) -> Task<void> {
          *to = co_await mesh->handle_interface_request(std::move(q));
        }(core.mesh, request, reply));
    run_until([&] { return reply->status != 0; }, 3s);
    return *reply;
  }

  /** Brings everything up: waits until a configuration is active, all nodes are ready and all keys are held. */
  bool form() {
    bool const written =
        run_until([&] { return call_operator_interface(zones[0], "PUT", "/configuration", "1").status == 200; }, 20s);
    return written && run_until(
                          [&] {
                            for (auto const& [name, machine] : machines)
                              if (!machine.node->ready()) return false;
                            return keys_held() == 65536;
                          },
                          30s);
  }

  /** The number of keys held by backends that are up, in one zone if `zone` is given. */
  std::size_t keys_held(std::string const& zone = "") const {
    std::size_t keys = 0;
    for (auto const& [name, machine] : machines) {
      if (!machine.process->alive || (!zone.empty() && machine.zone != zone)) continue;
      for (FakeBackend::Row const& row : machine.backend->rows)
        if (row.end > machine.process->now()) keys += row.to - row.from + 1;
    }
    return keys;
  }
  std::size_t executions_in(std::string const& zone, Instant const from, Instant const to) const {
    return static_cast<std::size_t>(std::count_if(ledger.begin(), ledger.end(), [&](LedgerEntry const& e) {
      return e.zone == zone && e.at >= from && e.at < to;
    }));
  }

  Sim sim;
  SimNet net;
  std::vector<std::string> const zones;
  MeshTrialOptions const options;
  InterfaceAdapter adapter;
  std::map<std::string, Core> cores;
  std::map<std::string, Machine> machines;
  std::vector<LedgerEntry> ledger;
  std::vector<std::shared_ptr<ClientRecord>> records;
  std::vector<std::shared_ptr<FakeBackend>> all_backends;
  bool serving = false;  // clients send requests

 private:
  static constexpr DataPathHeaders header_names{"attempt", "remaining", "target",     "answering", "key",
                                                "caller",  "not-run",   "load-level", "seal",      "tenant"};
  static constexpr Duration heartbeat_period = 1500ms;
  static constexpr Duration release_duration = 40ms;
  static constexpr std::string_view health_path = "/health";

  /** The node's connections to its fake backend. */
  class Caller : public BackendCaller {
   public:
    Caller(MeshTrial& trial, SimProcess& process, Machine const& machine)
        : trial_(trial), process_(process), machine_(machine) {}
    Task<Result<HttpReply>> call(BackendCall call) override {
      std::shared_ptr<FakeBackend> const backend = machine_.backend;
      if (!backend->up || !backend->listens) co_return make_error("connect", "backend", "refused", Proof::not_run);
      HttpReply reply;
      if (call.request.target == health_path) {
        reply.status = 200;
        if (backend->tells_id) reply.headers.push_back({std::string(header_names.answering_instance), backend->id});
        co_return reply;
      }
      reply.headers.push_back({call.attempt_header, call.attempt_id});
      if (header_value(call.request, std::string(header_names.target_instance)) != backend->id) {
        reply.status = 421;
        co_return reply;
      }
      std::string const key = header_value(call.request, "key");
      if (!key.empty() && !holds(*backend, static_cast<std::uint32_t>(std::stoul(key)))) {
        ++backend->requests_outside_its_keys;
        reply.status = 421;
        co_return reply;
      }
      trial_.ledger.push_back(LedgerEntry{call.attempt_id, backend->zone, trial_.sim.now, backend->id});
      ++backend->running;
      co_await sleep_for(process_, std::chrono::milliseconds(15 + process_.chance()() % 30));
      --backend->running;
      reply.status = 200;
      co_return reply;
    }
    void close() override {}

   private:
    bool holds(FakeBackend const& backend, std::uint32_t const key) const {
      return std::any_of(backend.rows.begin(), backend.rows.end(), [&](FakeBackend::Row const& r) {
        return r.from <= key && key <= r.to && r.end > process_.now();
      });
    }
    MeshTrial& trial_;
    SimProcess& process_;
    Machine const& machine_;  // whichever instance of its backend is up gets the request
  };

  static Address address_of(std::string const& machine, std::uint16_t const port) {
    return machine + ":" + std::to_string(port);
  }
  std::vector<Address> seeds(std::uint16_t const port) const {
    std::vector<Address> all;
    for (std::string const& zone : zones) all.push_back(address_of("core-" + zone, port));
    return all;
  }
  std::shared_ptr<SimProcess> process(std::string const& machine, Address const& address) {
    std::shared_ptr<SimProcess> const p = std::make_shared<SimProcess>(sim, net, machine, address, ++incarnations);
    processes.push_back(p);
    net.at[address] = p;
    net.machine_of[address] = machine;
    return p;
  }
  Dispatcher& dispatcher(SimProcess& p) {
    dispatchers.push_back(std::make_unique<Dispatcher>());
    p.serve(*dispatchers.back());
    return *dispatchers.back();
  }

  // In the fake interface, bodies are indices into the vectors of heartbeats and answers.
  void make_adapter() {
    adapter.headers = header_names;
    adapter.read_configuration = [this](std::string_view const version) -> Result<ServiceConfiguration> {
      return options.configuration ? options.configuration(std::stoull(std::string(version))) : configuration();
    };
    adapter.interpret = [this](HttpRequest const& q) -> tl::expected<InterfaceOperation, InterfaceReply> {
      if (q.target == "/leave") return InterfaceOperation(LeaveOperation{q.body});
      if (q.target == "/beat") return InterfaceOperation(HeartbeatOperation{heartbeats.at(std::stoul(q.body))});
      if (q.method == "PUT") return InterfaceOperation(WriteConfigurationOperation{std::stoul(q.body), q.body});
      return InterfaceOperation(ReadinessOperation{});
    };
    adapter.heartbeat_reply = [this](HeartbeatAnswer const& answer) {
      answers.push_back(answer);
      return InterfaceReply{200, "", std::to_string(answers.size() - 1), "", ""};
    };
    adapter.readiness_reply = [](bool const ready) { return InterfaceReply{ready ? 200u : 503u, "", "", "", ""}; };
    adapter.acknowledgement_reply = [] { return InterfaceReply{200, "", "", "", ""}; };
    adapter.unavailable_reply = [](std::string_view) { return InterfaceReply{503, "", "", "", ""}; };
    adapter.conflict_reply = [](std::string_view) { return InterfaceReply{409, "", "", "", ""}; };
  }

  static ServiceConfiguration configuration() {
    ServiceConfiguration all;
    all.version = 1;
    for (std::string_view const name : trial_services) {
      std::uint32_t const index = static_cast<std::uint32_t>(all.services.size());
      ServiceDefinition service;
      service.name = name;
      service.keyed = name == "accounts";
      service.health_path = health_path;
      all.services.push_back(service);
      Route route;
      route.name = name;
      route.host = std::string(name) + ".test";
      route.prefix = "/";
      route.repeatable = name == "browse";
      route.attempt_limit = route.repeatable ? 2 : 1;
      route.timeout = timeout;
      route.target_latency = aim;
      route.targets = {WeightedService{index, 1}};
      all.routes.push_back(route);
    }
    return all;
  }

  Task<void> heartbeat_loop(std::shared_ptr<SimProcess> const p, std::shared_ptr<MeshNode<SimProcess>> const node,
                            std::shared_ptr<FakeBackend> const backend) {
    // A restart of its node doesn't change when the backend sends its next heartbeat.
    if (p->now() < backend->next_heartbeat_at) co_await sleep_for(*p, backend->next_heartbeat_at - p->now());
    while (backend->up && backend->sends_heartbeats) {
      heartbeats.push_back(next_heartbeat(machines.at(p->machine), *backend));
      HttpRequest const request{"POST", "/beat", {}, std::to_string(heartbeats.size() - 1)};
      Instant const sent = p->now();
      HttpReply const reply = co_await node->handle_interface_request(request);
      if (!backend->up) co_return;
      if (reply.status != 200) {
        co_await sleep_for(*p, release_duration);
        continue;
      }
      HeartbeatAnswer const answer = reply.body.empty() ? HeartbeatAnswer{} : answers.at(std::stoul(reply.body));
      backend->released.clear();
      bool const releases_rows = answer.grant && apply_grant(*backend, sent, *answer.grant);
      Duration const pause =
          releases_rows ? release_duration : std::max<Duration>(sent + heartbeat_period - p->now(), 1ms);
      backend->next_heartbeat_at = p->now() + pause;
      co_await sleep_for(*p, pause);
    }
  }

  static Task<void> send_to_node(std::shared_ptr<MeshNode<SimProcess>> const node, std::string const target,
                                 std::string const body, std::shared_ptr<std::uint32_t> const status) {
    HttpRequest const request{"POST", target, {}, body};
    HttpReply const reply = co_await node->handle_interface_request(request);
    if (status) *status = reply.status;
  }

  // Rows are granted and released whole: a row that is no longer granted is released with a token.
  static bool apply_grant(FakeBackend& backend, Instant const sent, HeartbeatGrant const& grant) {
    std::vector<FakeBackend::Row> rows;
    for (HeartbeatGrantedRow const& g : grant.rows)
      rows.push_back(FakeBackend::Row{g.from, g.to, g.fence, sent + grant.hold});
    bool releases_rows = false;
    for (FakeBackend::Row const& old : backend.rows) {
      bool const kept_one = std::any_of(
          rows.begin(), rows.end(), [&](FakeBackend::Row const& r) { return r.from <= old.from && old.to <= r.to; });
      if (kept_one) continue;
      backend.released.push_back(HeartbeatReleasedRow{old.from, old.to, "token-of-" + backend.id});
      releases_rows = true;
    }
    backend.rows = std::move(rows);
    return releases_rows;
  }

  // One client per machine and service, with one request at a time. It retries, with a new attempt id, only
  // requests that were refused as not executed.
  Task<void> client_loop(std::shared_ptr<SimProcess> const p, std::shared_ptr<MeshNode<SimProcess>> const node,
                         Machine const& machine, std::string const service) {
    while (true) {
      co_await sleep_for(*p, std::chrono::milliseconds(100 + p->chance()() % 200));
      if (!serving || !node->ready()) continue;
      std::shared_ptr<ClientRecord> const record = std::make_shared<ClientRecord>();
      record->request = service + "-" + std::to_string(records.size());
      record->service = service;
      record->zone = machine.zone;
      record->begun = sim.now;
      records.push_back(record);
      std::string const key = std::to_string(p->chance()() % 65536);
      do {
        if (record->outcome == ClientOutcome::refused) co_await sleep_for(*p, 100ms);
        co_await send_once(*node, *record, key);
      } while (record->outcome == ClientOutcome::refused);
      record->took = sim.now - record->begun;
    }
  }

  static Task<void> send_once(MeshNode<SimProcess>& node, ClientRecord& record, std::string const& key) {
    HttpRequest q;
    q.method = "POST";
    q.target = "/thing";
    q.headers = {{"Host", record.service + ".test"},
                 {"attempt", record.request + "/" + std::to_string(++record.attempts)}};
    if (record.service == "accounts") q.headers.push_back({"key", key});
    record.outcome = ClientOutcome::none;
    std::shared_ptr<HttpExchange> const exchange = std::make_shared<HttpExchange>();
    HttpReply const reply = co_await node.request(std::move(q), exchange);
    record.outcome = reply.status == 200   ? ClientOutcome::done
                     : reply.status == 503 ? ClientOutcome::refused
                                           : ClientOutcome::unknown;
  }

  std::vector<std::shared_ptr<SimProcess>> processes;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  std::vector<BackendHeartbeat> heartbeats;
  std::vector<HeartbeatAnswer> answers;
  std::uint64_t incarnations = 0;
  std::uint64_t backend_incarnations = 0;
  // Objects that run on processes: destroyed before the processes, to which their alarms belong.
  std::vector<std::shared_ptr<void>> keep_alive;
};

}  // namespace banktide
