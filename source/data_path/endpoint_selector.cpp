#include "data_path/endpoint_selector.hpp"

#include "data_path/outliers.hpp"

#include <algorithm>
#include <cmath>

namespace banktide {

namespace {

constexpr Duration load_half_life = 400ms;
constexpr Duration first_ejection = 250ms;
constexpr std::uint32_t max_ejection_doublings = 4;
constexpr Duration outlier_update_interval = 100ms;
constexpr Duration failure_report_lifetime = 5s;  // then an outlier is used again
constexpr std::uint64_t probe_one_in = 24;
constexpr Duration transfer_half_life = 1500ms;  // then a path that was slow is tried again
constexpr double weight_of_slower = 0.5;         // weight of a slower measurement in the mean
constexpr double weight_of_faster = 0.3;
constexpr double congested_transfer_us = 100000;
constexpr double slowdown_of_full = 0.3;  // part by which a run is slower at a nearly full backend
constexpr double wait_weight = 2;         // expected wait for a slot, in run times, when all slots look taken
constexpr double wait_power = 6;

}  // namespace

void EndpointSelector::replace(std::map<std::string, Endpoints> endpoints) {
  endpoints_ = std::move(endpoints);
  std::set<Address> known;
  for (auto const& [service, all] : endpoints_)
    for (Endpoint const& e : all) known.insert(e.address);
  for (auto it = history_.begin(); it != history_.end();)
    if (it->second.in_flight == 0 && !known.contains(it->first))
      it = history_.erase(it);
    else
      ++it;
}

EndpointSelector::Endpoints const& EndpointSelector::of(std::string const& service) const {
  static Endpoints const none;
  auto const it = endpoints_.find(service);
  return it == endpoints_.end() ? none : it->second;
}

double EndpointSelector::expected_load(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  if (it == history_.end()) return endpoint.announced_load;
  EndpointHistory const& h = it->second;
  double const age =
      std::chrono::duration<double>(now - h.other_load_at) / std::chrono::duration<double>(load_half_life);
  double const fresh = h.other_load_at == Instant{} ? 0 : std::exp2(-age);
  double const announced = std::max(0.0, static_cast<double>(endpoint.announced_load) - h.in_flight);
  return h.in_flight + fresh * h.other_load + (1 - fresh) * announced;
}

bool EndpointSelector::has_free_slot(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  if (it != history_.end() && now < it->second.busy_until) return false;
  return expected_load(endpoint, now) + 1 <= endpoint.slots;
}

double EndpointSelector::transfer_us(Address const& address, Instant const now) const {
  auto const it = history_.find(address);
  if (it == history_.end() || it->second.transfer_at == Instant{}) return 0;
  double const age =
      std::chrono::duration<double>(now - it->second.transfer_at) / std::chrono::duration<double>(transfer_half_life);
  return it->second.transfer_us * std::exp2(-std::max(0.0, age));
}

Duration EndpointSelector::expected_transfer(Address const& address, Instant const now) const {
  return std::chrono::microseconds(static_cast<std::int64_t>(transfer_us(address, now)));
}

void EndpointSelector::transferred(Address const& address, Duration const took, Instant const now) {
  EndpointHistory& h = history_[address];
  double const us = std::chrono::duration<double, std::micro>(took).count();
  double const before = transfer_us(address, now);
  h.transfer_us = before + (us - before) * (us > before ? weight_of_slower : weight_of_faster);
  h.transfer_at = now;
}

bool EndpointSelector::ready(Endpoint const& endpoint, Instant const now) const {
  return has_free_slot(endpoint, now) && transfer_us(endpoint.address, now) < congested_transfer_us;
}

double EndpointSelector::mean_run_time(Endpoints const& endpoints) const {
  double sum = 0;
  std::size_t n = 0;
  for (Endpoint const& e : endpoints) {
    auto const it = history_.find(e.address);
    if (it == history_.end() || it->second.run_us == 0) continue;
    sum += it->second.run_us;
    ++n;
  }
  return n == 0 ? 50000 : sum / static_cast<double>(n);
}

double EndpointSelector::run_time_of(Endpoint const& endpoint, double const mean_run_us) const {
  auto const it = history_.find(endpoint.address);
  return it == history_.end() || it->second.run_us == 0 ? mean_run_us : it->second.run_us;
}

// Returns the expected time until the reply, in microseconds: network time, run time, and the wait for a slot. The
// known load is slightly out of date, so the wait grows well before all slots look taken.
double EndpointSelector::cost(Endpoint const& endpoint, Instant const now, double const mean_run_us) const {
  double const slots = std::max<std::uint32_t>(endpoint.slots, 1);
  double const busy = expected_load(endpoint, now);
  double const queued = std::max(0.0, busy + 1 - slots);
  double const fullness = std::min(1.0, busy / slots);
  double const wait = slowdown_of_full * fullness + wait_weight * std::pow(fullness, wait_power) + queued / slots;
  return run_time_of(endpoint, mean_run_us) * (1 + wait) + transfer_us(endpoint.address, now);
}

std::uint32_t EndpointSelector::failed_percent(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  if (it == history_.end() || now - it->second.failed_percent_at > failure_report_lifetime) return 0;
  return it->second.failed_percent;
}

std::set<Address> const& EndpointSelector::outliers_of(std::string const& service, Endpoints const& endpoints,
                                                       Instant const now) {
  Outliers& known = outliers_[service];
  if (now - known.found_at < outlier_update_interval) return known.addresses;
  known.found_at = now;
  known.addresses.clear();
  std::vector<std::uint32_t> failed;
  failed.reserve(endpoints.size());
  for (Endpoint const& e : endpoints) failed.push_back(failed_percent(e, now));
  std::vector<bool> const outlier = find_outliers(failed);
  for (std::size_t i = 0; i < endpoints.size(); ++i)
    if (outlier[i]) known.addresses.insert(endpoints[i].address);
  return known.addresses;
}

bool EndpointSelector::is_withheld(Endpoint const& endpoint, double const draw) const {
  auto const share = zone_shares_.find(endpoint.zone);
  return share != zone_shares_.end() && draw >= share->second;
}

bool EndpointSelector::is_reachable(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  return it == history_.end() || !it->second.unreachable || !avoided(endpoint.address, now);
}

Endpoint const* EndpointSelector::select(std::string const& service, std::set<Address> const& tried, Instant const now,
                                         std::mt19937_64& chance, bool const repeatable) {
  Endpoints const& all = of(service);
  std::set<Address> const& outliers = outliers_of(service, all, now);
  bool const probes = repeatable && !outliers.empty() && chance() % probe_one_in == 0;
  auto const is_last_resort = [&](Endpoint const& e) {
    return avoided(e.address, now) || (!probes && outliers.contains(e.address));
  };
  if (zone_shares_.empty())
    return select_from(
        all, tried, now, chance, [](Endpoint const&) { return true; }, is_last_resort);
  double const draw = std::uniform_real_distribution<double>(0, 1)(chance);
  bool const has_alternative = std::any_of(
      all.begin(), all.end(), [&](Endpoint const& e) { return !is_withheld(e, draw) && is_reachable(e, now); });
  return select_from(
      all, tried, now, chance, [&](Endpoint const& e) { return !has_alternative || !is_withheld(e, draw); },
      is_last_resort);
}

// Draws two endpoints, weighted by throughput, and picks the better one. If the best of all were
// picked, all nodes, which have the same information, would send their requests to one endpoint.
Endpoint const* EndpointSelector::pick_better_of_two(std::vector<Candidate> const& from, std::mt19937_64& chance) {
  if (from.empty()) return nullptr;
  Candidate const& first = from[draw(from, from.size(), chance)];
  if (from.size() == 1) return first.endpoint;
  std::size_t const skipped = static_cast<std::size_t>(&first - from.data());
  Candidate const& second = from[draw(from, skipped, chance)];
  return second.cost < first.cost ? second.endpoint : first.endpoint;
}

// Draws one of all candidates but the one at `skipped`, weighted by throughput.
std::size_t EndpointSelector::draw(std::vector<Candidate> const& from, std::size_t const skipped,
                                   std::mt19937_64& chance) {
  double sum = 0;
  for (std::size_t i = 0; i < from.size(); ++i) sum += i == skipped ? 0 : from[i].throughput;
  double left = std::uniform_real_distribution<double>(0, sum)(chance);
  std::size_t last = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (i == skipped) continue;
    last = i;
    left -= from[i].throughput;
    if (left < 0) break;
  }
  return last;
}

