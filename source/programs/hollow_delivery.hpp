// Measures how long configurations take to become active on every node of a hollow fleet under
// each fault that may delay them. The fleet has the size of a large site and the machine
// capacity that requests leave free there.
#pragma once

#include "programs/hollow_fleet.hpp"

#include <array>
#include <string_view>

namespace banktide {

/// The fault that is injected while configurations change.
enum class DeliveryFault : std::uint8_t {
  none,              ///< single changes
  storm,             ///< changes in quick succession
  relays_killed,     ///< the first relays of each zone are killed as a change is acknowledged
  half_killed,       ///< over half of the nodes are killed at once and restart during changes
  rolling_restarts,  ///< nodes are shut down gracefully and restarted in batches during a storm
  keepers_killed,    ///< control machines whose registries serve a zone are killed during changes
  writer_killed,     ///< the control machine that acknowledged a change is killed right afterwards
  keeper_cut_off,    ///< a registry that serves a zone is partitioned from all other control machines
};
inline constexpr std::array<DeliveryFault, 8> delivery_faults{DeliveryFault::none,
                                                              DeliveryFault::storm,
                                                              DeliveryFault::relays_killed,
                                                              DeliveryFault::half_killed,
                                                              DeliveryFault::rolling_restarts,
                                                              DeliveryFault::keepers_killed,
                                                              DeliveryFault::writer_killed,
                                                              DeliveryFault::keeper_cut_off};
std::string_view to_text(DeliveryFault fault);

struct DeliveryResult {
  bool formed = false;
  std::size_t acknowledged = 0;
  HollowTimes activation_times;  ///< from acknowledgement to activation, for each version and node that ran throughout
  HollowTimes first_activation_times;  ///< from start to first activation, for each node that started during the run
  std::size_t behind = 0;              ///< nodes that don't have the newest version at the end
  HollowMeasurements load;             ///< of all processes, during the run
};

/// A fleet of 279 nodes in seven zones with 21 control machines, with a configuration of `routes` routes.
HollowFleetSettings large_site(std::size_t routes);

/// Forms a fleet, makes changes under the fault, and waits long enough for late versions to arrive.
DeliveryResult measure_delivery(HollowFleetSettings const& settings, DeliveryFault fault);

}  // namespace banktide
