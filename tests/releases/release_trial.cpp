// Runs programs of two releases as one deployment on loopback, or one after the other on the same data, and checks
// what must survive: configuration, voters, maintenance windows, fences of keys, and requests under way.
//
//     release_trial FOLDER PROGRAMS MODE
//
// PROGRAMS holds wrappers that run the old or the new release (see run.sh). MODE is `mixed` (both side by side; each
// process is restarted in its own release) or `upgrade` (all start as the old release, are restarted one by one as the
// new one, and are then killed and started once more, all at the same time). Exit codes: 0 all held, 1 something was
// lost, 2 the trial couldn't run.
#include "../../review/fleet.hpp"

using namespace review;

namespace {

constexpr double drain_s = 2;
constexpr double ready_patience_s = 20;

int failures = 0;

void expect(bool const holds, std::string const& what) {
  record.line("%s: %s", holds ? "holds" : "FAILS", what.c_str());
  std::printf("%s: %s\n", holds ? "holds" : "FAILS", what.c_str());
  std::fflush(stdout);
  failures += !holds;
}

std::vector<RouteText> routes(int const version) {
  std::vector<RouteText> all{{"deposit", "/deposit/", "non_idempotent", "vault", 2.5, 0.6, 2},
                             {"browse", "/browse/", "idempotent", "catalogue", 2.0, 0.5, 2}};
  if (version > 1)
    all.push_back({"added", "/added-" + std::to_string(version) + "/", "idempotent", "vault", 2.0, 0.5, 2});
  return all;
}

/// One keyed and one plain service; `configuration` of fleet.hpp gives all services of a text the same kind.
std::string text_of_version(int const version) {
  std::string text = configuration(version, routes(version), {"vault", "catalogue"}, true);
  std::string const keyed = ",\"partitioned\":true,\"warmS\":2.0,\"grants\":\"keepalive\"";
  std::size_t const first = text.find(keyed);
  return text.erase(first, keyed.size());
}

Outcome operator_call(Fleet const& fleet, std::string const& method, std::string const& target,
                      std::string const& body = "") {
  Outcome last;
  for (int attempt = 0; attempt < 40; ++attempt) {
    Call c;
    c.method = method;
    c.target = target;
    c.body = body;
    c.remaining_ms = 0;
    if (!body.empty()) c.more_headers = {"Content-Type: application/json"};
    last = call(Address{fleet.cores[static_cast<std::size_t>(attempt) % fleet.cores.size()].ip, fleet.ports.control}, c,
                1.0);
    if (last.ended == Ended::whole && last.answer.status() != 503) return last;
    sleep_s(0.3);
  }
  return last;
}

int serve_one(Fleet const& fleet, Machine const& machine, std::string const& method, std::string const& target) {
  static std::atomic<int> number{0};
  Call c;
  c.method = method;
  c.target = target;
  c.id = "release-" + std::to_string(++number);
  c.remaining_ms = 2000;
  if (method == "POST") c.body = "amount";
  if (target.rfind("/browse/", 0) == 0)
    c.more_headers = {"Banktide-Shard-Key: " + std::to_string(number * 7919 % 65536)};
  Outcome const o = call(Address{machine.ip, fleet.ports.outbound}, c, 2.5);
  return o.ended == Ended::whole ? o.answer.status() : 0;
}

/// How many of `count` requests to each machine are answered with 200.
int served(Fleet const& fleet, std::string const& method, std::string const& target, int const count) {
  int good = 0;
  for (Machine const& m : fleet.sides)
    for (int n = 0; n < count; ++n) good += serve_one(fleet, m, method, target) == 200;
  return good;
}

struct Trial {
  Trial(std::string const& folder, std::string const& programs) : folder(folder), fleet(folder, programs) {
    fleet.add_core("a", 11);
    fleet.add_core("b", 21);
    fleet.add_core("c", 31);
    fleet.add_side("vault-a", "a", 12, "vault");
    fleet.add_side("vault-b", "b", 22, "vault");
    fleet.add_side("vault-c", "c", 32, "vault");
    fleet.add_side("catalogue-a", "a", 13, "catalogue");
    fleet.add_side("catalogue-b", "b", 23, "catalogue");
    fleet.add_side("catalogue-c", "c", 33, "catalogue");
  }

