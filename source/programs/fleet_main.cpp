// banktide-fleet: runs a whole deployment as real processes on one machine, under
// load, with routing changes and with faults at given seconds. Then it prints a
// report from the records of the test callers and test backends. Exits with 1 if
// an invariant was violated.
#include "programs/deployment.hpp"
#include "programs/fleet_report.hpp"
#include "programs/process.hpp"
#include "transport/http_edge.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <mutex>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace banktide;
namespace fs = std::filesystem;

namespace {

struct Child {
  std::string name, zone, program, data;
  std::vector<std::string> flags;
  pid_t pid = 0;
  Address http;  // the caller, local or operator interface
  Address local;
  std::size_t starts = 0;
};

struct Event {
  std::uint64_t second = 0;
  std::string action, name;
};

// Ports from the kernel, kept bound but not listening for the whole run, so that the
// kernel doesn't use them for outgoing connections while a process is down.
class Ports {
 public:
  Address next() {
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof a;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), n) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) != 0)
      std::abort();
    held_.push_back(fd);
    return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
  }

 private:
  std::vector<int> held_;
};

class Fleet {
 public:
  Fleet(Process& p, SocketEnvironment& env, std::string bin, fs::path folder)
      : process_(p), env_(env), caller_(env), bin_(std::move(bin)), folder_(std::move(folder)) {}
  ~Fleet() {
    for (auto& [name, c] : children_) end(c, SIGKILL);
  }

  std::map<std::string, Child> children_;

