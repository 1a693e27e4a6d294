// See hollow_fleet.hpp.
#include "programs/hollow_fleet.hpp"

#include "protocol/digest.hpp"
#include "protocol/key_messages.hpp"

#include <algorithm>

namespace banktide {

namespace {

constexpr std::uint16_t registry_port = 7000;
constexpr std::uint16_t store_port = 7100;
constexpr std::uint16_t node_port = 7200;
constexpr std::size_t seed_count = 3;
constexpr std::size_t samples_per_zone = 3;
constexpr Duration poll_period = 50ms;
constexpr Duration write_retry_period = 1s;

Address address_of(std::size_t const zone, std::size_t const number, std::uint16_t const port) {
  return "10." + std::to_string(zone) + "." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) +
         ":" + std::to_string(port);
}

std::string kind_name(std::uint8_t const kind) {
  switch (kind) {
    case Prepare::kind:
      return "prepare";
    case Accept::kind:
      return "accept";
    case ReadRegister::kind:
      return "peek";
    case ZoneUpdate::kind:
      return "news";
    case Follow::kind:
      return "follow";
    case RegisterValuesRequest::kind:
      return "values";
    case Join::kind:
      return "join";
    case RegistryExchange::kind:
      return "meet";
    case Heartbeat::kind:
      return "beat";
    case Suspect::kind:
      return "suspect";
    case ZoneAnnouncement::kind:
      return "zone_entry";
    case ChosenValue::kind:
      return "chosen";
    case KeyReport::kind:
      return "key_report";
    default:
      return "kind_" + std::to_string(kind);
  }
}

// Sums the values of each metric over the processes of a role.
class Totals {
 public:
  void add(std::string const& metric, double const value) {
    Sum& sum = sums_[metric];
    sum.total += value;
    sum.highest = std::max(sum.highest, value);
  }
  void add(HollowMeter const& meter, double const seconds) {
    ++processes_;
    add_traffic("sent", meter.sent, seconds);
    add_traffic("received", meter.received, seconds);
    for (auto const& [kind, traffic] : meter.sent_by_kind) add_traffic("sent_" + kind_name(kind), traffic, seconds);
    for (auto const& [kind, traffic] : meter.received_by_kind)
      add_traffic("received_" + kind_name(kind), traffic, seconds);
    add("events", static_cast<double>(meter.events) / seconds);
    add("processor_us", std::chrono::duration<double, std::micro>(meter.processor).count() / seconds);
    add("disk_writes", static_cast<double>(meter.disk_writes) / seconds);
    add("disk_bytes", static_cast<double>(meter.disk_bytes) / seconds);
  }
  void report(std::string const& role, HollowMeasurements& all) const {
    for (auto const& [metric, sum] : sums_)
      all.push_back(HollowMeasurement{role, metric, sum.total / static_cast<double>(processes_), sum.highest});
  }

 private:
  struct Sum {
    double total = 0;
    double highest = 0;
  };
  void add_traffic(std::string const& name, HollowTraffic const& traffic, double const seconds) {
    add(name + "_messages", static_cast<double>(traffic.messages) / seconds);
    add(name + "_bytes", static_cast<double>(traffic.bytes) / seconds);
  }

  std::map<std::string, Sum> sums_;
  std::size_t processes_ = 0;
};

}  // namespace

double HollowTimes::milliseconds(double const share) const {
  if (all.empty()) return 0;
  std::size_t const last = all.size() - 1;
  std::size_t const at = static_cast<std::size_t>(share * static_cast<double>(last) + 0.5);
  return std::chrono::duration<double, std::milli>(all[std::min(at, last)]).count();
}

// ---- set-up

HollowFleet::HollowFleet(HollowFleetSettings const& settings)
    : settings_(settings),
      network_(settings.delays, settings.seed),
      interface_([this](std::size_t const routes) { network_.charge_reading(routes); }) {
  for (std::size_t i = 0; i < settings_.services; ++i) services_.push_back(hollow_service_name(i));
  for (std::size_t i = 0; i < settings_.controls; ++i) add_control(i);
  std::vector<Address> seeds = controls_.front()->settings().seeds;
  for (std::size_t i = 0; i < settings_.nodes; ++i) add_node(i, seeds);
}

HollowFleet::~HollowFleet() {
  nodes_.clear();
  controls_.clear();
}

HollowLocation HollowFleet::location_of_zone(std::size_t const zone) const {
  return HollowLocation{zone_name(zone), zone % settings_.regions};
}

