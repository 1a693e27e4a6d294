// The control plane alone on virtual time: stores and registries on core machines,
// and operators who write configurations to any registry and read them back, with
// some answers lost. A ledger records the answers that the operators got and checks
// each against everything that was confirmed before.
#pragma once

#include "programs/configuration_interface.hpp"
#include "programs/control_status.hpp"
#include "tests/coordination/store_trial.hpp"

#include <map>

namespace banktide {

/// A configuration change by an operator.
struct ConfigurationChange {
  Revision version = 0;
  std::string content;
};

/// The answers that operators got, and the contradictions between them.
class OperatorLedger {
 public:
  void acknowledged(ConfigurationChange const& change) {
    record_content(change.version, change.content);
    newest_ = std::max(newest_, change.version);
    ++acknowledgements;
  }
  void refused(ConfigurationChange const& change) {
    auto const known = contents_.find(change.version);
    bool const was_confirmed = known != contents_.end() && known->second == change.content;
    if (was_confirmed) report_contradiction(change.version, "was confirmed and is refused");
    ++refusals;
  }
  /// `floor`: the newest version that was acknowledged when the read was sent.
  void read(ConfigurationChange const& seen, Revision const floor) {
    if (seen.version < floor) report_contradiction(seen.version, "is shown after a newer one was confirmed");
    record_content(seen.version, seen.content);
    ++readings;
  }
  Revision newest() const { return newest_; }

  std::size_t acknowledgements = 0, refusals = 0, readings = 0;
  std::vector<std::string> contradictions;

 private:
  void record_content(Revision const version, std::string const& content) {
    auto const [known, added] = contents_.emplace(version, content);
    if (known->second != content) report_contradiction(version, "was confirmed or shown with two contents");
  }
  void report_contradiction(Revision const version, std::string const& what) {
    contradictions.push_back("version " + std::to_string(version) + " " + what);
  }

  std::map<Revision, std::string> contents_;
  Revision newest_ = 0;
};

class ControlTrial {
 public:
  ControlTrial(std::uint64_t const seed, std::size_t const cores, std::uint32_t const losses, std::size_t const spares)
      : stores(seed, cores + spares, losses), registries_(cores + spares) {
    make_adapter();
    for (std::size_t i = 0; i < cores; ++i) start(i, true);
  }
  ~ControlTrial() {
    stopped = true;
    stores.sim.run_ready_handlers();
    for (Core const& core : all_) core.process->kill();
  }
  ControlTrial(ControlTrial const&) = delete;

  /// Powers on a core machine: its store and its registry start.
  void start(std::size_t const i, bool const initial) {
    stores.net.unpowered.erase(machine(i));
    stores.start(i, initial);
    start_registry(i);
  }
  void start_registry(std::size_t const i) {
    kill_registry(i);
    Core core;
    core.process =
        std::make_shared<SimProcess>(stores.sim, stores.net, machine(i), registry_address(i), ++incarnations_);
    stores.net.at[core.process->address] = core.process;
    stores.net.machine_of[core.process->address] = machine(i);
    RegistrySettings settings;
    settings.id = "registry-" + std::to_string(i);
    settings.zone = "zone-" + std::to_string(i);
    settings.address = core.process->address;
    for (Address const& seed : stores.seeds) settings.seeds.push_back(seed.substr(0, seed.rfind(':')) + ":9");
    settings.store_port = 1;
    core.registry = std::make_shared<Registry<SimProcess>>(*core.process, settings);
    core.interface = std::make_shared<ConfigurationInterface<SimProcess>>(*core.process, *core.registry, adapter_);
    core.status = std::make_shared<ControlStatus<SimProcess>>(*core.process, *core.registry);
    core.dispatcher = std::make_shared<Dispatcher>();
    core.process->serve(*core.dispatcher);
    core.registry->start(*core.dispatcher);
    all_.push_back(core);
    registries_[i] = core;
  }
  /// Powers off a core machine: its processes end, and it answers no requests.
  void power_off(std::size_t const i) {
    stores.power_off(i);
    kill_registry(i);
    stores.net.unpowered.insert(machine(i));
  }
  void kill_registry(std::size_t const i) {
    if (registries_[i].process) registries_[i].process->kill();
  }
  void freeze(std::size_t const i) {
    registries_[i].process->freeze();
    stores.net.at[stores.addresses[i]]->freeze();
  }
  void thaw(std::size_t const i) {
    stores.net.at[stores.addresses[i]]->thaw();
    registries_[i].process->thaw();
  }
  bool up(std::size_t const i) const { return registries_[i].process && registries_[i].process->alive; }
  bool frozen(std::size_t const i) const { return up(i) && registries_[i].process->frozen; }
  static std::string machine(std::size_t const i) { return "core-" + std::to_string(i); }

