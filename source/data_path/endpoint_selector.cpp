#include "data_path/endpoint_selector.hpp"

#include "data_path/outliers.hpp"

#include <algorithm>
#include <cmath>

namespace banktide {

namespace {

constexpr Duration load_half_life = 400ms;
constexpr Duration first_ejection = 250ms;
constexpr std::uint32_t longest_ejection_doublings = 4;
constexpr Duration outliers_found_every = 100ms;
constexpr Duration failures_believed_for = 5s;  // then an endpoint gets another chance
constexpr std::uint64_t one_in_so_many_probes = 24;

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

double EndpointSelector::busy_there(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  if (it == history_.end()) return endpoint.announced_busy;
  EndpointHistory const& h = it->second;
  double const age = std::chrono::duration<double>(now - h.others_at) / std::chrono::duration<double>(load_half_life);
  double const fresh = h.others_at == Instant{} ? 0 : std::exp2(-age);
  double const announced = std::max(0.0, static_cast<double>(endpoint.announced_busy) - h.in_flight);
  return h.in_flight + fresh * h.others + (1 - fresh) * announced;
}

bool EndpointSelector::has_free_slot(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  if (it != history_.end() && now < it->second.busy_until) return false;
  return busy_there(endpoint, now) + 1 <= endpoint.slots;
}

double EndpointSelector::mean_run(Endpoints const& endpoints) const {
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

// The expected time until an answer, in microseconds: the run itself, and the
// wait for a slot when none is free.
double EndpointSelector::cost(Endpoint const& endpoint, Instant const now, double const mean_run_us) const {
  auto const it = history_.find(endpoint.address);
  double const run = it == history_.end() || it->second.run_us == 0 ? mean_run_us : it->second.run_us;
  double const slots = std::max<std::uint32_t>(endpoint.slots, 1);
  double const busy = busy_there(endpoint, now);
  double const queued = std::max(0.0, busy + 1 - slots);
  // A nearly full backend is slower; among free ones the emptier is better.
  double const fullness = std::min(1.0, busy / slots);
  return run * (1 + 0.3 * fullness + queued / slots);
}

std::uint32_t EndpointSelector::failed_percent(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  if (it == history_.end() || now - it->second.failed_percent_at > failures_believed_for) return 0;
  return it->second.failed_percent;
}

std::set<Address> const& EndpointSelector::outliers_of(std::string const& service, Endpoints const& endpoints,
                                                       Instant const now) {
  Outliers& known = outliers_[service];
  if (now - known.found_at < outliers_found_every) return known.addresses;
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

bool EndpointSelector::withheld(Endpoint const& endpoint, double const draw) const {
  auto const share = zone_shares_.find(endpoint.zone);
  return share != zone_shares_.end() && draw >= share->second;
}

bool EndpointSelector::reachable(Endpoint const& endpoint, Instant const now) const {
  auto const it = history_.find(endpoint.address);
  return it == history_.end() || !it->second.gone || !avoided(endpoint.address, now);
}

Endpoint const* EndpointSelector::select(std::string const& service, std::set<Address> const& tried, Instant const now,
                                         std::mt19937_64& chance, bool const repeatable) {
  Endpoints const& all = of(service);
  std::set<Address> const& outliers = outliers_of(service, all, now);
  bool const probes = repeatable && !outliers.empty() && chance() % one_in_so_many_probes == 0;
  auto const shunned = [&](Endpoint const& e) {
    return avoided(e.address, now) || (!probes && outliers.contains(e.address));
  };
  if (zone_shares_.empty())
    return best_of(
        all, tried, now, chance, [](Endpoint const&) { return true; }, shunned);
  double const draw = std::uniform_real_distribution<double>(0, 1)(chance);
  bool const others =
      std::any_of(all.begin(), all.end(), [&](Endpoint const& e) { return !withheld(e, draw) && reachable(e, now); });
  return best_of(
      all, tried, now, chance, [&](Endpoint const& e) { return !others || !withheld(e, draw); }, shunned);
}

template <class Offered, class Shunned>
Endpoint const* EndpointSelector::best_of(Endpoints const& all, std::set<Address> const& tried, Instant const now,
                                          std::mt19937_64& chance, Offered const offered, Shunned const shunned) const {
  double const mean = mean_run(all);
  struct Best {
    Endpoint const* endpoint = nullptr;
    double cost = 0;
    bool free = false;
  };
  Best local, remote;
  std::vector<Endpoint const*> last_resort;
  std::size_t const start = all.empty() ? 0 : chance() % all.size();
  for (std::size_t i = 0; i < all.size(); ++i) {
    Endpoint const& e = all[(start + i) % all.size()];
    if (tried.contains(e.address) || !offered(e)) continue;
    if (shunned(e)) {
      last_resort.push_back(&e);
      continue;
    }
    Best const candidate{&e, cost(e, now, mean), has_free_slot(e, now)};
    Best& best = e.local_zone ? local : remote;
    bool const better = best.endpoint == nullptr || (candidate.free && !best.free) ||
                        (candidate.free == best.free && candidate.cost < best.cost);
    if (better) best = candidate;
  }
  if (local.endpoint != nullptr && (local.free || remote.endpoint == nullptr)) return local.endpoint;
  if (remote.endpoint == nullptr) return last_resort.empty() ? nullptr : last_resort.front();
  if (local.endpoint == nullptr) return remote.endpoint;
  return remote.cost * crossing_penalty < local.cost ? remote.endpoint : local.endpoint;
}

void EndpointSelector::sent(Address const& address) { ++history_[address].in_flight; }

void EndpointSelector::answered(Address const& address, EndpointLoad const& load, Instant const now) {
  EndpointHistory& h = history_[address];
  if (h.in_flight > 0) --h.in_flight;
  h.failures_in_row = 0;
  h.ejections = 0;
  h.gone = false;
  h.busy_until = Instant{};
  h.others = std::max(0.0, static_cast<double>(load.running + load.waiting) - h.in_flight);
  h.others_at = now;
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
  ++h.failures_in_row;
  h.gone = certain;
  if (!certain && h.failures_in_row < failures_to_eject) return;
  h.failures_in_row = 0;
  h.avoid_until = now + first_ejection * (1 << std::min(h.ejections, longest_ejection_doublings));
  ++h.ejections;
}

bool EndpointSelector::avoided(Address const& address, Instant const now) const {
  auto const it = history_.find(address);
  return it != history_.end() && now < it->second.avoid_until;
}

}  // namespace banktide
