// A hollow fleet: the real code of nodes, registries and stores in one process, in
// virtual time, with delays between regions but without requests. It measures
// traffic and processor time while the fleet forms, takes configurations, and
// loses nodes, zones and regions. Its result go into docs/CAPACITY.md.
#pragma once

#include "programs/hollow_fleet_control.hpp"
#include "programs/hollow_fleet_node.hpp"

#include <ostream>

namespace banktide {

struct HollowFleetSettings {
  std::size_t nodes = 50;
  std::size_t zones = 2;              ///< node i is in zone i modulo this
  std::size_t regions = 1;            ///< zone i is in region i modulo this
  std::size_t controls = 3;           ///< machines with a registry and a store; control i is in zone i modulo `zones`
  std::size_t backends = 50;          ///< this many nodes, counted from the first, have a backend
  std::size_t changing_backends = 0;  ///< this many backends report a different load with each heartbeat
  std::size_t services = 20;          ///< backend i belongs to service i modulo this
  std::size_t keyed_services = 0;     ///< this many services, counted from the first, are keyed
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

/// Sorted times and their quantiles; 0 if there are none.
struct HollowTimes {
  std::vector<Duration> all;
  double milliseconds(double share) const;
};

class HollowFleet {
 public:
  explicit HollowFleet(HollowFleetSettings const& settings);
  ~HollowFleet();
  HollowFleet(HollowFleet const&) = delete;

  /// Starts everything and runs until the fleet has formed; returns the time that took, or nothing if it took longer
  /// than `most`.
  std::optional<Duration> form(Duration most);
  void run_for(Duration d);
  /// Runs until the condition holds; returns the time that took, or nothing if it took longer than `most`.
  std::optional<Duration> run_until(std::function<bool()> const& holds, Duration most);

  /// Whether every running node is ready and has the newest acknowledged configuration, and sample nodes of every zone
  /// know all running backends.
  bool formed() const;
  std::size_t ready_nodes() const;
  /// The number of sample nodes whose number of known endpoints isn't `expected`.
  std::size_t nodes_with_other_endpoints(std::size_t expected) const;
  std::size_t running_backends() const;
  std::size_t voters() const { return controls_.front()->voters(); }
  /// The number of key rows that all backends hold together.
  std::size_t rows_held() const;

  void reset_meters();
  /// The rates per second and process since the meters were reset.
  HollowMeasurements measurements() const;

  /// Sends the next version to a control. The acknowledgement arrives later.
  void write_next(std::size_t control);
  std::uint64_t newest_acknowledged() const { return newest_acknowledged_; }
  std::size_t acknowledged() const { return writes_acknowledged_; }
  std::size_t refused() const { return writes_refused_; }
  /// The times from send to acknowledgement, of versions sent since the meters were reset.
  HollowTimes times_to_acknowledge() const;
  /// The times from acknowledgement to activation, for each such version and each node that ran throughout.
  HollowTimes times_to_activation() const;
  /// The number of running nodes on which the newest acknowledged version isn't active.
  std::size_t nodes_behind() const;
  /// The times from start to the first active configuration, of nodes started since the meters were reset.
  HollowTimes times_to_first_activation() const;

  void lose_zone(std::size_t zone);
  void restore_zone(std::size_t zone);
  void restart_node(std::size_t node, Duration down);
  /// Shuts a node down gracefully, ends it after `grace` and starts it again after `down`.
  void restart_node_gracefully(std::size_t node, Duration grace, Duration down);
  void kill_control(std::size_t control) { controls_.at(control)->kill(); }
  /// The control whose registry serves the zone while none is down: of the zone's own registries, the one whose address
  /// has the lowest digest.
  std::size_t serving_control_of(std::size_t zone) const;
  /// Partitions a registry from all other control machines; the nodes of its zone still reach it.
  void isolate_control(std::size_t control);
  /// Partitions a region from all others.
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

  HollowLocation location_of_zone(std::size_t zone) const;
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
