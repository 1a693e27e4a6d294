// banktide-hollow: measures the mesh at sizes that can't be run with real processes
// on one machine. It creates one hollow fleet, injects one fault, and prints the
// measurements as lines of "trial,x,role,metric,mean,highest".
#include "programs/hollow_delivery.hpp"
#include "programs/hollow_fleet.hpp"
#include "programs/hollow_fleet_objects.hpp"
#include "programs/settings.hpp"

#include <iostream>
#include <malloc.h>

using namespace banktide;

namespace {

constexpr Duration event_timeout = 150s;
constexpr Duration settle_time = 5s;
constexpr Duration restart_downtime = 1s;

void define(Settings& s) {
  s.text("measure", "fleet", "fleet, objects, frames or delivery");
  s.text("trial", "one", "name of the trial in the lines printed");
  s.text("x", "0", "what was varied, in the lines printed");
  s.number("nodes", 50, 1, 20000, "nodes, all zones together");
  s.number("zones", 2, 1, 64, "zones");
  s.number("regions", 1, 1, 16, "regions");
  s.number("controls", 3, 3, 99, "machines with a registry and a store");
  s.number("backends", 50, 0, 20000, "backends; each stands beside a node of its own");
  s.number("changing-backends", 0, 0, 20000, "backends that tell another load every second");
  s.number("services", 20, 1, 5000, "services");
  s.number("keyed-services", 0, 0, 5000, "services with keys, of these");
  s.number("routes", 100, 1, 100000, "routes of the configuration");
  s.number("region-delay-ms", 40, 0, 1000, "one way between regions");
  s.number("form-seconds", 60, 1, 3600, "virtual seconds in which the fleet must form");
  s.number("seconds", 20, 1, 3600, "virtual seconds to measure");
  s.number("seed", 1, 0, 1u << 30, "seed of everything drawn");
  s.number("changes-per-minute", 0, 0, 6000, "configurations written while measuring");
  s.number("restarts-per-minute", 0, 0, 6000, "nodes restarted while measuring");
  s.text(
      "trouble", "none",
      "with --measure delivery: none, storm, relays_killed, half_killed, rolling_restarts, keepers_killed, writer_killed, keeper_cut_off or all");
  s.number("site-nodes", 279, 7, 20000, "with --measure delivery: nodes, in seven zones");
  s.text("event", "none", "afterwards: none, zone (lost and back) or region (cut and healed)");
}

HollowFleetSettings fleet_settings(Settings const& s) {
  HollowFleetSettings f;
  f.nodes = s.number("nodes");
  f.zones = s.number("zones");
  f.regions = s.number("regions");
  f.controls = s.number("controls");
  f.backends = std::min(s.number("backends"), s.number("nodes"));
  f.changing_backends = s.number("changing-backends");
  f.services = s.number("services");
  f.keyed_services = s.number("keyed-services");
  f.routes = s.number("routes");
  f.delays.between_regions = std::chrono::milliseconds(s.number("region-delay-ms"));
  f.seed = s.number("seed");
  return f;
}

double seconds_of(std::optional<Duration> const& d) { return d ? std::chrono::duration<double>(*d).count() : -1; }

double allocated_bytes() {
  struct mallinfo2 const m = mallinfo2();
  return static_cast<double>(m.uordblks + m.hblkhd);
}

// One trial with one fleet.
class Trial {
 public:
  explicit Trial(Settings const& s)
      : settings_(s),
        before_(allocated_bytes()),
        fleet_(fleet_settings(s)),
        seconds_(std::chrono::seconds(s.number("seconds"))) {}

  int run() {
    std::optional<Duration> const formed = fleet_.form(std::chrono::seconds(settings_.number("form-seconds")));
    print("fleet", "form_s", seconds_of(formed));
    if (!formed) {
      report_unformed();
      return 0;
    }
    fleet_.run_for(settle_time);
    print("fleet", "voters", static_cast<double>(fleet_.voters()));
    measure();
    print("fleet", "memory_per_node_bytes",
          (allocated_bytes() - before_) / static_cast<double>(settings_.number("nodes")));
    if (settings_.text("event") == "zone") lose_zone();
    if (settings_.text("event") == "region") cut_region();
    return 0;
  }

 private:
  void print(std::string const& role, std::string const& metric, double const mean, double const highest) const {
    std::cout << settings_.text("trial") << "," << settings_.text("x") << "," << role << "," << metric << "," << mean
              << "," << highest << std::endl;
  }
  void print(std::string const& role, std::string const& metric, double const value) const {
    print(role, metric, value, value);
  }

  void print_all(HollowMeasurements const& all) const {
    for (HollowMeasurement const& m : all)
      if (m.highest > 0) print(m.role, m.metric, m.mean, m.highest);
  }

  // Prints what a fleet that didn't form in time is doing.
  void report_unformed() {
    print("fleet", "voters", static_cast<double>(fleet_.voters()));
    print("fleet", "ready_share",
          static_cast<double>(fleet_.ready_nodes()) / static_cast<double>(settings_.number("nodes")));
    fleet_.reset_meters();
    fleet_.run_for(settle_time);
    print_all(fleet_.measurements());
  }