template <class Eligible, class LastResort>
Endpoint const* EndpointSelector::select_from(Endpoints const& all, std::set<Address> const& tried, Instant const now,
                                              std::mt19937_64& chance, Eligible const is_eligible,
                                              LastResort const is_last_resort) const {
  double const mean = mean_run_time(all);
  std::vector<Candidate> free_local, free_remote;
  std::optional<Candidate> best_busy;
  std::vector<Endpoint const*> last_resort;
  for (Endpoint const& e : all) {
    if (tried.contains(e.address) || !is_eligible(e)) continue;
    if (is_last_resort(e)) {
      last_resort.push_back(&e);
      continue;
    }
    Candidate const candidate{&e, cost(e, now, mean), e.slots / run_time_of(e, mean)};
    if (ready(e, now)) {
      (e.local_zone ? free_local : free_remote).push_back(candidate);
      continue;
    }
    double const penalty = e.local_zone ? 1 : crossing_penalty;
    bool const better = !best_busy || candidate.cost * penalty < best_busy->cost;
    if (better) best_busy = Candidate{&e, candidate.cost * penalty, candidate.throughput};
  }
  if (!free_local.empty()) return pick_better_of_two(free_local, chance);
  Endpoint const* const remote = pick_better_of_two(free_remote, chance);
  if (remote != nullptr && (!best_busy || cost(*remote, now, mean) * crossing_penalty < best_busy->cost)) return remote;
  if (best_busy) return best_busy->endpoint;
  return last_resort.empty() ? nullptr : last_resort[chance() % last_resort.size()];
}