  bool start() {
    fleet.start_cores(true);
    for (Machine const& m : fleet.sides) fleet.start_proxy(m, true);
    for (Machine const& m : fleet.sides) {
      backends.push_back(std::make_unique<Backend>(m, fleet.ports, "i-" + m.name, 24, m.service == "catalogue"));
      if (!backends.back()->start()) return false;
    }
    return fleet.configure(text_of_version(1), 20) && fleet.all_ready(ready_patience_s);
  }

  /// How many keys are held by exactly one backend, and the highest fence.
  std::pair<long, long> keys() {
    std::vector<int> holders(65536, 0);
    long fence = 0;
    for (auto const& b : backends)
      for (KeyRow const& r : b->held()) {
        fence = std::max(fence, r.fence);
        for (long k = r.from; k <= r.to; ++k) ++holders[static_cast<std::size_t>(k)];
      }
    return {std::count(holders.begin(), holders.end(), 1), fence};
  }
  bool keys_settle(double const patience) {
    Clock::time_point const began = Clock::now();
    while (seconds_since(began) < patience) {
      if (keys().first == 65536) return true;
      sleep_s(0.2);
    }
    return false;
  }

  void change_configuration(int const version) {
    std::string const name = "version " + std::to_string(version);
    expect(fleet.configure(text_of_version(version), 20), name + " is acknowledged");
    Outcome const read = operator_call(fleet, "GET", "/api/configuration");
    expect(read.answer.body == text_of_version(version), name + " is read back byte for byte");
    sleep_s(2.5);  // configEffectS and a margin
    int const good = served(fleet, "GET", "/added-" + std::to_string(version) + "/x", 10);
    expect(good >= 57, "its new route is served by every node: " + std::to_string(good) + " of 60");
  }

  void check_state(int const version, std::string const& when) {
    Outcome const read = operator_call(fleet, "GET", "/api/configuration");
    expect(read.answer.body == text_of_version(version), when + ": the configuration is there byte for byte");
    Outcome const windows = operator_call(fleet, "GET", "/maintenance");
    expect(windows.answer.body.find("\"phase\":\"scheduled\"") != std::string::npos &&
               windows.answer.body.find("\"zone\":\"c\"") != std::string::npos,
           when + ": the maintenance window is there");
    expect(keys_settle(30), when + ": each key is held by one backend");
    long const fence = keys().second;
    expect(fence >= highest_fence,
           when + ": fences have not fallen (" + std::to_string(highest_fence) + " -> " + std::to_string(fence) + ")");
    highest_fence = std::max(highest_fence, fence);
    int const deposits = served(fleet, "POST", "/deposit/x", 10), browses = served(fleet, "GET", "/browse/x", 10);
    expect(deposits >= 57, when + ": deposits are served: " + std::to_string(deposits) + " of 60");
    expect(browses >= 57, when + ": requests with keys are served: " + std::to_string(browses) + " of 60");
  }

