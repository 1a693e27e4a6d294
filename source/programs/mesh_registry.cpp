// banktide-registry for the mesh: settings, sockets and signal handling around
// one Registry and its operator interface.
#include "programs/mesh_registry.hpp"

#include "programs/mesh_programs.hpp"
#include "programs/mesh_settings.hpp"
#include "transport/http_server.hpp"
#include "transport/socket_environment.hpp"

namespace banktide {

namespace {

void define(Settings& settings) {
  define_mesh_settings(settings);
  settings.text("control-address", "", "ip:port for operators (HTTP)");
  settings.flag("counted", "this machine counts among those that may be lost; not used");
  settings.list("zones", "names of all zones");
  settings.number("maintenance-lead", 60, 1, 3600,
                  "seconds before a maintenance window at which traffic moves, by default");
  settings.number("maintenance-return", 30, 1, 3600,
                  "seconds over which traffic comes back after a maintenance window");
  settings.require_address("control-address");
}

RegistrySettings registry_settings(Settings const& settings) {
  RegistrySettings r;
  r.id = settings.text("id");
  r.zone = settings.text("zone");
  r.address = settings.text("address");
  r.seeds = seed_peers(settings);
  r.timing = mesh_timing();
  r.store_port = store_port(settings);
  return r;
}

// The lead must be longer than a backend's drain and a key hold may last.
MaintenanceSettings maintenance_settings(Settings const& settings, TimingBounds const& bounds) {
  constexpr Duration until_known = 2s;
  MaintenanceSettings m;
  m.min_lead = std::max(bounds.drain_limit, bounds.hold_limit) + until_known;
  m.default_lead = std::max<Duration>(std::chrono::seconds(settings.number("maintenance-lead")), m.min_lead);
  m.return_time = std::chrono::seconds(settings.number("maintenance-return"));
  return m;
}

}  // namespace

int run_mesh_registry(std::vector<std::string> const& arguments, InterfaceAdapter const& adapter) {
  CommandLine line(arguments);
  Settings settings("banktide-registry");
  define(settings);
  if (std::optional<int> const code = settings.read(line.count(), line.words())) return *code;
  start_logging(settings.text("log-level"), "banktide-registry", settings.text("id"));
  Result<TimingBounds> const bounds = adapter.read_bounds(settings.list("bounds"));
  if (!bounds) return start_failed(bounds.error());
  Process process;
  SocketEnvironment env;
  Dispatcher dispatcher;
  Result<Address> const bound = env.listen(settings.text("address"));
  if (!bound) return start_failed(bound.error());
  Registry<SocketEnvironment> registry(env, registry_settings(settings));
  MeshRegistry<SocketEnvironment> mesh(env, registry, adapter, key_settings(*bounds),
                                       maintenance_settings(settings, *bounds));
  HttpServer operators(
      env.io(),
      [&mesh](HttpRequest q, std::shared_ptr<HttpExchange>) { return mesh.handle_interface_request(std::move(q)); },
      {});
  Result<Address> const open = process.run_on_thread([&]() -> Result<Address> {
    env.serve(dispatcher);
    registry.start(dispatcher);
    mesh.start(dispatcher);
    return operators.listen(settings.text("control-address"));
  });
  if (!open) return start_failed(open.error());
  log_info("started", {{"address", *bound},
                       {"operators", settings.text("control-address")},
                       {"zone", settings.text("zone")},
                       {"commit", source_commit()}});
  auto const reload = [&] { reload_mesh_settings(settings, define, line); };
  auto const leave = [&] {
    registry.leave();
    operators.drain();
  };
  auto const idle = [&] { return registry.idle() && operators.busy() == 0; };
  process.run_until_shutdown(leave, idle, reload, shutdown_timeout(*bounds));
  std::_Exit(0);
}

}  // namespace banktide