void EndpointSelector::sent(Address const& address) { ++history_[address].in_flight; }

void EndpointSelector::answered(Address const& address, EndpointLoad const& load, Instant const now) {
  EndpointHistory& h = history_[address];
  if (h.in_flight > 0) --h.in_flight;
  h.consecutive_failures = 0;
  h.ejections = 0;
  h.unreachable = false;
  h.busy_until = Instant{};
  h.other_load = std::max(0.0, static_cast<double>(load.running + load.waiting) - h.in_flight);
  h.other_load_at = now;
  if (load.run_us > 0) h.run_us = load.run_us;
  h.failed_percent = load.failed_percent;
  h.failed_percent_at = now;
}

void EndpointSelector::busy(Address const& address, EndpointLoad const& load, Duration const for_time,
                            Instant const now) {
  answered(address, load, now);
  history_[address].busy_until = now + for_time;
}

void EndpointSelector::failed(Address const& address, bool const certain, Instant const now) {
  EndpointHistory& h = history_[address];
  if (h.in_flight > 0) --h.in_flight;
  ++h.consecutive_failures;
  h.unreachable = certain;
  if (!certain && h.consecutive_failures < failures_to_eject) return;
  h.consecutive_failures = 0;
  h.avoid_until = now + first_ejection * (1 << std::min(h.ejections, max_ejection_doublings));
  ++h.ejections;
}

bool EndpointSelector::avoided(Address const& address, Instant const now) const {
  if (is_silent_ && is_silent_(address)) return true;
  auto const it = history_.find(address);
  return it != history_.end() && now < it->second.avoid_until;
}

}  // namespace banktide