  /// One request to one registry; status 0 if there is no answer within the operator's timeout.
  Task<HttpReply> send(std::size_t const registry, ConfigurationChange const change) {
    auto const write = [change](Core const& core) {
      return core.interface->write(WriteConfigurationOperation{change.version, change.content});
    };
    co_return co_await call(registry, write);
  }
  Task<HttpReply> read(std::size_t const registry) {
    auto const read_newest = [](Core const& core) { return core.interface->read(); };
    co_return co_await call(registry, read_newest);
  }

  /// The control plane's status, as that registry reports it.
  Task<HttpReply> status(std::size_t const registry) {
    auto const ask_status = [](Core const& core) {
      HttpRequest question;
      question.method = "GET";
      question.target = control_status_path;
      return core.status->call(std::move(question));
    };
    co_return co_await call(registry, ask_status);
  }

  /// Sends a change to random registries until it is accepted or refused; answers may get lost.
  Task<void> submit(ConfigurationChange const change, bool const answers_get_lost) {
    for (int attempt = 0; attempt < 40 && !stopped; ++attempt) {
      HttpReply const reply = co_await send(any_registry(), change);
      bool const lost = answers_get_lost && stores.sim.chance() % 3 == 0;
      if (reply.status == 200 && !lost) {
        ledger.acknowledged(change);
        co_return;
      }
      if (reply.status == 409 && !lost) {
        ledger.refused(change);
        co_return;
      }
      co_await sleep_for(client(), std::chrono::milliseconds(20 + stores.sim.chance() % 200));
    }
  }
  Task<void> check_read(std::size_t const registry) {
    Revision const floor = ledger.newest();
    HttpReply const reply = co_await read(registry);
    if (reply.status != 200) co_return;
    std::size_t const colon = reply.body.find(':');
    ledger.read(ConfigurationChange{std::stoull(reply.body.substr(0, colon)), reply.body}, floor);
  }

  SimProcess& client() { return *stores.clients[0]; }
  /// Any registry that ever started, also one that is gone: operators' lists are out of date at times.
  std::size_t any_registry() {
    std::size_t started = 0;
    while (started < registries_.size() && registries_[started].process) ++started;
    return stores.sim.chance() % started;
  }

  StoreTrial stores;
  OperatorLedger ledger;
  bool stopped = false;
  Duration longest_answer{};

 private:
  struct Core {
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<Registry<SimProcess>> registry;
    std::shared_ptr<ConfigurationInterface<SimProcess>> interface;
    std::shared_ptr<ControlStatus<SimProcess>> status;
    std::shared_ptr<Dispatcher> dispatcher;
  };
  static constexpr Duration operator_timeout = 1s;

  static Address registry_address(std::size_t const i) { return "store-" + std::to_string(i) + ":9"; }

  template <class F>
  Task<HttpReply> call(std::size_t const registry, F operation) {
    using Answer = OneShot<SimProcess, HttpReply>;
    std::shared_ptr<Answer> const answer = std::make_shared<Answer>(client());
    Core const core = registries_[registry];
    Instant const asked = client().now();
    if (core.process && core.process->alive && !core.process->frozen)
      spawn(*core.process, answer_one<F>(core, operation, answer));
    std::optional<HttpReply> const reply = co_await answer->wait(asked + operator_timeout);
    if (reply) longest_answer = std::max<Duration>(longest_answer, client().now() - asked);
    HttpReply none;
    none.status = 0;
    co_return reply.value_or(none);
  }
  template <class F>
  static Task<void> answer_one(Core const core, F operation, std::shared_ptr<OneShot<SimProcess, HttpReply>> answer) {
    HttpReply reply = co_await operation(core);
    // A frozen or dead process sends no answer.
    if (core.process->alive && !core.process->frozen) answer->give(std::move(reply));
  }

  void make_adapter() {
    adapter_.acknowledgement_reply = [] { return InterfaceReply{}; };
    adapter_.unavailable_reply = [](std::string_view) { return InterfaceReply{503, "", "", "", ""}; };
    adapter_.conflict_reply = [](std::string_view) { return InterfaceReply{409, "", "", "", ""}; };
    adapter_.configuration_reply = [](std::string bytes) { return InterfaceReply{200, "", std::move(bytes), "", ""}; };
  }

  InterfaceAdapter adapter_;
  std::vector<Core> registries_;
  std::vector<Core> all_;
  std::uint64_t incarnations_ = 1000;
};

}  // namespace banktide
