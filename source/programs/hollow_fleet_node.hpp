// One hollow node: the product's node, whole, and a hollow backend that beats to
// it and lets keys go when it is told to. No requests are sent through it.
#pragma once

#include "programs/hollow_fleet_interface.hpp"
#include "programs/hollow_fleet_world.hpp"

namespace banktide {

struct HollowNodeSettings {
  std::string id;
  Address address;
  HollowPlace place;
  std::vector<Address> seeds;  ///< registries
  std::uint16_t store_port = 0;
  std::string service;        ///< of the backend beside it; empty: there is none
  bool load_changes = false;  ///< whether each beat of the backend tells another load
  HollowCapacity capacity;
};

/// When a version came into force at a node.
struct HollowInForce {
  std::uint64_t version = 0;
  Instant at{};
};

class HollowNode {
 public:
  HollowNode(HollowNetwork& network, HollowInterface& interface, HollowNodeSettings settings);
  ~HollowNode();
  HollowNode(HollowNode const&) = delete;

  void start();
  /// As if its process was killed.
  void kill();
  /// As if its process was told to go: it says so, and serves on.
  void leave();
  bool alive() const;
  bool ready() const;
  /// How many endpoints of these services it knows.
  std::size_t endpoints(std::vector<std::string> const& services) const;
  std::vector<HollowInForce> const& in_force() const { return in_force_; }
  /// When this life began.
  Instant started() const { return started_; }
  /// Rows of keys that its backend holds.
  std::size_t rows_held() const;
  HollowMeter& meter() { return machine_->meter; }
  HollowNodeSettings const& settings() const { return settings_; }

 private:
  struct Life;

  HollowNetwork& network_;
  HollowInterface& interface_;
  HollowNodeSettings const settings_;
  std::shared_ptr<HollowMachine> const machine_;
  std::vector<HollowInForce> in_force_;
  std::unique_ptr<Life> life_;
  Instant started_{};
  std::uint64_t lives_ = 0;
};

}  // namespace banktide
