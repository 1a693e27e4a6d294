// banktide-proxy for the mesh: settings, sockets and signal handling around one
// MeshNode.
#include "programs/mesh_node.hpp"
#include "programs/mesh_programs.hpp"
#include "programs/mesh_settings.hpp"
#include "transport/socket_environment.hpp"

namespace banktide {

namespace {

void define(Settings& settings) {
  define_mesh_settings(settings);
  settings.text("region", "", "the region that the zone belongs to; not used");
  settings.text("client-address", "", "ip:port for requests of this machine's clients and backend (HTTP)");
  settings.text("inbound-address", "", "ip:port kept for requests from outside; not used");
  settings.text("readiness-address", "", "ip:port at which the platform asks whether the node is ready (HTTP)");
  settings.text("local-address", "", "ip:port for the heartbeats of this machine's backend (HTTP)");
  settings.text("service", "", "the service of this machine's backend");
  settings.text("backend-address", "", "ip:port of this machine's backend; not used: backends tell theirs");
  settings.text("heartbeat-interval", "", "seconds between two heartbeats of a backend; 1.5 if it isn't a number");
  settings.text("memory-mb", "0", "the memory that the process may use, in MB; 0: not stated");
  settings.text("cpu-share", "", "the part of a core that the process may use; not used");
  settings.list("contracts", "parts of the operators' rules in force; not used");
  settings.require_address("client-address");
  settings.require_address("readiness-address");
  settings.require_address("local-address");
}

MeshNodeSettings node_settings(Settings const& settings, TimingBounds const& bounds) {
  MeshNodeSettings n;
  n.follower.id = settings.text("id");
  n.follower.zone = settings.text("zone");
  n.follower.address = settings.text("address");
  n.follower.gateway = true;
  n.follower.seeds = seed_peers(settings);
  n.follower.timing = mesh_timing();
  n.service = settings.text("service");
  n.store_port = store_port(settings);
  n.bounds = bounds;
  n.heartbeat_interval = seconds_of(settings, "heartbeat-interval", n.heartbeat_interval);
  n.keys = key_settings(bounds);
  n.shutdown_timeout = shutdown_timeout(bounds);
  return n;
}

HttpServerLimits limits_of(ClientLimits const& limits) {
  HttpServerLimits l;
  l.header_bytes = limits.header_bytes;
  l.body_bytes = limits.body_bytes;
  l.header_timeout = limits.header_timeout;
  l.idle_timeout = limits.idle_timeout;
  return l;
}

// A body from a peer is in memory twice while it is unpacked, and the kernel buffers part of the next ones.
PeerLimits peer_limits(Settings const& settings) {
  constexpr std::size_t part_for_requests = 5;
  PeerLimits limits;
  std::size_t const memory = number_of(settings, "memory-mb", 0) << 20;
  if (memory > 0) limits.accepted_request_bytes = memory / part_for_requests;
  return limits;
}

}  // namespace

int run_mesh_proxy(std::vector<std::string> const& arguments, InterfaceAdapter const& adapter) {
  CommandLine line(arguments);
  Settings settings("banktide-proxy");
  define(settings);
  if (std::optional<int> const code = settings.read(line.count(), line.words())) return *code;
  start_logging(settings.text("log-level"), "banktide-proxy", settings.text("id"));
  Result<TimingBounds> const bounds = adapter.read_bounds(settings.list("bounds"));
  if (!bounds) return start_failed(bounds.error());
  Process process;
  SocketEnvironment env(peer_limits(settings));
  Dispatcher dispatcher;
  Result<Address> const bound = env.listen(settings.text("address"));
  if (!bound) return start_failed(bound.error());
  ConnectionsFactory const factory = [&env](Address const& address, std::size_t const limit) {
    return std::make_unique<BackendConnections>(env.io(), address, limit);
  };
  MeshNode<SocketEnvironment> node(env, node_settings(settings, *bounds), adapter, factory);
  HttpServer clients(
      env.io(),
      [&node](HttpRequest q, std::shared_ptr<HttpExchange> x) { return node.request(std::move(q), std::move(x)); }, {});
  HttpHandler const interface = [&node](HttpRequest q, std::shared_ptr<HttpExchange>) {
    return node.handle_interface_request(std::move(q));
  };
  HttpServer readiness(env.io(), interface, {});
  HttpServer local(env.io(), interface, {});
  node.on_limits = [&clients](ClientLimits const& limits) { clients.set_limits(limits_of(limits)); };
  Result<Address> const open = process.run_on_thread([&]() -> Result<Address> {
    env.serve(dispatcher);
    node.start(dispatcher);
    Result<Address> listening = readiness.listen(settings.text("readiness-address"));
    if (listening) listening = local.listen(settings.text("local-address"));
    if (listening) listening = clients.listen(settings.text("client-address"));
    return listening;
  });
  if (!open) return start_failed(open.error());
  log_info("started", {{"address", *bound},
                       {"clients", settings.text("client-address")},
                       {"zone", settings.text("zone")},
                       {"commit", source_commit()}});
  auto const leave = [&] {
    node.leave();
    clients.drain();
  };
  auto const idle = [&] {
    if (node.refusing()) clients.close_listener();
    return node.may_exit(clients.busy());
  };
  auto const reload = [&] { reload_mesh_settings(settings, define, line); };
  process.run_until_shutdown(leave, idle, reload, shutdown_timeout(*bounds));
  std::_Exit(0);
}

}  // namespace banktide
