// How long configurations take to come into force on every node of a hollow fleet, by each way
// in which one may be late. The fleet has the size and the machines of a large site, less what
// requests take of them.
#pragma once

#include "programs/hollow_fleet.hpp"

#include <array>
#include <string_view>

namespace banktide {

/// What happens around the changes.
enum class DeliveryTrouble : std::uint8_t {
  none,              ///< single changes
  storm,             ///< changes in quick succession
  relays_killed,     ///< the first relays of each zone are killed as a change is acknowledged
  half_killed,       ///< over half of the nodes are killed at once and start again while changes come
  rolling_restarts,  ///< nodes are restarted in order, some at a time, during a storm
  keepers_killed,    ///< machines whose registries keep a zone are killed while changes come
  writer_killed,     ///< the control machine that acknowledged a change is killed at once
  keeper_cut_off,    ///< a registry that keeps a zone is cut off from all other machines for control
};
inline constexpr std::array<DeliveryTrouble, 8> delivery_troubles{DeliveryTrouble::none,
                                                                  DeliveryTrouble::storm,
                                                                  DeliveryTrouble::relays_killed,
                                                                  DeliveryTrouble::half_killed,
                                                                  DeliveryTrouble::rolling_restarts,
                                                                  DeliveryTrouble::keepers_killed,
                                                                  DeliveryTrouble::writer_killed,
                                                                  DeliveryTrouble::keeper_cut_off};
std::string_view to_text(DeliveryTrouble trouble);

struct DeliveryFigures {
  bool formed = false;
  std::size_t acknowledged = 0;
  HollowTimes to_force;        ///< from the acknowledgement, of each version and node that ran throughout
  HollowTimes to_first_force;  ///< from the start of each node that started meanwhile
  std::size_t behind = 0;      ///< nodes that don't have the newest version in the end
  HollowMeasurements load;     ///< of all processes, while it was measured
};

/// A fleet of 279 nodes in seven zones with 21 machines for control, whose configuration has `routes` routes.
HollowFleetSettings large_site(std::size_t routes);

/// Has a fleet form, plays the trouble with its changes, and waits until late versions had time to come.
DeliveryFigures measure_delivery(HollowFleetSettings const& settings, DeliveryTrouble trouble);

}  // namespace banktide
