// The model of the configuration that operators send: routes that map a host and a path prefix to
// services, the services themselves, and limits for clients. An adapter outside the product parses
// the operators' bytes into this model; `check` validates it, and `Router` finds the route of a
// request.
#pragma once

#include "state/tenants.hpp"
#include "transport/result.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tsl/robin_map.h>
#include <vector>

namespace banktide {

/// Value of `WeightedService::service` for a name that no service has.
inline constexpr std::uint32_t unknown_service = UINT32_MAX;

/// A target service of a route, with its share of the requests.
struct WeightedService {
  std::uint32_t service = unknown_service;  ///< index into `ServiceConfiguration::services`
  double weight = 1;                        ///< relative to the other targets of the route
};

/// Requests to one host under one path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;               ///< of the path
  bool repeatable = false;          ///< whether a request may run more than once
  Duration timeout = 30s;           ///< the longest that a request may take
  Duration target_latency = 30s;    ///< an answer within this time has its full value
  std::uint32_t attempt_limit = 1;  ///< the most backends that one request is sent to
  std::uint32_t rank = 0;           ///< 0 is served first under overload
  bool open = false;                ///< needs no access key even if the configuration has tenants
  std::vector<WeightedService> targets;
};

/// A service that backends run.
struct ServiceDefinition {
  std::string name;
  std::string health_path;
  std::uint32_t connection_limit = 0;  ///< connections that a backend accepts from all callers; 0: not specified
  bool keyed = false;                  ///< whether each backend serves only the keys that it holds
  Duration warm_up = 0s;               ///< how long keys stay slow that came without their last holder's handover token
};

/// Limits on the size and duration of clients' requests and on idle connections.
struct ClientLimits {
  std::size_t header_bytes = 16u << 10;
  std::size_t body_bytes = 64u << 20;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

/// One complete version of the configuration. The highest version is in force.
struct ServiceConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceDefinition> services;
  /// The tenants that may use routes that aren't open. Without a value everybody may; with an empty list nobody.
  std::optional<std::vector<Tenant>> tenants;
  ClientLimits limits;
  std::vector<std::string> ignored_sections;  ///< names of sections of the document that are not supported
};

/// A target latency that exceeds its route's timeout by this much or more makes a configuration invalid.
inline constexpr Duration target_latency_over_timeout_limit = 60s;

/// Returns the host in the form that routes compare: in lower case and without a port.
std::string normalize_host(std::string_view host);

/// Validates a configuration; the error's peer is the name of the invalid route or tenant.
Result<bool> check(ServiceConfiguration const& configuration);

/// Finds the route of a request. Built once for each version; keeps one index entry per route.
class Router {
 public:
  explicit Router(ServiceConfiguration configuration);
  // The indexes point into the strings of the configuration, which moving leaves in place.
  Router(Router const&) = delete;
  Router& operator=(Router const&) = delete;
  Router(Router&&) = default;
  Router& operator=(Router&&) = default;

  /// Returns the route of the host with the longest prefix of the path; nullptr if no route matches. The host may have
  /// a port and be in any case, the path may have a query.
  Route const* match(std::string_view host, std::string_view path) const;

  /// Returns the index of the service with this name.
  std::optional<std::uint32_t> service_index(std::string_view name) const;

  /// Chooses the service of a request on this route by the weights of its targets; `random` is 64 random bits. If no
  /// target has a weight above 0, all are equally likely; `unknown_service` if there is none, which `check` rejects.
  static std::uint32_t choose(Route const& route, std::uint64_t random);

  /// Whether a request on this route must have a tenant's access key.
  bool needs_access_key(Route const& route) const { return configuration_.tenants && !route.open; }

  /// Returns the tenant of an access key; nullptr if it is unknown.
  Tenant const* tenant_of(std::string_view access_key) const { return access_keys_.owner_of(access_key); }

  /// Returns the index of a route that `match` returned.
  std::uint32_t index_of(Route const& route) const;

  ServiceConfiguration const& configuration() const { return configuration_; }
  std::vector<Route> const& routes() const { return configuration_.routes; }
  std::vector<ServiceDefinition> const& services() const { return configuration_.services; }

 private:
  /// Part of `by_host_and_prefix_`: the routes of one host.
  struct Range {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
  };

  Route const* longest_prefix(Range range, std::string_view path) const;

  ServiceConfiguration configuration_;
  std::vector<std::uint32_t> by_host_and_prefix_;  ///< indexes of all routes, sorted
  tsl::robin_map<std::string_view, Range> hosts_;
  tsl::robin_map<std::string_view, std::uint32_t> services_;
  AccessKeys access_keys_;
};

}  // namespace banktide
