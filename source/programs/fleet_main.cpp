// banktide-fleet: a whole deployment on one machine as real processes, under
// its load, with revisions going in and faults at given seconds; then a report
// made from the records of the stand-in callers and backends. Exits with 1 when
// a rule was broken.
#include "programs/deployment.hpp"
#include "programs/fleet_report.hpp"
#include "programs/process.hpp"
#include "transport/http_edge.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace banktide;
namespace fs = std::filesystem;

namespace {

struct Child {
  std::string name, cell, program, data;
  std::vector<std::string> flags;
  pid_t pid = 0;
  Address http;  // caller, local or operator door
  Address local;
  std::size_t starts = 0;
};

struct Event {
  std::uint64_t second = 0;
  std::string action, name;
};

// Ports from the kernel, held open until all are known so that none repeats.
class Ports {
 public:
  Address next() {
    int const fd = ::socket(AF_INET, SOCK_STREAM, 0);
    int const one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof a;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), n) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) != 0) std::abort();
    held_.push_back(fd);
    return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
  }
  void release() {
    for (int const fd : held_) ::close(fd);
    held_.clear();
  }

 private:
  std::vector<int> held_;
};

class Fleet {
 public:
  Fleet(Process& p, SocketWorld& w, std::string bin, fs::path folder) : process_(p), world_(w), caller_(w), bin_(std::move(bin)), folder_(std::move(folder)) {}
  ~Fleet() {
    for (auto& [name, c] : children_) end(c, SIGKILL);
  }

  std::map<std::string, Child> children_;

  void start(Child& c) {
    std::vector<std::string> args{bin_ + "/" + c.program};
    args.insert(args.end(), c.flags.begin(), c.flags.end());
    if (c.program == "banktide-backend") args.insert(args.end(), {"--instance", c.name + "." + std::to_string(c.starts)});
    ++c.starts;
    std::vector<char*> argv;
    for (std::string& a : args) argv.push_back(a.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    std::string const log = folder_ / (c.name + ".log");
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
    if (::posix_spawn(&c.pid, args[0].c_str(), &files, nullptr, argv.data(), environ) != 0) {
      std::cerr << "banktide-fleet: can't start " << args[0] << "\n";
      c.pid = 0;
    }
    posix_spawn_file_actions_destroy(&files);
  }

  static int end(Child& c, int const sig) {
    if (c.pid <= 0) return 0;
    ::kill(c.pid, sig);
    if (sig == SIGKILL) ::kill(c.pid, SIGCONT);
    int status = 0;
    ::waitpid(c.pid, &status, 0);
    c.pid = 0;
    return status;
  }

  Result<HttpReply> http(Address const& peer, std::string const& method, std::string const& target, std::string const& body = "", std::vector<Header> headers = {}) {
    std::promise<Result<HttpReply>> p;
    HttpRequest q{method, target, std::move(headers), body};
    process_.on_thread([&]() {
      asio::co_spawn(world_.executor(), caller_.run_at(peer, q, world_.now() + 8s), [&](std::exception_ptr e, Result<HttpReply> r) { p.set_value(e ? Result<HttpReply>(mishap("http", peer, "exception")) : std::move(r)); });
      return true;
    });
    return p.get_future().get();
  }

  void apply(Event const& e) {
    std::vector<Child*> who;
    for (auto& [name, c] : children_)
      if (name == e.name || "cell=" + c.cell == e.name || "program=" + c.program == e.name) who.push_back(&c);
    if (who.empty()) std::cerr << "banktide-fleet: event names nobody: " << e.name << "\n";
    std::cout << "second " << e.second << ": " << e.action << " " << e.name << std::endl;
    std::vector<std::thread> goers;
    for (Child* const c : who) {
      if (e.action == "kill") end(*c, SIGKILL);
      if (e.action == "stop" && c->pid > 0) ::kill(c->pid, SIGSTOP);
      if (e.action == "continue" && c->pid > 0) ::kill(c->pid, SIGCONT);
      if (e.action == "start" && c->pid == 0) start(*c);
      if (e.action == "wipe") {
        end(*c, SIGKILL);
        std::error_code ec;
        if (!c->data.empty()) fs::remove_all(c->data, ec);
        start(*c);
      }
      if (e.action == "roll") goers.emplace_back([this, c] {
        end(*c, SIGTERM);
        start(*c);
      });
      if (e.action == "term") goers.emplace_back([c] { end(*c, SIGTERM); });
    }
    for (std::thread& t : goers) t.join();
  }

 private:
  Process& process_;
  SocketWorld& world_;
  HttpCaller<SocketWorld> caller_;
  std::string const bin_;
  fs::path const folder_;
};

}  // namespace

