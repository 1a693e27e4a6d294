// How nodes apply configurations, on a whole mesh on virtual time.
#include "tests/programs/mesh_trial.hpp"

namespace banktide {
namespace {

// Guards against CONFIG: in a burst of changes each node parsed every version and had no time left to relay the
// newest.
TEST(ConfigurationReading, of_versions_that_arrive_together_only_the_newest_is_parsed) {
  std::map<std::uint64_t, std::size_t> read;
  MeshTrialOptions options;
  options.configuration = [&read](std::uint64_t const version) {
    ++read[version];
    ServiceConfiguration all;
    all.version = version;
    for (std::string_view const name : trial_services) {
      all.services.push_back(ServiceDefinition{std::string(name), "", 0, name == "accounts", 0s});
      Route route;
      route.name = name;
      route.host = std::string(name) + ".test";
      route.prefix = "/";
      route.targets = {WeightedService{static_cast<std::uint32_t>(all.services.size() - 1), 1}};
      all.routes.push_back(route);
    }
    return all;
  };
  MeshTrial mesh(3, {"a", "b", "c"}, options);
  ASSERT_TRUE(mesh.form());
  // Frozen machines receive all versions at once when they are thawed.
  for (auto const& [name, machine] : mesh.machines) machine.process->freeze();
  for (std::string const version : {"2", "3", "4", "5"})
    ASSERT_EQ(mesh.call_operator_interface("a", "PUT", "/configuration", version).status, 200u);
  read.clear();
  for (auto const& [name, machine] : mesh.machines) machine.process->thaw();
  mesh.run_for(2s);
  std::size_t const machines = mesh.machines.size();
  EXPECT_EQ(read[5], machines);
  EXPECT_LT(read[2] + read[3] + read[4], machines);
}

}  // namespace
}  // namespace banktide
