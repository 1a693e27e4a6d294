// The mesh registry: adds the operator interface (through an adapter),
// maintenance windows, the key coordinator and the record of backends that signed
// off to a Registry, which holds the register values and serves its zone's feed.
#pragma once

#include "coordination/key_coordinator.hpp"
#include "coordination/sign_off_log.hpp"
#include "programs/configuration_interface.hpp"
#include "programs/control_status.hpp"
#include "programs/maintenance_interface.hpp"

namespace banktide {

template <Environment Env>
class MeshRegistry {
 public:
  MeshRegistry(Env& env, Registry<Env>& registry, InterfaceAdapter const& adapter, KeySettings const& keys,
               MaintenanceSettings const& maintenance = {})
      : env_(env),
        registry_(registry),
        adapter_(adapter),
        configuration_(env, registry, adapter),
        status_(env, registry),
        coordinator_(env, registry.registers(), keys, [this] { return acting(); }),
        windows_(env, registry.registers(), [this] { return acting(); }),
        maintenance_(env, registry, windows_, maintenance) {
    windows_.known = [this] { return registry_.held(Register::maintenance); };
    windows_.on_written = [this](RegisterValue const& held) { registry_.announce(Register::maintenance, held); };
    coordinator_.withheld_zones = [this] { return windows_.plan().withheld_zones(); };
    coordinator_.on_table = [this](RegisterValue const& held) { registry_.announce(Register::keys, held); };
  }

  void start(Dispatcher& dispatcher) {
    coordinator_.attach(dispatcher);
    sign_offs_.attach(dispatcher);
    spawn(env_, coordinator_.run());
    spawn(env_, windows_.run());
    spawn(env_, maintenance_.run());
  }

  /** Handles an operator's request. */
  Task<HttpReply> handle_interface_request(HttpRequest q) {
    if (is_control_status_target(q.target)) co_return co_await status_.call(std::move(q));
    if (is_maintenance_target(q.target)) co_return co_await maintenance_.call(std::move(q));
    tl::expected<InterfaceOperation, InterfaceReply> operation = adapter_.interpret(q);
    if (!operation) co_return http_reply(std::move(operation.error()));
    if (WriteConfigurationOperation* const write = std::get_if<WriteConfigurationOperation>(&*operation))
      co_return co_await configuration_.write(std::move(*write));
    if (std::holds_alternative<ReadConfigurationOperation>(*operation)) co_return co_await configuration_.read();
    if (std::holds_alternative<ReadinessOperation>(*operation))
      co_return http_reply(adapter_.readiness_reply(registry_.has_quorum_reading()));
    co_return http_reply(adapter_.unavailable_reply("heartbeats go to the node on the backend's machine"));
  }

 private:
  using Windows = MaintenanceKeeper<Env, RegisterClient<Env>>;

  bool acting() const { return registry_.has_quorum_reading() && registry_.first_of_live_registries(); }

  Env& env_;
  Registry<Env>& registry_;
  InterfaceAdapter const& adapter_;
  ConfigurationInterface<Env> configuration_;
  ControlStatus<Env> status_;
  KeyCoordinator<Env, RegisterClient<Env>> coordinator_;
  SignOffLog sign_offs_;
  Windows windows_;
  MaintenanceInterface<Env, Registry<Env>, Windows> maintenance_;
};

}  // namespace banktide
