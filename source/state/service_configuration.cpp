// Validation of configurations, and route lookup by host and prefix.
#include "state/service_configuration.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace banktide {

namespace {

/// The longest host name that DNS allows is 253 bytes.
constexpr std::size_t host_limit = 255;

std::string_view without_port(std::string_view const host) {
  // An IPv6 address is in brackets and contains colons itself.
  std::size_t const address_end = !host.empty() && host.front() == '[' ? host.find(']') : 0;
  if (address_end == std::string_view::npos) return host;
  return host.substr(0, host.find(':', address_end));
}

char lower(char const c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view without_query(std::string_view const path) { return path.substr(0, path.find_first_of("?#")); }

std::size_t common_length(std::string_view const a, std::string_view const b) {
  auto const [in_a, in_b] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return static_cast<std::size_t>(in_a - a.begin());
}

tl::unexpected<Error> invalid(Route const& route, std::string reason) {
  return make_error("check_configuration", route.name, std::move(reason), Proof::not_run);
}

Result<bool> check_route(Route const& route, std::size_t const services) {
  if (normalize_host(route.host).empty()) return invalid(route, "the host is empty");
  if (route.targets.empty()) return invalid(route, "names no service");
  for (WeightedService const& target : route.targets) {
    if (target.service >= services) return invalid(route, "names an unknown service");
    if (target.weight < 0 || std::isnan(target.weight)) return invalid(route, "a weight is below 0");
  }
  if (route.target_latency - route.timeout >= target_latency_over_timeout_limit)
    return invalid(route, "the target latency exceeds the timeout by a minute or more");
  return true;
}

Result<bool> check_distinct(std::vector<Route> const& routes) {
  struct Place {
    std::string host;
    std::string_view prefix;
    std::uint32_t route;
  };
  std::vector<Place> places;
  places.reserve(routes.size());
  for (std::uint32_t i = 0; i < routes.size(); ++i)
    places.push_back({normalize_host(routes[i].host), routes[i].prefix, i});
  std::sort(places.begin(), places.end(), [](Place const& a, Place const& b) {
    return std::tie(a.host, a.prefix, a.route) < std::tie(b.host, b.prefix, b.route);
  });
  auto const twice = std::adjacent_find(places.begin(), places.end(), [](Place const& a, Place const& b) {
    return a.host == b.host && a.prefix == b.prefix;
  });
  if (twice == places.end()) return true;
  return invalid(routes[std::next(twice)->route], "shares host and prefix with route " + routes[twice->route].name);
}

}  // namespace

std::string normalize_host(std::string_view const host) {
  std::string normal(without_port(host));
  std::transform(normal.begin(), normal.end(), normal.begin(), lower);
  return normal;
}

Result<bool> check(ServiceConfiguration const& configuration) {
  for (Route const& route : configuration.routes) {
    Result<bool> const valid = check_route(route, configuration.services.size());
    if (!valid) return valid;
  }
  if (configuration.tenants) {
    Result<bool> const valid = check_tenants(*configuration.tenants);
    if (!valid) return valid;
  }
  return check_distinct(configuration.routes);
}

Router::Router(ServiceConfiguration configuration) : configuration_(std::move(configuration)) {
  std::vector<Route>& routes = configuration_.routes;
  for (Route& route : routes) route.host = normalize_host(route.host);
  by_host_and_prefix_.resize(routes.size());
  std::iota(by_host_and_prefix_.begin(), by_host_and_prefix_.end(), 0u);
  std::sort(by_host_and_prefix_.begin(), by_host_and_prefix_.end(), [&](std::uint32_t const a, std::uint32_t const b) {
    return std::tie(routes[a].host, routes[a].prefix) < std::tie(routes[b].host, routes[b].prefix);
  });
  for (std::uint32_t i = 0; i < by_host_and_prefix_.size(); ++i) {
    Range& range = hosts_.try_emplace(routes[by_host_and_prefix_[i]].host, Range{i, i}).first.value();
    range.end = i + 1;
  }
  for (std::uint32_t i = 0; i < configuration_.services.size(); ++i)
    services_.try_emplace(configuration_.services[i].name, i);
  if (configuration_.tenants) access_keys_ = AccessKeys(*configuration_.tenants);
}

Route const* Router::match(std::string_view const host, std::string_view const path) const {
  std::string_view const name = without_port(host);
  if (name.size() > host_limit) return nullptr;
  std::array<char, host_limit> buffer;
  std::transform(name.begin(), name.end(), buffer.begin(), lower);
  auto const found = hosts_.find(std::string_view(buffer.data(), name.size()));
  if (found == hosts_.end()) return nullptr;
  return longest_prefix(found->second, without_query(path));
}

// All prefixes of the path sort at or before it, the longest last. If the entry just before the path is not one of
// them, each of them is still a prefix of what that entry and the path have in common, and the search goes on with it.
Route const* Router::longest_prefix(Range const range, std::string_view path) const {
  auto const begin = by_host_and_prefix_.begin() + range.begin;
  auto end = by_host_and_prefix_.begin() + range.end;
  while (true) {
    end = std::upper_bound(begin, end, path, [&](std::string_view const wanted, std::uint32_t const route) {
      return wanted < configuration_.routes[route].prefix;
    });
    if (end == begin) return nullptr;
    Route const& candidate = configuration_.routes[*std::prev(end)];
    std::size_t const common = common_length(candidate.prefix, path);
    if (common == candidate.prefix.size()) return &candidate;
    path = path.substr(0, common);
  }
}

std::optional<std::uint32_t> Router::service_index(std::string_view const name) const {
  auto const found = services_.find(name);
  if (found == services_.end()) return std::nullopt;
  return found->second;
}

std::uint32_t Router::choose(Route const& route, std::uint64_t const random) {
  double total = 0;
  for (WeightedService const& target : route.targets) total += target.weight;
  bool const alike = !(total > 0);
  if (alike) total = static_cast<double>(route.targets.size());
  // A double represents integers of up to 53 bits exactly.
  double point = static_cast<double>(random >> 11) * 0x1p-53 * total;
  std::uint32_t chosen = unknown_service;
  for (WeightedService const& target : route.targets) {
    double const weight = alike ? 1 : target.weight;
    if (!(weight > 0)) continue;
    chosen = target.service;
    if (point < weight) break;
    point -= weight;
  }
  return chosen;
}

std::uint32_t Router::index_of(Route const& route) const {
  return static_cast<std::uint32_t>(&route - configuration_.routes.data());
}

}  // namespace banktide
