// See hollow_delivery.hpp.
#include "programs/hollow_delivery.hpp"

#include "coordination/ring.hpp"

namespace banktide {

namespace {

constexpr Duration form_timeout = 60s;
constexpr Duration settle_time = 5s;
constexpr Duration late_version_wait = 8s;
constexpr Duration change_interval = 1s;
constexpr Duration storm_change_interval = 180ms;
constexpr std::size_t storm_changes = 18;
constexpr Duration acknowledgement_poll_period = 1ms;
constexpr Duration acknowledgement_timeout = 3s;
constexpr std::size_t unserved_zones = 2;
constexpr std::size_t changes_while_unserved = 9;
constexpr Duration killed_node_downtime = 2200ms;
constexpr std::size_t nodes_per_round = 14;
constexpr std::size_t restart_rounds = 10;
constexpr std::size_t rounds_before_the_storm = 3;
constexpr Duration round_interval = 1400ms;
constexpr Duration shutdown_duration = 3500ms;
constexpr Duration startup_duration = 300ms;

// The capacity that requests leave free on a machine with a tenth of a core and a link of 4.7 Mbit/s.
constexpr HollowCapacity node_capacity{0.065, 500e3};
// A control machine has 0.13 of a core for its two programs and a link of 120 Mbit/s.
constexpr HollowCapacity control_capacity{0.08, 15e6};

class DeliveryTrial {
 public:
  DeliveryTrial(HollowFleetSettings const& settings, DeliveryFault const fault) : fleet_(settings), fault_(fault) {}

  DeliveryResult run() {
    DeliveryResult result;
    result.formed = fleet_.form(form_timeout).has_value();
    if (!result.formed) return result;
    fleet_.run_for(settle_time);
    fleet_.reset_meters();
    std::size_t const before = fleet_.acknowledged();
    play();
    result.load = fleet_.measurements();
    fleet_.run_for(late_version_wait);
    result.acknowledged = fleet_.acknowledged() - before;
    result.activation_times = fleet_.times_to_activation();
    result.first_activation_times = fleet_.times_to_first_activation();
    result.behind = fleet_.nodes_behind();
    return result;
  }

 private:
  void play() {
    switch (fault_) {
      case DeliveryFault::none:
        return change_each(change_interval, 5);
      case DeliveryFault::storm:
        return change_each(storm_change_interval, storm_changes);
      case DeliveryFault::relays_killed:
        return kill_relays();
      case DeliveryFault::half_killed:
        return kill_half();
      case DeliveryFault::rolling_restarts:
        return restart_in_rounds();
      case DeliveryFault::keepers_killed:
        return kill_serving_registries();
      case DeliveryFault::writer_killed:
        return kill_writer();
      case DeliveryFault::keeper_cut_off:
        fleet_.isolate_control(fleet_.serving_control_of(0));
        return change_each(change_interval, changes_while_unserved);
    }
  }

  // A control that stays up and doesn't serve a zone whose serving registry fails.
  std::size_t writer() const { return fleet_.serving_control_of(fleet_.settings().zones - 1); }

  void change_each(Duration const pause, std::size_t const changes) {
    for (std::size_t i = 0; i < changes; ++i) {
      fleet_.write_next(writer());
      fleet_.run_for(pause);
    }
  }

  void change_and_wait_for_acknowledgement() {
    std::size_t const before = fleet_.acknowledged();
    fleet_.write_next(writer());
    for (Duration waited{}; fleet_.acknowledged() == before && waited < acknowledgement_timeout;
         waited += acknowledgement_poll_period)
      fleet_.run_for(acknowledgement_poll_period);
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
        fleet_.restart_node(number_of.at(id), killed_node_downtime);
    }
    change_each(change_interval, 4);
  }

  void kill_half() {
    for (std::size_t i = 0; i < fleet_.settings().nodes; ++i)
      if (i % 20 < 11) fleet_.restart_node(i, killed_node_downtime);
    change_each(change_interval, 6);
  }

  void restart_in_rounds() {
    std::size_t next = 0;
    for (std::size_t round = 0; round < restart_rounds; ++round) {
      for (std::size_t i = 0; i < nodes_per_round; ++i)
        fleet_.restart_node_gracefully(next++ * 2 % fleet_.settings().nodes, shutdown_duration, startup_duration);
      if (round < rounds_before_the_storm) {
        fleet_.run_for(round_interval);
      } else {
        change_each(storm_change_interval, static_cast<std::size_t>(round_interval / storm_change_interval));
      }
    }
  }

  void kill_serving_registries() {
    for (std::size_t zone = 0; zone < unserved_zones; ++zone) fleet_.kill_control(fleet_.serving_control_of(zone));
    change_each(change_interval, changes_while_unserved);
  }

  void kill_writer() {
    change_and_wait_for_acknowledgement();
    fleet_.kill_control(writer());
  }

  HollowFleet fleet_;
  DeliveryFault const fault_;
};

}  // namespace

std::string_view to_text(DeliveryFault const fault) {
  switch (fault) {
    case DeliveryFault::none:
      return "none";
    case DeliveryFault::storm:
      return "storm";
    case DeliveryFault::relays_killed:
      return "relays_killed";
    case DeliveryFault::half_killed:
      return "half_killed";
    case DeliveryFault::rolling_restarts:
      return "rolling_restarts";
    case DeliveryFault::keepers_killed:
      return "keepers_killed";
    case DeliveryFault::writer_killed:
      return "writer_killed";
    case DeliveryFault::keeper_cut_off:
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

DeliveryResult measure_delivery(HollowFleetSettings const& settings, DeliveryFault const fault) {
  return DeliveryTrial(settings, fault).run();
}

}  // namespace banktide
