// A hollow control machine: the real registry with its key coordinator, and the
// real store with an in-memory disk. They are two programs, so each has its own
// meter.
#pragma once

#include "programs/hollow_fleet_interface.hpp"
#include "programs/hollow_fleet_world.hpp"

namespace banktide {

struct HollowControlSettings {
  std::string id;
  HollowLocation location;
  Address registry;
  Address store;
  std::uint16_t store_port = 0;
  std::vector<Address> seeds;  ///< registries; the stores on their machines initialise the register
  HollowCapacity capacity;     ///< of the registry, and of the store
};

class HollowControl {
 public:
  HollowControl(HollowNetwork& network, HollowInterface& interface, HollowControlSettings settings);
  ~HollowControl();
  HollowControl(HollowControl const&) = delete;

  void start();
  void kill();
  bool alive() const;
  /// Whether its registry has a recent reading that a majority confirmed.
  bool has_quorum_reading() const;
  /// The number of voters of the register, as this store knows it.
  std::size_t voters() const;

  using Written = std::function<void(bool acknowledged)>;
  void write_configuration(HollowConfiguration const& configuration, Written done);

  HollowMeter& registry_meter() { return registry_machine_->meter; }
  HollowMeter& store_meter() { return store_machine_->meter; }
  HollowControlSettings const& settings() const { return settings_; }

 private:
  struct Disk;
  struct Incarnation;

  HollowNetwork& network_;
  HollowInterface& interface_;
  HollowControlSettings const settings_;
  std::shared_ptr<HollowMachine> const registry_machine_, store_machine_;
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<Incarnation> incarnation_;
  bool started_before_ = false;
};

}  // namespace banktide
