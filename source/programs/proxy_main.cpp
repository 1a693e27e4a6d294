// banktide-proxy: the proxy on every application machine; a setting makes it a gateway.
#include "platform/platform_adapter.hpp"
#include "platform/settings_file.hpp"
#include "programs/mesh_programs.hpp"
#include "programs/process.hpp"
#include "programs/proxy.hpp"
#include "transport/http_edge.hpp"

using namespace banktide;

namespace {

void define(Settings& s) {
  s.text("id", "", "name of this node");
  s.text("cell", "", "the cell that it stands in");
  s.text("address", "", "ip:port for other processes");
  s.text("caller", "", "ip:port for callers (HTTP)");
  s.text("local", "", "ip:port for this machine's backends and platform (HTTP)");
  s.flag("gateway", "also take calls from other cells");
  s.list("seed", "ip:port of another process; repeat for three");
  s.number("beat-expiry-ms", 3000, 200, 60000, "a backend silent for longer is not called");
  s.number("backend-limit", 128, 1, 100000, "calls in flight at one backend");
  s.number("slice-limit", 32, 1, 100000, "calls in flight for one key slice");
  s.number("decisions-kept", 8192, 64, 1000000, "decisions kept for those who watch them");
  s.require_name("id");
  s.require_name("cell");
  s.require_address("address");
  s.require_address("caller");
  s.require_address("local");
  s.require_addresses("seed", 1);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> const on_platform = platform::command_line(argc, argv);
  if (!on_platform.empty()) return run_mesh_proxy(on_platform, platform::adapter());
  Settings s("banktide-proxy");
  define(s);
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging(s.text("log-level"), "banktide-proxy", s.text("id"));
  Process process;
  SocketEnvironment env;
  Dispatcher dispatcher;
  Result<Address> const bound = env.listen(s.text("address"));
  if (!bound) {
    log_warn("start_failed",
             {{"step", bound.error().step}, {"peer", bound.error().peer}, {"reason", bound.error().reason}});
    return 1;
  }
  using Edge = HttpClient<SocketEnvironment>;
  Edge edge(env);
  ProxySettings settings{s.text("id"), s.text("cell"), *bound, s.flag("gateway"), s.list("seed")};
  settings.heartbeat_expiry = std::chrono::milliseconds(s.number("beat-expiry-ms"));
  settings.backend_limit = static_cast<std::uint32_t>(s.number("backend-limit"));
  settings.slice_limit = static_cast<std::uint32_t>(s.number("slice-limit"));
  settings.decisions_kept = s.number("decisions-kept");
  Proxy<SocketEnvironment, Edge> proxy(env, edge, settings);
  HttpListener callers(env.io(), s.text("caller"), [&](HttpRequest q) { return proxy.call(std::move(q)); });
  HttpListener local(env.io(), s.text("local"),
                     [&](HttpRequest q) -> Task<HttpReply> { co_return proxy.handle_platform_request(q); });
  process.run_on_thread([&]() {
    env.serve(dispatcher);
    proxy.start(dispatcher);
    return true;
  });
  for (HttpListener* const l : {&local, &callers}) {
    Result<bool> const open = l->open();
    if (!open) {
      log_warn("start_failed",
               {{"step", open.error().step}, {"peer", open.error().peer}, {"reason", open.error().reason}});
      return 1;
    }
  }
  log_info("started", {{"commit", source_commit()},
                       {"address", *bound},
                       {"caller", s.text("caller")},
                       {"local", s.text("local")},
                       {"gateway", s.flag("gateway") ? "yes" : "no"}});
  auto const reload = [&] {
    Process::reload(s, define, argc, argv, [&](std::string const& name, Settings const& fresh) {
      if (name == "beat-expiry-ms")
        settings.heartbeat_expiry = std::chrono::milliseconds(fresh.number(name));
      else if (name == "backend-limit")
        settings.backend_limit = static_cast<std::uint32_t>(fresh.number(name));
      else if (name == "slice-limit")
        settings.slice_limit = static_cast<std::uint32_t>(fresh.number(name));
      else
        return false;
      proxy.apply_settings(settings);
      return true;
    });
  };
  Instant left{};
  process.run_until_shutdown(
      [&] {
        left = env.now();
        proxy.leave();
      },
      [&] { return proxy.idle() && env.now() - left > 2500ms; }, reload, 5500ms);
  std::_Exit(0);
}