void HollowFleet::add_control(std::size_t const number) {
  auto const registry_of = [this](std::size_t const i) {
    return address_of(i % settings_.zones, 5000 + i, registry_port);
  };
  HollowControlSettings c;
  c.id = "registry-" + std::to_string(number);
  c.location = location_of_zone(number % settings_.zones);
  c.registry = registry_of(number);
  c.store = address_of(number % settings_.zones, 5000 + number, store_port);
  c.store_port = store_port;
  c.capacity = settings_.control_capacity;
  for (std::size_t i = 0; i < std::min(seed_count, settings_.controls); ++i) c.seeds.push_back(registry_of(i));
  controls_.push_back(std::make_unique<HollowControl>(network_, interface_, std::move(c)));
}

void HollowFleet::add_node(std::size_t const number, std::vector<Address> const& seeds) {
  std::size_t const zone = number % settings_.zones;
  HollowNodeSettings n;
  n.id = node_id(number);
  n.location = location_of_zone(zone);
  n.address = address_of(zone, number / settings_.zones, node_port);
  n.seeds = seeds;
  n.store_port = store_port;
  if (number < settings_.backends) n.service = services_[number % services_.size()];
  n.load_changes = number < settings_.changing_backends;
  n.capacity = settings_.node_capacity;
  nodes_.push_back(std::make_unique<HollowNode>(network_, interface_, std::move(n)));
}

std::optional<Duration> HollowFleet::form(Duration const most) {
  for (std::unique_ptr<HollowControl> const& control : controls_) control->start();
  for (std::unique_ptr<HollowNode> const& node : nodes_) node->start();
  Instant const begun = network_.now();
  Instant next_write = begun;
  auto const written_and_formed = [&] {
    if (newest_acknowledged_ == 0 && network_.now() >= next_write) {
      write_next(0);
      next_write = network_.now() + write_retry_period;
    }
    return formed();
  };
  return run_until(written_and_formed, most);
}

void HollowFleet::run_for(Duration const d) {
  Instant const end = network_.now() + d;
  while (network_.now() < end) {
    end_and_start_nodes();
    network_.run_for(std::min<Duration>(poll_period, end - network_.now()));
  }
}

void HollowFleet::end_and_start_nodes() {
  auto const is_due = [this](std::pair<Instant, std::size_t> const& planned) {
    return planned.first <= network_.now();
  };
  for (std::pair<Instant, std::size_t> const& planned : to_end_)
    if (is_due(planned)) nodes_[planned.second]->kill();
  std::erase_if(to_end_, is_due);
  for (std::pair<Instant, std::size_t> const& planned : to_start_)
    if (is_due(planned)) nodes_[planned.second]->start();
  std::erase_if(to_start_, is_due);
}

std::optional<Duration> HollowFleet::run_until(std::function<bool()> const& holds, Duration const most) {
  Instant const begun = network_.now();
  while (network_.now() - begun < most) {
    if (holds()) return network_.now() - begun;
    run_for(poll_period);
  }
  return std::nullopt;
}

// ---- state

std::vector<std::size_t> HollowFleet::samples() const {
  std::vector<std::size_t> all;
  std::size_t const most = std::min(settings_.nodes, settings_.zones * samples_per_zone);
  for (std::size_t i = 0; i < most; ++i)
    if (nodes_[i]->alive()) all.push_back(i);
  return all;
}

bool HollowFleet::has_newest(HollowNode const& node) const {
  return !node.activations().empty() && node.activations().back().version >= newest_acknowledged_;
}

std::size_t HollowFleet::ready_nodes() const {
  std::size_t n = 0;
  for (std::unique_ptr<HollowNode> const& node : nodes_) n += node->ready();
  return n;
}

std::size_t HollowFleet::running_backends() const {
  std::size_t n = 0;
  for (std::unique_ptr<HollowNode> const& node : nodes_) n += node->alive() && !node->settings().service.empty();
  return n;
}

std::size_t HollowFleet::nodes_with_other_endpoints(std::size_t const expected) const {
  std::size_t n = 0;
  for (std::size_t const i : samples()) n += nodes_[i]->endpoints(services_) != expected;
  return n;
}

std::size_t HollowFleet::rows_held() const {
  std::size_t n = 0;
  for (std::unique_ptr<HollowNode> const& node : nodes_) n += node->rows_held();
  return n;
}

bool HollowFleet::formed() const {
  if (newest_acknowledged_ == 0) return false;
  bool const settled = std::all_of(nodes_.begin(), nodes_.end(), [this](std::unique_ptr<HollowNode> const& node) {
    return !node->alive() || (node->ready() && has_newest(*node));
  });
  return settled && nodes_with_other_endpoints(running_backends()) == 0;
}

// ---- measuring

void HollowFleet::reset_meters() {
  meters_reset_ = network_.now();
  for (std::unique_ptr<HollowNode> const& node : nodes_) node->meter() = HollowMeter{};
  for (std::unique_ptr<HollowControl> const& control : controls_) {
    control->registry_meter() = HollowMeter{};
    control->store_meter() = HollowMeter{};
  }
}

