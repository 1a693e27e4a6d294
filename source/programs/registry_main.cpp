// banktide-registry: the control plane of a zone, with the operator interface.
#include "platform/platform_adapter.hpp"
#include "platform/settings_file.hpp"
#include "programs/mesh_programs.hpp"
#include "programs/process.hpp"
#include "programs/operator_streams.hpp"
#include "transport/http_edge.hpp"

using namespace banktide;

namespace {

void define(Settings& settings) {
  settings.text("id", "", "name of this registry");
  settings.text("cell", "", "the cell that it serves");
  settings.text("address", "", "ip:port for other processes");
  settings.text("operator", "", "ip:port for operators and the platform (HTTP)");
  settings.list("seed", "ip:port of another process; repeat for three");
  settings.list("voter", "ip:port of a store; repeat for every voter");
  settings.require_name("id");
  settings.require_name("cell");
  settings.require_address("address");
  settings.require_address("operator");
  settings.require_addresses("seed", 1);
  settings.require_addresses("voter", 1);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> const on_platform = platform::command_line(argc, argv);
  if (!on_platform.empty()) return run_mesh_registry(on_platform, platform::adapter());
  Settings settings("banktide-registry");
  define(settings);
  if (std::optional<int> const code = settings.read(argc, argv)) return *code;
  start_logging(settings.text("log-level"), "banktide-registry", settings.text("id"));
  Process process;
  SocketEnvironment env;
  Dispatcher dispatcher;
  Result<Address> const bound = env.listen(settings.text("address"));
  if (!bound) {
    log_warn("start_failed",
             {{"step", bound.error().step}, {"peer", bound.error().peer}, {"reason", bound.error().reason}});
    return 1;
  }
  Registry<SocketEnvironment> registry(env, RegistrySettings{settings.text("id"), settings.text("cell"), *bound,
                                                             settings.list("seed"), settings.list("voter")});
  HttpListener operators(env.io(), settings.text("operator"),
                         [&](HttpRequest q) { return registry.handle_operator_request(std::move(q)); });
  OperatorStreams<SocketEnvironment> streams(registry);
  operators.on_line_request("/changes",
                            [&](HttpRequest q, LineReader& in) { return streams.changes(std::move(q), in); });
  operators.on_line_response("/verdicts",
                             [&](HttpRequest q, LineWriter& out) { return streams.verdicts(std::move(q), out); });
  operators.on_line_response("/decisions",
                             [&](HttpRequest q, LineWriter& out) { return streams.decisions(std::move(q), out); });
  process.run_on_thread([&]() {
    env.serve(dispatcher);
    registry.start(dispatcher);
    return true;
  });
  Result<bool> const open = operators.open();
  if (!open) {
    log_warn("start_failed",
             {{"step", open.error().step}, {"peer", open.error().peer}, {"reason", open.error().reason}});
    return 1;
  }
  log_info("started", {{"commit", source_commit()}, {"address", *bound}, {"operator", settings.text("operator")}});
  process.run_until_shutdown(
      [&] { registry.leave(); }, [&] { return registry.idle(); },
      [&] { Process::reload(settings, define, argc, argv, [](std::string const&, Settings const&) { return false; }); },
      5500ms);
  std::_Exit(0);
}
