// banktide-backend: a backend for tests. It sends heartbeats to the node on its
// machine, answers calls, and writes a line to its record before and after each
// execution, so that executions are known independently of the mesh.
#include <fcntl.h>
#include <unistd.h>

#include "programs/process.hpp"
#include "transport/http_edge.hpp"

using namespace banktide;

namespace {

std::string header(HttpRequest const& q, std::string const& name) {
  for (Header const& h : q.headers)
    if (h.name == name) return h.value;
  return "-";
}

std::int64_t now_ms() { return as_ms(std::chrono::steady_clock::now().time_since_epoch()); }

}  // namespace

int main(int argc, char** argv) {
  Settings settings("banktide-backend");
  settings.text("service", "", "the service that it stands for");
  settings.text("instance", "", "its own name, new for each start");
  settings.text("address", "", "ip:port to listen at");
  settings.text("node", "", "ip:port of the node's local door");
  settings.text("record", "", "file for the record of runs");
  settings.number("work-ms", 5, 0, 60000, "how long a run takes");
  settings.number("beat-ms", 500, 10, 60000, "time between beats");
  settings.require_name("service");
  settings.require_name("instance");
  settings.require_address("address");
  settings.require_address("node");
  if (std::optional<int> const code = settings.read(argc, argv)) return *code;
  start_logging(settings.text("log-level"), "banktide-backend", settings.text("instance"));
  int const record = settings.text("record").empty()
                         ? -1
                         : ::open(settings.text("record").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  Process process;
  SocketEnvironment env;
  std::string const service = settings.text("service"), instance = settings.text("instance"),
                    node = settings.text("node");
  Duration const work = std::chrono::milliseconds(settings.number("work-ms")),
                 every = std::chrono::milliseconds(settings.number("beat-ms"));
  std::uint32_t running = 0;
  bool leaving = false;
  Instant leave_reported_at{};
  auto const write = [&](std::string const& what, HttpRequest const& q) {
    std::string const line = what + " " + std::to_string(now_ms()) + " " + header(q, "call-id") + " " + service + " " +
                             instance + " " + header(q, "x-key") + " " + header(q, "banktide-epoch") + " " + q.method +
                             "\n";
    if (record >= 0 && ::write(record, line.data(), line.size()) < 0) log_warn("record_failed", {});
  };
  HttpListener listener(env.io(), settings.text("address"), [&](HttpRequest q) -> Task<HttpReply> {
    HttpReply reply;
    reply.headers = {{"Content-Type", "application/json"}};
    if (header(q, "banktide-service") != service || header(q, "banktide-instance") != instance) {
      write("stranger", q);
      reply.status = 421;
      reply.headers.push_back({"banktide-not-run", "1"});
      co_return reply;
    }
    ++running;
    write("begin", q);
    co_await sleep_for(env, work);
    write("end", q);
    --running;
    reply.status = 200;
    reply.body = Json{{"service", service}, {"instance", instance}, {"call", header(q, "call-id")},
                      {"target", q.target}, {"method", q.method},   {"digest", std::to_string(digest_of(q.body))}}
                     .dump();
    co_return reply;
  });
  Result<bool> const open = listener.open();
  if (!open) {
    log_warn("start_failed", {{"step", open.error().step}, {"reason", open.error().reason}});
    return 1;
  }
  std::uint16_t const port = static_cast<std::uint16_t>(parse_address(settings.text("address"))->port());
  HttpClient<SocketEnvironment> caller(env);
  auto const heartbeat_loop = [&]() -> Task<void> {
    while (true) {
      HttpRequest q{
          "POST",
          "/beat",
          {{"Content-Type", "application/json"}},
          Json{{"service", service}, {"instance", instance}, {"port", port}, {"burden", running}, {"leaving", leaving}}
              .dump()};
      Result<HttpReply> const r = co_await caller.run_at(node, std::move(q), env.now() + 1s);
      if (!r || r->status != 200)
        log_warn("beat_failed",
                 {{"peer", node}, {"reason", r ? "status " + std::to_string(r->status) : r.error().reason}});
      else if (leaving && leave_reported_at == Instant{})
        leave_reported_at = env.now();
      co_await sleep_for(env, leaving && leave_reported_at == Instant{} ? 20ms : every);
    }
  };
  process.run_on_thread([&]() {
    spawn(env, heartbeat_loop());
    return true;
  });
  log_info("started", {{"address", settings.text("address")}});
  process.run_until_shutdown(
      [&] { leaving = true; },
      [&] { return leave_reported_at != Instant{} && env.now() - leave_reported_at > 2s && running == 0; }, [] {}, 6s);
  std::_Exit(0);
}