int main(int argc, char** argv) {
  Settings s("banktide-fleet");
  s.text("deployment", "kibble", "kibble or nilewise");
  s.text("folder", "", "folder for logs, records and data; must be new or empty");
  s.text("bin", fs::path(argv[0]).parent_path().string(), "folder of the programs");
  s.number("seconds", 20, 1, 86400, "how long to call");
  s.number("seed", 1, 0, UINT64_MAX, "seed of keys, nodes and registries");
  s.number("revision-every-ms", 1000, 0, 3600000, "time between routing revisions (0: none)");
  s.list("event", "second:action:name, action one of kill, stop, continue, start, wipe, term, roll; name a process, cell=NAME or program=NAME; repeat");
  s.check([&](std::vector<std::string>& errors) {
    if (s.text("deployment") != "kibble" && s.text("deployment") != "nilewise") errors.push_back("deployment: kibble or nilewise");
    if (s.text("folder").empty() || (fs::exists(s.text("folder")) && !fs::is_empty(s.text("folder")))) errors.push_back("folder: needed, new or empty");
    for (std::string const& e : s.list("event"))
      if (std::count(e.begin(), e.end(), ':') != 2 || e.find_first_not_of("0123456789") == 0) errors.push_back("event: " + e + " is not second:action:name");
  });
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging("WARN", "banktide-fleet", "fleet");
  std::vector<Event> events;
  for (std::string const& e : s.list("event")) {
    std::size_t const a = e.find(':'), b = e.find(':', a + 1);
    events.push_back(Event{std::stoull(e.substr(0, a)), e.substr(a + 1, b - a - 1), e.substr(b + 1)});
  }
  std::stable_sort(events.begin(), events.end(), [](Event const& a, Event const& b) { return a.second < b.second; });

  Deployment const d = s.text("deployment") == "kibble" ? kibble() : nilewise();
  fs::path const folder = fs::absolute(s.text("folder"));
  fs::create_directories(folder);
  Process process;
  SocketWorld world;
  Fleet fleet(process, world, s.text("bin"), folder);
  Ports ports;
  std::vector<Address> stores, registries, operators;
  for (std::size_t i = 0; i < d.cells.size(); ++i) {
    stores.push_back(ports.next());
    registries.push_back(ports.next());
    operators.push_back(ports.next());
  }
  std::vector<std::string> voter_flags;
  for (Address const& a : stores) voter_flags.insert(voter_flags.end(), {"--voter", a});
  std::vector<std::string> const node_seeds{"--seed", registries[0], "--seed", registries[1], "--seed", registries[2]};
  std::vector<Address> doors;
  std::vector<std::vector<std::string>> nodes_of(d.cells.size());
  std::size_t n = 0;
  for (std::size_t i = 0; i < d.cells.size(); ++i) {
    std::string const core = "core-" + std::to_string(i + 1);
    Child store{"store-" + std::to_string(i + 1), d.cells[i], "banktide-store", folder / core, {}, 0, "", "", 0};
    store.flags = {"--id", store.name, "--address", stores[i], "--data", store.data};
    store.flags.insert(store.flags.end(), voter_flags.begin(), voter_flags.end());
    fleet.children_[store.name] = store;
    Child registry{"registry-" + std::to_string(i + 1), d.cells[i], "banktide-registry", "", {}, 0, operators[i], "", 0};
    registry.flags = {"--id", registry.name, "--cell", d.cells[i], "--address", registries[i], "--operator", operators[i]};
    registry.flags.insert(registry.flags.end(), voter_flags.begin(), voter_flags.end());
    for (Address const& a : registries)
      if (a != registries[i]) registry.flags.insert(registry.flags.end(), {"--seed", a});
    fleet.children_[registry.name] = registry;
    for (std::size_t k = 0; k < d.nodes[i]; ++k) {
      Child node{"node-" + std::to_string(++n), d.cells[i], "banktide-proxy", "", {}, 0, ports.next(), ports.next(), 0};
      node.flags = {"--id", node.name, "--cell", d.cells[i], "--address", ports.next(), "--caller", node.http, "--local", node.local};
      if (k < 2) node.flags.push_back("--gateway");
      node.flags.insert(node.flags.end(), node_seeds.begin(), node_seeds.end());
      doors.push_back(node.http);
      nodes_of[i].push_back(node.name);
      fleet.children_[node.name] = node;
    }
  }
  std::map<std::string, std::size_t> counted;
  std::vector<std::size_t> placed(d.cells.size(), 0);
  for (BackendPlace const& b : d.backends) {
    Child const& node = fleet.children_[nodes_of[b.cell][placed[b.cell]++ % nodes_of[b.cell].size()]];
    Child backend{b.service + "-" + std::to_string(++counted[b.service]), d.cells[b.cell], "banktide-backend", "", {}, 0, "", "", 0};
    backend.flags = {"--service", b.service, "--address", ports.next(), "--node", node.local, "--record", folder / "runs.txt"};
    fleet.children_[backend.name] = backend;
  }
  ports.release();
  Instant const started = world.now();
  for (auto& [name, c] : fleet.children_) fleet.start(c);
  for (Instant const patience = world.now() + 30s; world.now() < patience; std::this_thread::sleep_for(100ms)) {
    std::size_t ready = 0, of = 0;
    for (auto const& [name, c] : fleet.children_) {
      if (c.http.empty()) continue;
      ++of;
      Result<HttpReply> const r = fleet.http(c.local.empty() ? c.http : c.local, "GET", "/ready");
      ready += r && r->status == 200;
    }
    if (ready == of) break;
  }
  std::cout << "deployment " << d.name << ": " << fleet.children_.size() << " processes, all ready after " << as_ms(world.now() - started) << " ms" << std::endl;

  std::vector<Acknowledged> acks;
  auto const put = [&](Address const& at, std::string const& what, std::string const& body) {
    Result<HttpReply> const r = fleet.http(at, "PUT", "/" + what, body, {{"Content-Type", "application/json"}});
    if (!r || r->status != 200) {
      std::cout << "put " << what << ": " << (r ? std::to_string(r->status) + " " + r->body : r.error().reason) << std::endl;
      return;
    }
    acks.push_back(Acknowledged{what, Json::parse(r->body)["revision"].get<Revision>(), as_ms(world.now().time_since_epoch()), body});
  };
  put(operators[0], "routing", d.routing);
  put(operators[1], "catalogue", d.catalogue);
  std::this_thread::sleep_for(2s);

  Child calls{"caller", "", "banktide-caller", "", {}, 0, "", "", 0};
  calls.flags = {"--record", folder / "calls.txt", "--seconds", std::to_string(s.number("seconds")), "--seed", std::to_string(s.number("seed"))};
  for (Address const& a : doors) calls.flags.insert(calls.flags.end(), {"--node", a});
  for (std::string const& m : d.mix) calls.flags.insert(calls.flags.end(), {"--mix", m});
  Instant const from = world.now();
  fleet.start(calls);
  std::mt19937_64 chance(s.number("seed"));
  Duration const every = std::chrono::milliseconds(s.number("revision-every-ms"));
  Instant next_revision = from + every;
  std::size_t next_event = 0, revision = 1;
  while (true) {
    int status = 0;
    if (::waitpid(calls.pid, &status, WNOHANG) == calls.pid) break;
    while (next_event < events.size() && world.now() - from >= std::chrono::seconds(events[next_event].second)) fleet.apply(events[next_event++]);
    if (every > 0s && world.now() >= next_revision) {
      next_revision += every;
      Json layout = Json::parse(d.routing);
      layout["note"] = "revision " + std::to_string(++revision) + " of the run";
      put(operators[chance() % operators.size()], "routing", layout.dump());
    }
    std::this_thread::sleep_for(5ms);
  }
  calls.pid = 0;
  std::this_thread::sleep_for(500ms);

  std::uint64_t extras = 0;
  for (auto const& [name, c] : fleet.children_) {
    if (c.program != "banktide-proxy" || c.pid == 0) continue;
    Result<HttpReply> const r = fleet.http(c.local, "GET", "/state");
    if (r && r->status == 200) extras += Json::parse(r->body)["calls"]["extra_tries"].get<std::uint64_t>();
  }
  std::string readback = "none";
  for (Address const& at : operators) {
    Result<HttpReply> const r = fleet.http(at, "GET", "/routing");
    if (r && r->status == 200) readback = r->body;
  }
  FleetReport const report(folder, acks, extras, readback);
  report.print(std::cout);
  for (auto& [name, c] : fleet.children_) Fleet::end(c, SIGKILL);
  std::cout.flush();
  std::_Exit(report.broken() ? 1 : 0);
}
