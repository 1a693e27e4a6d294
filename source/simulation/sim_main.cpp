// banktide-sim: runs the simulated fleet for a range of seeds and reports those that
// violate an invariant. A seed always reproduces the same run, alone or beside others:
// with --jobs each seed runs in its own forked process, and results are printed in
// seed order.
#include "programs/settings.hpp"
#include "simulation/sim_fleet.hpp"

#include <sys/wait.h>
#include <unistd.h>

using namespace banktide;

namespace {

Json run_scenario(Scenario const& scenario) {
  SimFleet fleet(scenario);
  History const h = fleet.run();
  Json j = {{"seed", scenario.seed},
            {"broken", h.violations()},
            {"outcomes", Json::object()},
            {"mishaps", fleet.fault_counts()},
            {"after", Json::object()}};
  std::map<std::string, std::uint64_t> outcomes;
  for (auto const& [id, c] : h.calls) ++outcomes[c.outcome];
  j["outcomes"] = outcomes;
  for (auto const& [kind, n] : h.answered_shares()) j["after"][kind] = {n.first, n.second};
  j["extras"] = h.extra_attempts.size();
  return j;
}

struct Job {
  pid_t pid = 0;
  int read_end = -1;
  std::string output;
};

Job begin(Scenario const& scenario) {
  int ends[2];
  if (::pipe(ends) != 0) std::abort();
  Job job;
  job.pid = ::fork();
  if (job.pid < 0) std::abort();
  if (job.pid == 0) {
    ::close(ends[0]);
    std::string const text = run_scenario(scenario).dump(-1, ' ', false, Json::error_handler_t::replace);
    for (std::size_t at = 0; at < text.size();) {
      ssize_t const n = ::write(ends[1], text.data() + at, text.size() - at);
      if (n <= 0) std::_Exit(3);
      at += static_cast<std::size_t>(n);
    }
    std::_Exit(0);
  }
  ::close(ends[1]);
  job.read_end = ends[0];
  return job;
}

Json finish(Job& job, std::uint64_t const seed) {
  char raw[4096];
  for (ssize_t n = 0; (n = ::read(job.read_end, raw, sizeof raw)) > 0;)
    job.output.append(raw, static_cast<std::size_t>(n));
  ::close(job.read_end);
  int status = 0;
  ::waitpid(job.pid, &status, 0);
  Json j = Json::parse(job.output, nullptr, false);
  if (status != 0 || !j.is_object())
    j = {{"seed", seed},
         {"broken", {"the run ended with status " + std::to_string(status)}},
         {"outcomes", Json::object()},
         {"mishaps", Json::object()},
         {"after", Json::object()},
         {"extras", 0}};
  return j;
}

}  // namespace

int main(int argc, char** argv) {
  Settings s("banktide-sim");
  s.number("seed", 1, 0, UINT64_MAX, "first seed");
  s.number("seeds", 1, 1, 1000000, "how many seeds");
  s.number("jobs", 1, 1, 256, "how many seeds at the same time");
  s.number("seconds", 30, 1, 3600, "virtual seconds with faults");
  s.number("fault-every-ms", 2500, 0, 600000, "mean time between faults (0: none)");
  s.text("deployment", "kibble", "kibble or nilewise");
  s.list("only", "a fault kind; may be repeated");
  s.text("last", "", "a final fault that nobody repairs: core_gone, cell_gone, disk_lost or node_gone");
  s.text("broken-on-purpose", "", "break the code in the named way, to verify that a check fails");
  s.flag("verbose", "log every fault and every unanswered call");
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging(s.flag("verbose") ? "INFO" : "OFF", "banktide-sim", "sim");
  mutant_name = s.text("broken-on-purpose");
  std::uint64_t const seeds = s.number("seeds"), jobs = s.number("jobs");
  auto const scenario_of = [&](std::uint64_t const i) {
    Scenario scenario;
    scenario.seed = s.number("seed") + i;
    scenario.deployment = s.text("deployment");
    scenario.faults_for = std::chrono::seconds(s.number("seconds"));
    scenario.fault_every = std::chrono::milliseconds(s.number("fault-every-ms"));
    scenario.last = s.text("last");
    scenario.verbose = s.flag("verbose");
    for (std::string const& kind : s.list("only")) scenario.only.insert(kind);
    return scenario;
  };
  std::uint64_t failed_seeds = 0, extra_attempts = 0, calls = 0;
  std::map<std::string, std::uint64_t> outcomes, fault_counts;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> after_fault;
  auto const add_result = [&](Json const& j) {
    std::vector<std::string> const violations = j["broken"];
    failed_seeds += !violations.empty();
    for (std::size_t k = 0; k < violations.size() && k < 5; ++k)
      std::cout << "seed " << j["seed"] << ": " << violations[k] << "\n";
    if (violations.size() > 5) std::cout << "seed " << j["seed"] << ": and " << violations.size() - 5 << " more\n";
    for (auto const& [what, n] : j["outcomes"].items())
      outcomes[what] += n.get<std::uint64_t>(), calls += n.get<std::uint64_t>();
    for (auto const& [kind, n] : j["mishaps"].items()) fault_counts[kind] += n.get<std::uint64_t>();
    for (auto const& [kind, n] : j["after"].items())
      after_fault[kind].first += n[0].get<std::uint64_t>(), after_fault[kind].second += n[1].get<std::uint64_t>();
    extra_attempts += j["extras"].get<std::uint64_t>();
    std::cout.flush();
  };
  std::deque<std::pair<std::uint64_t, Job>> running;
  for (std::uint64_t i = 0; i < seeds; ++i) {
    if (jobs == 1) {
      add_result(run_scenario(scenario_of(i)));
      continue;
    }
    if (running.size() == jobs) {
      add_result(finish(running.front().second, s.number("seed") + running.front().first));
      running.pop_front();
    }
    running.emplace_back(i, begin(scenario_of(i)));
  }
  for (auto& [i, job] : running) add_result(finish(job, s.number("seed") + i));
  std::cout << seeds << " seeds, " << failed_seeds << " broken; " << calls << " calls, " << extra_attempts
            << " extra tries;";
  for (auto const& [what, n] : outcomes) std::cout << " " << what << "=" << n;
  std::cout << "\nmishaps, and the share answered of calls in the 3 s after:";
  for (auto const& [kind, n] : fault_counts) {
    std::cout << " " << kind << "=" << n;
    if (after_fault[kind].second > 0)
      std::cout << "(" << 100 * after_fault[kind].first / after_fault[kind].second << "%)";
  }
  std::cout << "\n";
  return failed_seeds ? 1 : 0;
}