  // Spreads configurations and restarts evenly over the measured time.
  void measure() {
    std::size_t const changes = per_time("changes-per-minute"), restarts = per_time("restarts-per-minute");
    constexpr std::size_t steps = 1200;
    fleet_.reset_meters();
    for (std::size_t i = 0; i < steps; ++i) {
      if (due(i, steps, changes)) fleet_.write_next((changed_++) % settings_.number("controls"));
      if (due(i, steps, restarts)) fleet_.restart_node((restarted_ += 7) % settings_.number("nodes"), restart_downtime);
      fleet_.run_for(seconds_ / steps);
    }
    print_all(fleet_.measurements());
    fleet_.run_for(settle_time);
    print("fleet", "ready_share",
          static_cast<double>(fleet_.ready_nodes()) / static_cast<double>(settings_.number("nodes")));
    print("fleet", "rows_held", static_cast<double>(fleet_.rows_held()));
    print("fleet", "formed_after", fleet_.formed());
    print_times("in_force_ms", fleet_.times_to_activation());
    print_times("acknowledged_ms", fleet_.times_to_acknowledge());
  }
  std::size_t per_time(std::string const& name) const {
    return settings_.number(name) *
           static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(seconds_).count()) / 60;
  }
  static bool due(std::size_t const step, std::size_t const steps, std::size_t const wanted) {
    return (step + 1) * wanted / steps > step * wanted / steps;
  }

  void print_times(std::string const& name, HollowTimes const& times) const {
    if (times.all.empty()) return;
    print("fleet", name + "_count", static_cast<double>(times.all.size()));
    print("fleet", name + "_min", times.milliseconds(0));
    print("fleet", name + "_median", times.milliseconds(0.5));
    print("fleet", name + "_p99", times.milliseconds(0.99));
    print("fleet", name + "_max", times.milliseconds(1));
  }

  void lose_zone() {
    std::size_t const zone = settings_.number("zones") - 1;
    fleet_.lose_zone(zone);
    fleet_.reset_meters();
    std::size_t const left = fleet_.running_backends();
    auto const seen = [&] { return fleet_.nodes_with_other_endpoints(left) == 0; };
    print("fleet", "zone_lost_seen_s", seconds_of(fleet_.run_until(seen, event_timeout)));
    print_highest("zone_lost");
    std::size_t const acknowledged = fleet_.acknowledged();
    fleet_.write_next(0);
    auto const is_active = [&] { return fleet_.acknowledged() > acknowledged && fleet_.formed(); };
    print("fleet", "zone_lost_write_in_force_s", seconds_of(fleet_.run_until(is_active, event_timeout)));
    fleet_.restore_zone(zone);
    fleet_.reset_meters();
    print("fleet", "zone_back_s", seconds_of(fleet_.run_until([&] { return fleet_.formed(); }, event_timeout)));
    print_highest("zone_back");
  }

  void cut_region() {
    fleet_.cut_region(0);
    fleet_.reset_meters();
    fleet_.run_for(settle_time);
    std::size_t const before = fleet_.acknowledged();
    fleet_.write_next(0);
    fleet_.run_for(settle_time);
    print("fleet", "region_cut_write_inside", static_cast<double>(fleet_.acknowledged() - before));
    std::size_t const then = fleet_.acknowledged();
    fleet_.write_next(1);
    fleet_.run_for(seconds_);
    print("fleet", "region_cut_write_outside", static_cast<double>(fleet_.acknowledged() - then));
    print("fleet", "region_cut_ready_share",
          static_cast<double>(fleet_.ready_nodes()) / static_cast<double>(settings_.number("nodes")));
    print_highest("region_cut");
    fleet_.heal();
    print("fleet", "region_healed_s", seconds_of(fleet_.run_until([&] { return fleet_.formed(); }, event_timeout)));
  }

  void print_highest(std::string const& when) const {
    for (HollowMeasurement const& m : fleet_.measurements())
      if (m.metric == "sent_bytes" || m.metric == "received_bytes" || m.metric == "processor_us")
        print(m.role, when + "_" + m.metric, m.mean, m.highest);
  }

  Settings const& settings_;
  double const before_;
  HollowFleet fleet_;
  Duration const seconds_;
  std::size_t changed_ = 0, restarted_ = 0;
};

void print_delivery(DeliveryFault const fault, std::size_t const routes, DeliveryResult const& result) {
  auto const line = [&](std::string const& metric, double const value) {
    std::cout << to_text(fault) << "," << routes << "," << metric << "," << value << std::endl;
  };
  line("formed", result.formed);
  line("acknowledged", static_cast<double>(result.acknowledged));
  for (double const share : {0.5, 0.9, 0.99, 0.999, 1.0})
    line("in_force_ms_" + std::to_string(share).substr(0, 5), result.activation_times.milliseconds(share));
  line("first_in_force_ms_median", result.first_activation_times.milliseconds(0.5));
  line("first_in_force_ms_max", result.first_activation_times.milliseconds(1));
  line("behind", static_cast<double>(result.behind));
  for (HollowMeasurement const& m : result.load)
    if (m.metric.ends_with("_bytes") || m.metric == "sent_messages")
      line(m.role + "_" + m.metric + "_mean", m.mean), line(m.role + "_" + m.metric + "_highest", m.highest);
}

void measure_deliveries(Settings const& s) {
  for (DeliveryFault const fault : delivery_faults) {
    if (s.text("trouble") != "all" && s.text("trouble") != to_text(fault)) continue;
    HollowFleetSettings settings = large_site(s.number("routes"));
    settings.seed = s.number("seed");
    settings.nodes = settings.backends = settings.changing_backends = s.number("site-nodes");
    print_delivery(fault, settings.routes, measure_delivery(settings, fault));
  }
}

}  // namespace

int main(int argc, char** argv) {
  Settings s("banktide-hollow");
  define(s);
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging(s.text("log-level"), "banktide-hollow", "hollow");
  int code = 0;
  if (s.text("measure") == "objects") {
    measure_objects(std::cout);
  } else if (s.text("measure") == "frames") {
    measure_frames(std::cout);
  } else if (s.text("measure") == "delivery") {
    measure_deliveries(s);
  } else {
    code = std::make_unique<Trial>(s)->run();
  }
  std::cout.flush();
  std::_Exit(code);
}
