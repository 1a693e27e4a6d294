// banktide-sim: plays seeds of the simulated fleet and tells which break a
// rule. The same seed plays the same run.
#include "programs/settings.hpp"
#include "simulation/sim_fleet.hpp"

using namespace banktide;

int main(int argc, char** argv) {
  Settings s("banktide-sim");
  s.number("seed", 1, 0, UINT64_MAX, "first seed");
  s.number("seeds", 1, 1, 1000000, "how many seeds, one after the other");
  s.number("seconds", 30, 1, 3600, "virtual seconds with mishaps");
  s.number("fault-every-ms", 2500, 0, 600000, "mean time between mishaps (0: none)");
  s.text("deployment", "kibble", "kibble or nilewise");
  s.list("only", "a kind of mishap; repeat");
  s.flag("verbose", "tell every mishap and every call not answered");
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging(s.flag("verbose") ? "INFO" : "OFF", "banktide-sim", "sim");
  std::size_t bad = 0;
  std::map<std::string, std::uint64_t> outcomes, mishaps;
  for (std::uint64_t i = 0; i < s.number("seeds"); ++i) {
    Scenario scenario;
    scenario.seed = s.number("seed") + i;
    scenario.deployment = s.text("deployment");
    scenario.faults_for = std::chrono::seconds(s.number("seconds"));
    scenario.fault_every = std::chrono::milliseconds(s.number("fault-every-ms"));
    scenario.verbose = s.flag("verbose");
    for (std::string const& kind : s.list("only")) scenario.only.insert(kind);
    SimFleet fleet(scenario);
    History const h = fleet.run();
    std::vector<std::string> const broken = h.broken();
    for (auto const& [id, c] : h.calls) ++outcomes[c.outcome];
    for (auto const& [kind, n] : fleet.mishaps()) mishaps[kind] += n;
    bad += !broken.empty();
    for (std::size_t k = 0; k < broken.size() && k < 5; ++k) std::cout << "seed " << scenario.seed << ": " << broken[k] << "\n";
    if (broken.size() > 5) std::cout << "seed " << scenario.seed << ": and " << broken.size() - 5 << " more\n";
    std::cout.flush();
  }
  std::cout << s.number("seeds") << " seeds, " << bad << " broken;";
  for (auto const& [what, n] : outcomes) std::cout << " " << what << "=" << n;
  std::cout << "\nmishaps:";
  for (auto const& [kind, n] : mishaps) std::cout << " " << kind << "=" << n;
  std::cout << "\n";
  return bad ? 1 : 0;
}