  /// Ends a process with SIGTERM, waits for its end and starts it again.
  void restart(std::string const& name, std::function<void()> const& start_again) {
    fleet.signal(name, SIGTERM);
    if (!fleet.wait_end(name, 10)) {
      expect(false, name + " ends after SIGTERM");
      fleet.signal(name, SIGKILL);
      fleet.wait_end(name, 2);
    }
    start_again();
    sleep_s(1.5);
  }
  void restart_all() {
    std::atomic<bool> over{false};
    std::atomic<int> good{0}, all{0}, cut{0};
    std::vector<std::thread> clients;
    for (Machine const& m : fleet.sides)
      clients.emplace_back([&, m] {
        while (!over) {
          int const status = serve_one(fleet, m, "POST", "/deposit/y?work=100");
          ++all;
          good += status == 200;
          cut += status == 0;
          sleep_s(0.1);
        }
      });
    for (Machine const& m : fleet.cores) {
      restart("store-" + m.zone, [&] { fleet.start_store(m, false); });
      restart("registry-" + m.zone, [&] { fleet.start_registry(m, false); });
    }
    expect(cut == 0, "no deposit ends without an answer while the core is restarted: " + std::to_string(cut) + " of " +
                         std::to_string(all) + ", " + std::to_string(good) + " with 200");
    for (Machine const& m : fleet.sides) restart("proxy-" + m.name, [&] { fleet.start_proxy(m, false); });
    over = true;
    for (std::thread& t : clients) t.join();
    // A client of a machine that is being restarted finds nobody listening for a while.
    std::printf("deposits while all was restarted: %d of %d with 200, %d without an answer\n", good.load(), all.load(),
                cut.load());
    expect(fleet.all_ready(ready_patience_s), "all nodes are ready again");
  }

  void drain_one_backend() {
    Backend& leaver = *backends.front();
    leaver.quiesce();
    sleep_s(drain_s + 1);
    expect(leaver.sign_off(), "a backend's sign-off is acknowledged");
    std::size_t const runs = leaver.runs().size();
    int const good = served(fleet, "POST", "/deposit/z", 10);
    expect(good >= 57, "deposits are served without it: " + std::to_string(good) + " of 60");
    expect(leaver.runs().size() == runs, "it gets none of them");
  }

  std::string const folder;
  Fleet fleet;
  std::vector<std::unique_ptr<Backend>> backends;
  long highest_fence = 0;
};

int play(Trial& trial, std::string const& programs, bool const upgrade) {
  if (!trial.start()) return 2;
  sleep_s(4);
  trial.change_configuration(2);
  Outcome const marked =
      operator_call(trial.fleet, "PUT", "/maintenance/c", R"({"opens_in_s":36000,"lasts_s":600,"force":true})");
  expect(marked.answer.status() == 200, "a maintenance window is marked: " + marked.answer.body);
  trial.check_state(2, "before the restarts");
  if (upgrade) std::ofstream(programs + "/use-new") << "1\n";
  trial.restart_all();
  sleep_s(5);
  trial.check_state(2, "after the restarts");
  trial.change_configuration(3);
  if (upgrade) {
    for (Machine const& m : trial.fleet.cores)
      for (std::string const kind : {"store-", "registry-"}) trial.fleet.signal(kind + m.zone, SIGKILL);
    for (Machine const& m : trial.fleet.sides) trial.fleet.signal("proxy-" + m.name, SIGKILL);
    for (Machine const& m : trial.fleet.cores)
      for (std::string const kind : {"store-", "registry-"}) trial.fleet.wait_end(kind + m.zone, 3);
    for (Machine const& m : trial.fleet.sides) trial.fleet.wait_end("proxy-" + m.name, 3);
    trial.fleet.start_cores(false);
    for (Machine const& m : trial.fleet.sides) trial.fleet.start_proxy(m, false);
    expect(trial.fleet.all_ready(ready_patience_s), "all nodes are ready after all were killed at once");
    sleep_s(5);
    trial.check_state(3, "after all were killed at once");
  }
  trial.drain_one_backend();
  return failures > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  std::string const folder = argv[1], programs = argv[2], mode = argv[3];
  record.open(folder + "/record.txt");
  int code = 2;
  {
    Trial trial(folder, programs);
    code = play(trial, programs, mode == "upgrade");
    trial.fleet.stop_all();
  }
  std::printf("%s: %s\n", mode.c_str(), code == 0 ? "all held" : code == 1 ? "something was lost" : "could not run");
  std::fflush(stdout);
  std::_Exit(code);
}
