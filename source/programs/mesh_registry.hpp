// The registry on the new data path: the operators' interface through an
// adapter, maintenance windows, and the coordinator of keys, around the registry
// that keeps the register's values and its zone's feed.
#pragma once

#include "coordination/key_coordinator.hpp"
#include "programs/maintenance_interface.hpp"
#include "programs/registry.hpp"
#include "protocol/interface_adapter.hpp"
#include "state/compressed_text.hpp"

namespace banktide {

template <Surroundings W>
class MeshRegistry {
 public:
  MeshRegistry(W& w, Registry<W>& registry, InterfaceAdapter const& adapter, KeySettings const& keys,
               MaintenanceSettings const& maintenance = {})
      : w_(w),
        registry_(registry),
        adapter_(adapter),
        coordinator_(w, registry.registers(), keys, [this] { return acting(); }),
        windows_(w, registry.registers(), [this] { return acting(); }),
        maintenance_(w, registry, windows_, maintenance) {
    windows_.known = [this] { return registry_.held(Register::maintenance); };
    windows_.on_written = [this](Held const& held) { registry_.announce(Register::maintenance, held); };
    coordinator_.withheld_zones = [this] { return windows_.plan().withheld_zones(); };
    coordinator_.on_table = [this](Held const& held) { registry_.announce(Register::keys, held); };
  }

  void start(Desk& desk) {
    coordinator_.attach(desk);
    spawn(w_, coordinator_.run());
    spawn(w_, windows_.run());
    spawn(w_, maintenance_.run());
  }

  /** A call of an operator. */
  Task<HttpReply> interface_call(HttpRequest q) {
    if (is_maintenance_target(q.target)) co_return co_await maintenance_.call(std::move(q));
    tl::expected<InterfaceOperation, InterfaceReply> operation = adapter_.interpret(q);
    if (!operation) co_return http_reply(std::move(operation.error()));
    if (WriteConfigurationOperation* const write = std::get_if<WriteConfigurationOperation>(&*operation))
      co_return co_await write_configuration(std::move(*write));
    if (std::holds_alternative<ReadConfigurationOperation>(*operation)) co_return co_await read_configuration();
    if (std::holds_alternative<ReadinessOperation>(*operation))
      co_return http_reply(adapter_.readiness_reply(registry_.vouched()));
    co_return http_reply(adapter_.unavailable_reply("backends beat to the node on their machine"));
  }

 private:
  using Windows = MaintenanceKeeper<W, RegisterClient<W>>;
  static constexpr Duration write_patience = 900ms;
  static constexpr Duration read_patience = 900ms;

  bool acting() const { return registry_.vouched() && registry_.first_of_live_registries(); }

  // The highest version holds. One that is not above it changes nothing, but is
  // acknowledged only after a majority has what is held.
  Task<HttpReply> write_configuration(WriteConfigurationOperation write) {
    Held next;
    next.revision = write.version;
    next.bytes = compress(write.bytes);
    next.digest = digest_of(next.bytes);
    auto const step = [&next](Held const& now) -> Result<Held> { return now.revision >= next.revision ? now : next; };
    Result<Held> const done =
        co_await registry_.registers().change(Register::routing, "", w_.now() + write_patience, step);
    if (!done) {
      log_warn(
          "configuration_not_taken",
          {{"version", std::to_string(write.version)}, {"step", done.error().step}, {"reason", done.error().reason}});
      co_return http_reply(adapter_.unavailable_reply(done.error().reason));
    }
    registry_.announce(Register::routing, *done);
    log_info("configuration_taken",
             {{"version", std::to_string(write.version)}, {"holds", std::to_string(done->revision)}});
    co_return http_reply(adapter_.acknowledgement_reply());
  }

  Task<HttpReply> read_configuration() {
    Held const known = registry_.held(Register::routing);
    Result<Held> const held = co_await registry_.registers().read(Register::routing, known, w_.now() + read_patience);
    if (!held) co_return http_reply(adapter_.unavailable_reply(held.error().reason));
    if (held->revision == 0) co_return http_reply(adapter_.unavailable_reply("no configuration was ever sent"));
    Result<std::string> const text = decompress(held->bytes);
    if (!text) {
      log_warn("configuration_unreadable",
               {{"version", std::to_string(held->revision)}, {"reason", text.error().reason}});
      co_return http_reply(adapter_.unavailable_reply(text.error().reason));
    }
    co_return http_reply(adapter_.configuration_reply(*text));
  }

  W& w_;
  Registry<W>& registry_;
  InterfaceAdapter const& adapter_;
  KeyCoordinator<W, RegisterClient<W>> coordinator_;
  Windows windows_;
  MaintenanceInterface<W, Registry<W>, Windows> maintenance_;
};

}  // namespace banktide
