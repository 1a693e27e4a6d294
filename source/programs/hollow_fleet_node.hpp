// One hollow node: the complete real node, and a hollow backend that sends it
// heartbeats and releases keys when asked to. No requests are sent through it.
#pragma once

#include "programs/hollow_fleet_interface.hpp"
#include "programs/hollow_fleet_world.hpp"

namespace banktide {

struct HollowNodeSettings {
  std::string id;
  Address address;
  HollowLocation location;
  std::vector<Address> seeds;  ///< registries
  std::uint16_t store_port = 0;
  std::string service;        ///< of its backend; empty: it has no backend
  bool load_changes = false;  ///< whether each heartbeat reports a different load
  HollowCapacity capacity;
};

/// A version and the time at which it became active on a node.
struct HollowActivation {
  std::uint64_t version = 0;
  Instant at{};
};

class HollowNode {
 public:
  HollowNode(HollowNetwork& network, HollowInterface& interface, HollowNodeSettings settings);
  ~HollowNode();
  HollowNode(HollowNode const&) = delete;

  void start();
  /// Ends it as SIGKILL ends a process.
  void kill();
  /// Starts its graceful shutdown as SIGTERM does: it announces that it leaves, and still serves.
  void leave();
  bool alive() const;
  bool ready() const;
  /// The number of endpoints of these services that it knows.
  std::size_t endpoints(std::vector<std::string> const& services) const;
  std::vector<HollowActivation> const& activations() const { return activations_; }
  /// The time at which this incarnation started.
  Instant started() const { return started_; }
  /// The number of key rows that its backend holds.
  std::size_t rows_held() const;
  HollowMeter& meter() { return machine_->meter; }
  HollowNodeSettings const& settings() const { return settings_; }

 private:
  struct Incarnation;

  HollowNetwork& network_;
  HollowInterface& interface_;
  HollowNodeSettings const settings_;
  std::shared_ptr<HollowMachine> const machine_;
  std::vector<HollowActivation> activations_;
  std::unique_ptr<Incarnation> incarnation_;
  Instant started_{};
  std::uint64_t incarnations_ = 0;
};

}  // namespace banktide
