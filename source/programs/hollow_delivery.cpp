// See hollow_delivery.hpp.
#include "programs/hollow_delivery.hpp"

#include "coordination/ring.hpp"

namespace banktide {

namespace {

constexpr Duration form_patience = 60s;
constexpr Duration calm_first = 5s;
constexpr Duration late_versions_need = 8s;
constexpr Duration between_changes = 1s;
constexpr Duration between_changes_of_a_storm = 180ms;
constexpr std::size_t changes_of_a_storm = 18;
constexpr Duration look_for_acknowledgement_every = 1ms;
constexpr Duration acknowledgement_patience = 3s;
constexpr std::size_t zones_without_keeper = 2;
constexpr std::size_t changes_without_keeper = 9;
constexpr Duration killed_node_is_down = 2200ms;
constexpr std::size_t nodes_of_a_round = 14;
constexpr std::size_t rounds_of_restarts = 10;
constexpr std::size_t rounds_before_the_storm = 3;
constexpr Duration between_rounds = 1400ms;
constexpr Duration leaving_takes = 3500ms;
constexpr Duration starting_takes = 300ms;

// The capacity that requests leave free on a machine with a tenth of a core and a link of 4.7 Mbit/s.
constexpr HollowCapacity node_capacity{0.065, 500e3};
// A control machine has 0.13 of a core for its two programs and a link of 120 Mbit/s.
constexpr HollowCapacity control_capacity{0.08, 15e6};

class DeliveryTrial {
 public:
  DeliveryTrial(HollowFleetSettings const& settings, DeliveryTrouble const trouble)
      : fleet_(settings), trouble_(trouble) {}

  DeliveryFigures run() {
    DeliveryFigures figures;
    figures.formed = fleet_.form(form_patience).has_value();
    if (!figures.formed) return figures;
    fleet_.run_for(calm_first);
    fleet_.reset_meters();
    std::size_t const before = fleet_.acknowledged();
    play();
    figures.load = fleet_.measurements();
    fleet_.run_for(late_versions_need);
    figures.acknowledged = fleet_.acknowledged() - before;
    figures.to_force = fleet_.times_to_force();
    figures.to_first_force = fleet_.times_to_first_force();
    figures.behind = fleet_.nodes_behind();
    return figures;
  }

 private:
  void play() {
    switch (trouble_) {
      case DeliveryTrouble::none:
        return change_each(between_changes, 5);
      case DeliveryTrouble::storm:
        return change_each(between_changes_of_a_storm, changes_of_a_storm);
      case DeliveryTrouble::relays_killed:
        return kill_relays();
      case DeliveryTrouble::half_killed:
        return kill_half();
      case DeliveryTrouble::rolling_restarts:
        return restart_in_rounds();
      case DeliveryTrouble::keepers_killed:
        return kill_keepers();
      case DeliveryTrouble::writer_killed:
        return kill_writer();
      case DeliveryTrouble::keeper_cut_off:
        fleet_.isolate_control(fleet_.keeper_of(0));
        return change_each(between_changes, changes_without_keeper);
    }
  }

  // A control that stays up and doesn't serve a zone whose serving registry fails.
  std::size_t writer() const { return fleet_.keeper_of(fleet_.settings().zones - 1); }

  void change_each(Duration const pause, std::size_t const changes) {
    for (std::size_t i = 0; i < changes; ++i) {
      fleet_.write_next(writer());
      fleet_.run_for(pause);
    }
  }

  void change_and_wait_for_acknowledgement() {
    std::size_t const before = fleet_.acknowledged();
    fleet_.write_next(writer());
    for (Duration waited{}; fleet_.acknowledged() == before && waited < acknowledgement_patience;
         waited += look_for_acknowledgement_every)
      fleet_.run_for(look_for_acknowledgement_every);
  }

  std::vector<std::size_t> nodes_of_zone(std::size_t const zone) const {
    std::vector<std::size_t> all;
    for (std::size_t i = zone; i < fleet_.settings().nodes; i += fleet_.settings().zones) all.push_back(i);
    return all;
  }

  void kill_relays() {
    for (std::size_t zone = 0; zone < fleet_.settings().zones; ++zone) {
      std::map<std::string, std::size_t> number_of;
      std::vector<std::string> ids;
      for (std::size_t const node : nodes_of_zone(zone)) {
        ids.push_back(HollowFleet::node_id(node));
        number_of[ids.back()] = node;
      }
      for (std::string const& id : relays_below("", ring_order(std::move(ids))))
        fleet_.restart_node(number_of.at(id), killed_node_is_down);
    }
    change_each(between_changes, 4);
  }

  void kill_half() {
    for (std::size_t i = 0; i < fleet_.settings().nodes; ++i)
      if (i % 20 < 11) fleet_.restart_node(i, killed_node_is_down);
    change_each(between_changes, 6);
  }

  void restart_in_rounds() {
    std::size_t next = 0;
    for (std::size_t round = 0; round < rounds_of_restarts; ++round) {
      for (std::size_t i = 0; i < nodes_of_a_round; ++i)
        fleet_.restart_node_in_order(next++ * 2 % fleet_.settings().nodes, leaving_takes, starting_takes);
      if (round < rounds_before_the_storm) {
        fleet_.run_for(between_rounds);
      } else {
        change_each(between_changes_of_a_storm, static_cast<std::size_t>(between_rounds / between_changes_of_a_storm));
      }
    }
  }

  void kill_keepers() {
    for (std::size_t zone = 0; zone < zones_without_keeper; ++zone) fleet_.kill_control(fleet_.keeper_of(zone));
    change_each(between_changes, changes_without_keeper);
  }

  void kill_writer() {
    change_and_wait_for_acknowledgement();
    fleet_.kill_control(writer());
  }

  HollowFleet fleet_;
  DeliveryTrouble const trouble_;
};

}  // namespace

std::string_view to_text(DeliveryTrouble const trouble) {
  switch (trouble) {
    case DeliveryTrouble::none:
      return "none";
    case DeliveryTrouble::storm:
      return "storm";
    case DeliveryTrouble::relays_killed:
      return "relays_killed";
    case DeliveryTrouble::half_killed:
      return "half_killed";
    case DeliveryTrouble::rolling_restarts:
      return "rolling_restarts";
    case DeliveryTrouble::keepers_killed:
      return "keepers_killed";
    case DeliveryTrouble::writer_killed:
      return "writer_killed";
    case DeliveryTrouble::keeper_cut_off:
      return "keeper_cut_off";
  }
  return "unknown";
}

HollowFleetSettings large_site(std::size_t const routes) {
  HollowFleetSettings s;
  s.nodes = 279;
  s.backends = 279;
  s.changing_backends = 279;
  s.zones = 7;
  s.controls = 21;
  s.services = 3;
  s.keyed_services = 1;
  s.routes = routes;
  s.delays.in_region = 1400us;
  s.node_capacity = node_capacity;
  s.control_capacity = control_capacity;
  return s;
}

DeliveryFigures measure_delivery(HollowFleetSettings const& settings, DeliveryTrouble const trouble) {
  return DeliveryTrial(settings, trouble).run();
}

}  // namespace banktide
