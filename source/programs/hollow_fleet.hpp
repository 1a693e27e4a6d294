// A hollow fleet: nodes, registries and stores of the product in one process, in
// virtual time, with delays between regions. It forms, is measured, is sent
// configurations, and loses nodes, zones and regions. What it counts goes into
// docs/CAPACITY.md.
#pragma once

#include "programs/hollow_fleet_control.hpp"
#include "programs/hollow_fleet_node.hpp"

#include <ostream>

namespace banktide {

struct HollowFleetSettings {
  std::size_t nodes = 50;
  std::size_t zones = 2;      ///< node i stands in zone i modulo this
  std::size_t regions = 1;    ///< zone i stands in region i modulo this
  std::size_t controls = 3;   ///< machines with a registry and a store; control i stands in zone i modulo `zones`
  std::size_t backends = 50;  ///< the first so many nodes have one
  std::size_t changing_backends = 0;  ///< the first so many of these tell another load with each beat
  std::size_t services = 20;          ///< backend i belongs to service i modulo this
  std::size_t keyed_services = 0;     ///< the first so many services are keyed
  std::size_t routes = 100;
  HollowCapacity node_capacity;     ///< of each node's machine
  HollowCapacity control_capacity;  ///< of each registry, and of each store
  HollowDelays delays;
  std::uint64_t seed = 1;
};

/// One measured value over all processes of a role.
struct HollowMeasurement {
  std::string role;
  std::string metric;
  double mean = 0;
  double highest = 0;
};
using HollowMeasurements = std::vector<HollowMeasurement>;

/// Sorted times; empty ones give 0.
struct HollowTimes {
  std::vector<Duration> all;
  double milliseconds(double share) const;
};

class HollowFleet {
 public:
  explicit HollowFleet(HollowFleetSettings const& settings);
  ~HollowFleet();
  HollowFleet(HollowFleet const&) = delete;

  /// Starts everything and runs until it has formed; how long that took, or nothing if it didn't within `most`.
  std::optional<Duration> form(Duration most);
  void run_for(Duration d);
  /// Runs until the condition holds; how long that took, or nothing if it didn't within `most`.
  std::optional<Duration> run_until(std::function<bool()> const& holds, Duration most);

  /// Every node that runs is ready, has the newest acknowledged configuration, and samples of every zone know all
  /// backends that run.
  bool formed() const;
  std::size_t ready_nodes() const;
  /// Of these nodes, as many as know other than `expected` endpoints.
  std::size_t nodes_with_other_endpoints(std::size_t expected) const;
  std::size_t running_backends() const;
  std::size_t voters() const { return controls_.front()->voters(); }
  /// Rows of keys that backends hold, all together.
  std::size_t rows_held() const;

  void reset_meters();
  /// What was counted since the meters were reset, a second and process.
  HollowMeasurements measurements() const;

  /// Sends the next version to a control. Whether it was acknowledged is known later.
  void write_next(std::size_t control);
  std::uint64_t newest_acknowledged() const { return newest_acknowledged_; }
  std::size_t acknowledged() const { return writes_acknowledged_; }
  std::size_t refused() const { return writes_refused_; }
  /// From being sent until acknowledged, of versions sent since the meters were reset.
  HollowTimes times_to_acknowledge() const;
  /// From being acknowledged until in force, for each such version and node that ran throughout.
  HollowTimes times_to_force() const;
  /// Nodes that run and don't have the newest acknowledged version in force.
  std::size_t nodes_behind() const;
  /// From a node's start, of those started since the meters were reset, until a configuration is in force there.
  HollowTimes times_to_first_force() const;

  void lose_zone(std::size_t zone);
  void bring_back_zone(std::size_t zone);
  void restart_node(std::size_t node, Duration down);
  /// Told to go, ended `grace` later and started again after `down`.
  void restart_node_in_order(std::size_t node, Duration grace, Duration down);
  void kill_control(std::size_t control) { controls_.at(control)->kill(); }
  /// The control whose registry keeps the zone, if nobody is down: the first of its own.
  std::size_t keeper_of(std::size_t zone) const;
  /// Cuts a registry off from all other machines for control; its zone's nodes still reach it.
  void isolate_control(std::size_t control);
  /// Cuts a region off from all others.
  void cut_region(std::size_t region);
  void heal() { network_.heal(); }

  HollowFleetSettings const& settings() const { return settings_; }
  static std::string node_id(std::size_t node) { return "node-" + std::to_string(node); }
  std::string zone_name(std::size_t zone) const { return "zone-" + std::to_string(zone); }
  std::size_t region_of_control(std::size_t control) const { return control % settings_.zones % settings_.regions; }

 private:
  struct Version {
    std::uint64_t number = 0;
    Instant sent{};
    std::optional<Instant> acknowledged;
  };

  HollowPlace place_of_zone(std::size_t zone) const;
  void add_control(std::size_t number);
  void add_node(std::size_t number, std::vector<Address> const& seeds);
  void end_and_start_nodes();
  std::vector<std::size_t> samples() const;
  bool has_newest(HollowNode const& node) const;

  HollowFleetSettings const settings_;
  HollowNetwork network_;
  HollowInterface interface_;
  std::vector<std::string> services_;
  std::vector<std::unique_ptr<HollowControl>> controls_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::vector<std::pair<Instant, std::size_t>> to_end_;
  std::vector<std::pair<Instant, std::size_t>> to_start_;
  std::vector<Version> versions_;
  std::uint64_t newest_acknowledged_ = 0;
  std::size_t writes_acknowledged_ = 0, writes_refused_ = 0;
  Instant meters_reset_{};
};

}  // namespace banktide