  void start(Child& c) {
    std::vector<std::string> args{bin_ + "/" + c.program};
    args.insert(args.end(), c.flags.begin(), c.flags.end());
    if (c.program == "banktide-backend")
      args.insert(args.end(), {"--instance", c.name + "." + std::to_string(c.starts)});
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

  Result<HttpReply> http(Address const& peer, std::string const& method, std::string const& target,
                         std::string const& body = "", std::vector<Header> headers = {}) {
    std::promise<Result<HttpReply>> p;
    HttpRequest q{method, target, std::move(headers), body};
    process_.run_on_thread([&]() {
      asio::co_spawn(env_.executor(), caller_.run_at(peer, q, env_.now() + 8s),
                     [&](std::exception_ptr e, Result<HttpReply> r) {
                       p.set_value(e ? Result<HttpReply>(make_error("http", peer, "exception")) : std::move(r));
                     });
      return true;
    });
    return p.get_future().get();
  }

  std::int64_t now_ms() const { return as_ms(env_.now().time_since_epoch()); }

  // A node still counts as down for a while after its start, until it is ready again.
  void up(Child& c) {
    auto& spans = actions_.down[c.name];
    if (spans.empty() || spans.back().second != std::numeric_limits<std::int64_t>::max()) return;
    spans.back().second = now_ms() + 3000;
  }
  void down(Child& c) { actions_.down[c.name].emplace_back(now_ms(), std::numeric_limits<std::int64_t>::max()); }

  // Records processor time and peak memory by program.
  void measure() {
    std::map<std::string, std::vector<std::pair<double, double>>> by;
    for (auto const& [name, c] : children_) {
      if (c.pid <= 0) continue;
      std::ifstream stat("/proc/" + std::to_string(c.pid) + "/stat"),
          status("/proc/" + std::to_string(c.pid) + "/status");
      std::string word;
      double ticks = 0, kib = 0;
      for (int i = 1; i <= 15 && stat >> word; ++i)
        if (i >= 14) ticks += std::stod(word);
      for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:")) kib = std::stod(line.substr(6));
      by[c.program].emplace_back(ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)), kib / 1024);
    }
    for (auto& [program, all] : by) {
      std::ostringstream text;
      std::sort(all.begin(), all.end());
      text << program << ": " << all.size() << " processes, processor s median " << all[all.size() / 2].first << " max "
           << all.back().first;
      std::sort(all.begin(), all.end(), [](auto const& a, auto const& b) { return a.second < b.second; });
      text << ", memory MiB median " << all[all.size() / 2].second << " max " << all.back().second;
      actions_.usage.push_back(text.str());
    }
  }

  FleetActions actions_;

  void apply(Event const& e) {
    std::vector<Child*> who;
    for (auto& [name, c] : children_)
      if (name == e.name || "cell=" + c.zone == e.name || "program=" + c.program == e.name) who.push_back(&c);
    if (who.empty()) std::cerr << "banktide-fleet: event names nobody: " << e.name << "\n";
    std::cout << "second " << e.second << ": " << e.action << " " << e.name << std::endl;
    std::vector<std::thread> threads;
    for (Child* const c : who) {
      if (e.action != "start" && e.action != "continue") down(*c);
      if (e.action == "kill") end(*c, SIGKILL);
      if (e.action == "stop" && c->pid > 0) ::kill(c->pid, SIGSTOP);
      if (e.action == "continue" && c->pid > 0) ::kill(c->pid, SIGCONT);
      if (e.action == "start" && c->pid == 0) start(*c);
      if (e.action == "start" || e.action == "continue") up(*c);
      if (e.action == "wipe") {
        end(*c, SIGKILL);
        std::error_code ec;
        if (!c->data.empty()) fs::remove_all(c->data, ec);
        start(*c);
      }
      if (e.action == "roll")
        threads.emplace_back([this, c] {
          end(*c, SIGTERM);
          start(*c);
        });
      if (e.action == "term") threads.emplace_back([c] { end(*c, SIGTERM); });
    }
    for (std::thread& t : threads) t.join();
    if (e.action == "roll" || e.action == "wipe")
      for (Child* const c : who) up(*c);
  }

 private:
  Process& process_;
  SocketEnvironment& env_;
  HttpClient<SocketEnvironment> caller_;
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
  s.text("drill", "", "a cell to take out for three eighths of the run and bring back");
  s.list(
      "event",
      "second:action:name, action one of kill, stop, continue, start, wipe, term, roll; name a process, cell=NAME or program=NAME; or second:storm:N, N revisions from each of two operators at once; repeat");
  s.check([&](std::vector<std::string>& errors) {
    if (s.text("deployment") != "kibble" && s.text("deployment") != "nilewise")
      errors.push_back("deployment: kibble or nilewise");
    if (s.text("folder").empty() || (fs::exists(s.text("folder")) && !fs::is_empty(s.text("folder"))))
      errors.push_back("folder: needed, new or empty");
    for (std::string const& e : s.list("event"))
      if (std::count(e.begin(), e.end(), ':') != 2 || e.find_first_not_of("0123456789") == 0)
        errors.push_back("event: " + e + " is not second:action:name");
  });
  s.check([&](std::vector<std::string>& errors) {
    Deployment const d = s.text("deployment") == "kibble" ? kibble() : nilewise();
    if (!s.text("drill").empty() && std::count(d.zones.begin(), d.zones.end(), s.text("drill")) == 0)
      errors.push_back("drill: no such cell");
    if (!s.text("drill").empty() && s.number("seconds") < 40) errors.push_back("drill: needs 40 seconds or more");
  });
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging("WARN", "banktide-fleet", "fleet");
  std::vector<Event> events;
  for (std::string const& e : s.list("event")) {
    std::size_t const a = e.find(':'), b = e.find(':', a + 1);
    events.push_back(Event{std::stoull(e.substr(0, a)), e.substr(a + 1, b - a - 1), e.substr(b + 1)});
  }
  std::uint64_t const length = s.number("seconds");
  std::string const drill = s.text("drill");
  if (!drill.empty()) {
    events.push_back(Event{length / 4, "kill", "cell=" + drill});
    events.push_back(Event{length / 4 + 2, "move", "away"});
    events.push_back(Event{length * 5 / 8, "start", "cell=" + drill});
    for (std::uint64_t k = 0; k < 4; ++k)
      events.push_back(Event{length * 5 / 8 + 7 + 2 * k, "move", "back-" + std::to_string(k)});
  }
  std::stable_sort(events.begin(), events.end(), [](Event const& a, Event const& b) { return a.second < b.second; });

  Deployment const d = s.text("deployment") == "kibble" ? kibble() : nilewise();
  fs::path const folder = fs::absolute(s.text("folder"));
  fs::create_directories(folder);
  Process process;
  SocketEnvironment env;
  Fleet fleet(process, env, s.text("bin"), folder);
  Ports ports;
  std::vector<Address> stores, registries, operators;
  for (std::size_t i = 0; i < d.zones.size(); ++i) {
    stores.push_back(ports.next());
    registries.push_back(ports.next());
    operators.push_back(ports.next());
  }
  std::vector<std::string> voter_flags;
  for (Address const& a : stores) voter_flags.insert(voter_flags.end(), {"--voter", a});
  std::vector<std::string> const node_seeds{"--seed", registries[0], "--seed", registries[1], "--seed", registries[2]};
  std::vector<Address> caller_addresses;
  std::vector<std::vector<std::string>> nodes_of(d.zones.size());
  std::size_t n = 0;
  for (std::size_t i = 0; i < d.zones.size(); ++i) {
    std::string const core = "core-" + std::to_string(i + 1);
    Child store{"store-" + std::to_string(i + 1), d.zones[i], "banktide-store", folder / core, {}, 0, "", "", 0};
    store.flags = {"--id", store.name, "--address", stores[i], "--data", store.data};
    store.flags.insert(store.flags.end(), voter_flags.begin(), voter_flags.end());
    fleet.children_[store.name] = store;
    Child registry{
        "registry-" + std::to_string(i + 1), d.zones[i], "banktide-registry", "", {}, 0, operators[i], "", 0};
    registry.flags = {"--id",      registry.name, "--cell",     d.zones[i],
                      "--address", registries[i], "--operator", operators[i]};
    registry.flags.insert(registry.flags.end(), voter_flags.begin(), voter_flags.end());
    for (Address const& a : registries)
      if (a != registries[i]) registry.flags.insert(registry.flags.end(), {"--seed", a});
    fleet.children_[registry.name] = registry;
    for (std::size_t k = 0; k < d.nodes[i]; ++k) {
      Child node{"node-" + std::to_string(++n), d.zones[i], "banktide-proxy", "", {}, 0, ports.next(), ports.next(), 0};
      node.flags = {"--id",       node.name,  "--cell",  d.zones[i], "--address",
                    ports.next(), "--caller", node.http, "--local",  node.local};
      if (k < 2) node.flags.push_back("--gateway");
      node.flags.insert(node.flags.end(), node_seeds.begin(), node_seeds.end());
      caller_addresses.push_back(node.http);
      nodes_of[i].push_back(node.name);
      fleet.children_[node.name] = node;
    }
  }
  std::map<std::string, std::size_t> backend_counts;
  std::vector<std::size_t> placed(d.zones.size(), 0);
  for (BackendLocation const& b : d.backends) {
    Child const& node = fleet.children_[nodes_of[b.zone][placed[b.zone]++ % nodes_of[b.zone].size()]];
    Child backend{b.service + "-" + std::to_string(++backend_counts[b.service]),
                  d.zones[b.zone],
                  "banktide-backend",
                  "",
                  {},
                  0,
                  "",
                  "",
                  0};
    backend.flags = {"--service", b.service,  "--address", ports.next(),
                     "--node",    node.local, "--record",  folder / "runs.txt"};
    fleet.children_[backend.name] = backend;
  }
  {
    std::ofstream interfaces_file(folder / "doors");
    for (Address const& a : operators) interfaces_file << "operator " << a << "\n";
    for (Address const& a : caller_addresses) interfaces_file << "caller " << a << "\n";
  }
  Instant const started = env.now();
  for (auto& [name, c] : fleet.children_) fleet.start(c);
  for (Instant const deadline = env.now() + 30s; env.now() < deadline; std::this_thread::sleep_for(100ms)) {
    std::size_t ready = 0, of = 0;
    for (auto const& [name, c] : fleet.children_) {
      if (c.http.empty()) continue;
      ++of;
      Result<HttpReply> const r = fleet.http(c.local.empty() ? c.http : c.local, "GET", "/ready");
      ready += r && r->status == 200;
    }
    if (ready == of) break;
  }
  std::cout << "deployment " << d.name << ": " << fleet.children_.size() << " processes, all ready after "
            << as_ms(env.now() - started) << " ms" << std::endl;

  std::vector<Acknowledged> acks;
  auto const put = [&](Address const& at, std::string const& what, std::string const& body) {
    Result<HttpReply> const r = fleet.http(at, "PUT", "/" + what, body, {{"Content-Type", "application/json"}});
    if (!r || r->status != 200) {
      std::cout << "put " << what << ": " << (r ? std::to_string(r->status) + " " + r->body : r.error().reason)
                << std::endl;
      return;
    }
    acks.push_back(Acknowledged{what, Json::parse(r->body)["revision"].get<Revision>(),
                                as_ms(env.now().time_since_epoch()), body});
  };
  put(operators[0], "routing", d.routing);
  put(operators[1], "catalogue", d.catalogue);
  // Registries grant no leases for one lease term after their start.
  for (Instant const deadline = env.now() + 15s; env.now() < deadline; std::this_thread::sleep_for(100ms)) {
    Result<HttpReply> const r = fleet.http(operators[0], "GET", "/moves");
    Json const j = r && r->status == 200 ? Json::parse(r->body, nullptr, false) : Json();
    Json const rows = j.is_object() ? j.value("slices", Json::array()) : Json::array();
    if (!rows.empty() && std::all_of(rows.begin(), rows.end(), [](Json const& row) { return row["state"] == "held"; }))
      break;
  }

  // The operators' part of a drill: the slices of the drilled zone move to the zone
  // that has the others, and move back a quarter at a time.
  auto const move = [&](std::string const& what) {
    Json const catalogue = Json::parse(d.catalogue);
    std::string lines;
    Json const here = catalogue["cells"].value(drill, Json::object());
    for (auto const& [service, e] : here.items()) {
      std::string other;
      for (auto const& [zone, services] : catalogue["cells"].items())
        if (zone != drill && services.contains(service)) other = zone;
      for (Json const& range : e["slices"]) {
        std::uint64_t const first = range[0], n = range[1].get<std::uint64_t>() - first + 1,
                            k = what == "away" ? 0 : static_cast<std::uint64_t>(what.back() - '0');
        std::uint64_t const a = what == "away" ? first : first + n * k / 4,
                            b = what == "away" ? first + n - 1 : first + n * (k + 1) / 4 - 1;
        if (a <= b)
          lines +=
              Json{{"change", "move"}, {"service", service}, {"slices", {a, b}}, {"to", what == "away" ? other : drill}}
                  .dump() +
              "\n";
      }
    }
    if (lines.empty()) return;
    std::size_t const at = static_cast<std::size_t>(std::find(d.zones.begin(), d.zones.end(), drill) - d.zones.begin());
    Result<HttpReply> const r = fleet.http(operators[(at + 1) % operators.size()], "POST", "/changes", lines);
    std::cout << "moved " << what << ": " << (r ? r->body : r.error().reason + "\n") << std::flush;
  };

  // Two operators at two registries write as fast as they can: one unconditionally,
  // the other only if the newest revision is still the one that it knows (If-Match).
  std::vector<std::thread> operator_threads;
  std::vector<std::vector<Acknowledged>> storm_acknowledgements;
  std::mutex results_mutex;  // protects the results and the output of the operator threads
  auto const storm = [&](std::uint64_t const n) {
    for (std::size_t const k : {0, 1})
      operator_threads.emplace_back([&, n, k] {
        std::vector<Acknowledged> acknowledged;
        std::map<std::uint16_t, std::uint64_t> by;
        Json layout = Json::parse(d.routing);
        Revision newest = 0;
        for (std::uint64_t i = 0; i < n; ++i) {
          layout["note"] = "storm " + std::to_string(k) + " " + std::to_string(i);
          std::vector<Header> headers{{"Content-Type", "application/json"}};
          if (k == 1) headers.push_back({"If-Match", std::to_string(newest)});
          std::string const body = layout.dump();
          Result<HttpReply> const r =
              fleet.http(operators[(2 * k + 1) % operators.size()], "PUT", "/routing", body, headers);
          ++by[r ? r->status : std::uint16_t{0}];
          Json const j = r ? Json::parse(r->body, nullptr, false) : Json();
          if (j.is_object()) newest = std::max<Revision>(newest, j.value("revision", Revision{0}));
          if (r && r->status == 200) acknowledged.push_back(Acknowledged{"routing", newest, fleet.now_ms(), body});
        }
        std::lock_guard<std::mutex> const lock(results_mutex);
        std::cout << "storm, operator " << k << ":";
        for (auto const& [status, count] : by) std::cout << " " << status << "=" << count;
        std::cout << std::endl;
        storm_acknowledgements.push_back(std::move(acknowledged));
      });
  };

  Child calls{"caller", "", "banktide-caller", "", {}, 0, "", "", 0};
  calls.flags = {"--record",  folder / "calls.txt",
                 "--seconds", std::to_string(s.number("seconds")),
                 "--seed",    std::to_string(s.number("seed"))};
  for (Address const& a : caller_addresses) calls.flags.insert(calls.flags.end(), {"--node", a});
  for (std::string const& m : d.mix) calls.flags.insert(calls.flags.end(), {"--mix", m});
  Instant const from = env.now();
  fleet.start(calls);
  std::mt19937_64 chance(s.number("seed"));
  Duration const every = std::chrono::milliseconds(s.number("revision-every-ms"));
  Instant next_revision = from + every;
  std::size_t next_event = 0, revision = 1;
  while (true) {
    int status = 0;
    if (::waitpid(calls.pid, &status, WNOHANG) == calls.pid) break;
    while (next_event < events.size() && env.now() - from >= std::chrono::seconds(events[next_event].second)) {
      Event const e = events[next_event++];
      std::int64_t const at = fleet.now_ms();
      fleet.actions_.faults.push_back(Stage{e.action + " " + e.name, at, at + 5000});
      if (e.action == "move" && !drill.empty())
        move(e.name);
      else if (e.action == "storm")
        storm(std::strtoull(e.name.c_str(), nullptr, 10));
      else
        fleet.apply(e);
    }
    if (every > 0s && env.now() >= next_revision) {
      next_revision += every;
      Json layout = Json::parse(d.routing);
      layout["note"] = "revision " + std::to_string(++revision) + " of the run";
      put(operators[chance() % operators.size()], "routing", layout.dump());
    }
    std::this_thread::sleep_for(5ms);
  }
  calls.pid = 0;
  for (std::thread& t : operator_threads) t.join();
  for (std::vector<Acknowledged> const& acknowledged : storm_acknowledgements)
    acks.insert(acks.end(), acknowledged.begin(), acknowledged.end());
  std::this_thread::sleep_for(500ms);

  std::uint64_t extra_tries = 0;
  for (auto const& [name, c] : fleet.children_) {
    if (c.program != "banktide-proxy" || c.pid == 0) continue;
    Result<HttpReply> const r = fleet.http(c.local, "GET", "/state");
    if (r && r->status == 200) extra_tries += Json::parse(r->body)["calls"]["extra_tries"].get<std::uint64_t>();
  }
  std::string readback = "none";
  for (Address const& at : operators) {
    Result<HttpReply> const r = fleet.http(at, "GET", "/routing");
    if (r && r->status == 200) readback = r->body;
  }
  fleet.measure();
  FleetActions actions = fleet.actions_;
  for (auto const& [name, c] : fleet.children_) actions.zone_of[name] = c.zone;
  if (!drill.empty()) {
    std::int64_t const zero = as_ms(from.time_since_epoch()), out = zero + static_cast<std::int64_t>(length / 4) * 1000,
                       back = zero + static_cast<std::int64_t>(length * 5 / 8) * 1000;
    actions.phases = {Stage{"before", zero, out}, Stage{"out", out, back},
                      Stage{"back", back, zero + static_cast<std::int64_t>(length) * 1000}};
  }
  FleetReport const report(folder, acks, extra_tries, readback, actions);
  report.print(std::cout);
  for (auto& [name, c] : fleet.children_) Fleet::end(c, SIGKILL);
  std::cout.flush();
  std::_Exit(report.broken() ? 1 : 0);
}