HollowMeasurements HollowFleet::measurements() const {
  double const seconds = std::chrono::duration<double>(network_.now() - meters_reset_).count();
  Totals proxies, registries, stores;
  for (std::unique_ptr<HollowNode> const& node : nodes_) proxies.add(node->meter(), seconds);
  for (std::unique_ptr<HollowControl> const& control : controls_) {
    registries.add(control->registry_meter(), seconds);
    stores.add(control->store_meter(), seconds);
  }
  HollowMeasurements all;
  proxies.report("proxy", all);
  registries.report("registry", all);
  stores.report("store", all);
  return all;
}

// ---- configurations

void HollowFleet::write_next(std::size_t const control) {
  HollowConfiguration next;
  next.version = versions_.size() + 1;
  next.routes = settings_.routes;
  next.services = settings_.services;
  next.keyed_services = settings_.keyed_services;
  versions_.push_back(Version{next.version, network_.now(), std::nullopt});
  controls_.at(control)->write_configuration(next, [this, version = next.version](bool const acknowledged) {
    (acknowledged ? writes_acknowledged_ : writes_refused_) += 1;
    if (!acknowledged) return;
    versions_[version - 1].acknowledged = network_.now();
    newest_acknowledged_ = std::max(newest_acknowledged_, version);
  });
  network_.settle();
}

HollowTimes HollowFleet::times_to_acknowledge() const {
  HollowTimes times;
  for (Version const& v : versions_)
    if (v.acknowledged && v.sent >= meters_reset_) times.all.push_back(*v.acknowledged - v.sent);
  std::sort(times.all.begin(), times.all.end());
  return times;
}

// A version that a node skipped counts as active from the activation of the next newer one.
HollowTimes HollowFleet::times_to_activation() const {
  HollowTimes times;
  for (Version const& v : versions_) {
    if (!v.acknowledged || v.sent < meters_reset_) continue;
    for (std::unique_ptr<HollowNode> const& node : nodes_) {
      std::vector<HollowActivation> const& activations = node->activations();
      if (activations.empty() || activations.front().version >= v.number) continue;
      auto const it = std::find_if(activations.begin(), activations.end(),
                                   [&](HollowActivation const& f) { return f.version >= v.number; });
      if (it != activations.end()) times.all.push_back(std::max(it->at - *v.acknowledged, Duration::zero()));
    }
  }
  std::sort(times.all.begin(), times.all.end());
  return times;
}

std::size_t HollowFleet::nodes_behind() const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(),
                    [this](std::unique_ptr<HollowNode> const& node) { return node->alive() && !has_newest(*node); }));
}

HollowTimes HollowFleet::times_to_first_activation() const {
  HollowTimes times;
  for (std::unique_ptr<HollowNode> const& node : nodes_) {
    if (!node->alive() || node->started() < meters_reset_ || node->activations().empty()) continue;
    times.all.push_back(node->activations().front().at - node->started());
  }
  std::sort(times.all.begin(), times.all.end());
  return times;
}

// ---- faults

void HollowFleet::lose_zone(std::size_t const zone) {
  for (std::size_t i = zone; i < nodes_.size(); i += settings_.zones) nodes_[i]->kill();
  for (std::size_t i = zone; i < controls_.size(); i += settings_.zones) controls_[i]->kill();
}

void HollowFleet::restore_zone(std::size_t const zone) {
  for (std::size_t i = zone; i < controls_.size(); i += settings_.zones) controls_[i]->start();
  for (std::size_t i = zone; i < nodes_.size(); i += settings_.zones) nodes_[i]->start();
}

void HollowFleet::restart_node(std::size_t const node, Duration const down) {
  nodes_.at(node)->kill();
  to_start_.emplace_back(network_.now() + down, node);
}

std::size_t HollowFleet::serving_control_of(std::size_t const zone) const {
  std::size_t first = zone;
  for (std::size_t i = zone; i < controls_.size(); i += settings_.zones)
    if (digest_of(controls_[i]->settings().registry) < digest_of(controls_[first]->settings().registry)) first = i;
  return first;
}

void HollowFleet::isolate_control(std::size_t const control) {
  std::set<Address> others;
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    if (i == control) continue;
    others.insert(controls_[i]->settings().registry);
    others.insert(controls_[i]->settings().store);
  }
  network_.isolate(controls_.at(control)->settings().registry, std::move(others));
}

void HollowFleet::restart_node_gracefully(std::size_t const node, Duration const grace, Duration const down) {
  nodes_.at(node)->leave();
  to_end_.emplace_back(network_.now() + grace, node);
  to_start_.emplace_back(network_.now() + grace + down, node);
}

void HollowFleet::cut_region(std::size_t const region) {
  for (std::size_t other = 0; other < settings_.regions; ++other)
    if (other != region) network_.cut(region, other);
}

}  // namespace banktide
