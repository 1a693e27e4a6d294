// State shared by the parts of a proxy: its settings, its view of the zone, the rules in force and the local
// backends, with queries on these for one service or backend.
#pragma once

#include "coordination/zone_follower.hpp"
#include "state/layout.hpp"
#include "state/recent_errors.hpp"
#include "transport/mutant.hpp"
#include "transport/environment.hpp"

namespace banktide {

struct ProxySettings {
  std::string id;
  std::string zone;
  Address address;
  bool gateway = false;
  std::vector<Address> seeds;
  std::chrono::milliseconds heartbeat_expiry{3000};
  std::uint32_t backend_limit = 128;
  std::uint32_t slice_limit = 32;
  std::size_t decisions_kept = 8192;
};

// The layout and the catalogue in force, with their revisions.
struct Rules {
  Layout layout;
  Catalogue catalogue;
  Revision routing = 0;
  Revision catalogue_revision = 0;
};

// A backend that sends its heartbeats to this node.
struct LocalBackendState {
  BackendRecord record;
  Instant last_heartbeat{};
  std::uint32_t in_flight = 0;
  bool refused = false;  // a connection was refused since its last heartbeat
  bool probing = false;
};

template <Environment Env>
class NodeState {
 public:
  NodeState(Env& environment, ProxySettings initial_settings)
      : env(environment),
        settings(std::move(initial_settings)),
        incarnation(env.chance()()),
        lease_holder_id(settings.id + "#" + std::to_string(incarnation)),
        started(env.now()),
        follower(env, FollowerSettings{settings.id, settings.zone, settings.address, settings.gateway, settings.seeds,
                                       FeedTiming{}}) {}

  bool ready() const { return has_confirmed_values && has_view && !leaving; }

  // The zones that have a backend of the service, by this view.
  std::set<std::string> zones_offering(std::string const& service, Instant const now) const {
    std::set<std::string> zones;
    for (auto it = view.backends.lower_bound({service, ""});
         it != view.backends.end() && it->first.first == service && zones.empty(); ++it)
      if (is_backend_usable(it->second, now)) zones.insert(settings.zone);
    for (auto const& [name, c] : view.zones)
      if (name != settings.zone && !c.gateways.empty() &&
          std::find(c.service_names.begin(), c.service_names.end(), service) != c.service_names.end())
        zones.insert(name);
    return zones;
  }

  ZoneChoice choose(Rules const& rules, Index const service, std::uint32_t const slice) const {
    return choose_zones(rules.layout, rules.catalogue, settings.zone, service, slice,
                        [&] { return zones_offering(rules.layout.services[service].name, env.now()); });
  }

  bool is_backend_usable(BackendRecord const& b, Instant const now) const {
    if (broken_on_purpose("drain_unheard")) return view.is_usable_node(b.node);
    if (b.liveness != Liveness::alive || !view.is_usable_node(b.node)) return false;
    auto const d = drained_until.find({b.service, b.instance});
    if (d != drained_until.end() && now < d->second) return false;
    if (b.node == settings.id) {
      auto const l = local_backends.find({b.service, b.instance});
      return l != local_backends.end() && is_local_backend_usable(l->second, now);
    }
    return true;
  }

  bool is_local_backend_usable(LocalBackendState const& l, Instant const now) const {
    return (l.record.liveness == Liveness::alive || broken_on_purpose("drain_unheard")) && !l.refused &&
           now - l.last_heartbeat <= settings.heartbeat_expiry;
  }

  // The one backend of the zone that should hold the slice, by this view (rendezvous hashing).
  BackendRecord const* slice_owner(std::string const& service, std::uint32_t const slice, Instant const now) const {
    BackendRecord const* best = nullptr;
    std::uint64_t top = 0;
    for (auto it = view.backends.lower_bound({service, ""}); it != view.backends.end() && it->first.first == service;
         ++it) {
      if (!is_backend_usable(it->second, now)) continue;
      std::uint64_t const score = digest_of(it->second.instance + "/" + std::to_string(slice));
      if (best == nullptr || score > top) {
        best = &it->second;
        top = score;
      }
    }
    return best;
  }

  // Joins the registry again soon, to report changed backends or a changed state.
  void rejoin() {
    if (leaving)
      follower.leave();
    else
      follower.rejoin();
  }

  void record_error(std::string const& what, Error const& m) { recent_errors.note(env.now() - started, what, m); }

  Env& env;
  ProxySettings settings;
  std::uint64_t const incarnation;
  std::string const lease_holder_id;
  Instant const started;
  ZoneFollower<Env> follower;
  ZoneView const& view = follower.view();
  std::shared_ptr<Rules const> rules = std::make_shared<Rules>();
  std::map<std::pair<std::string, std::string>, LocalBackendState> local_backends;
  std::map<std::pair<std::string, std::string>, Instant> drained_until;
  // As the zone's follower last reported.
  std::vector<RegistryEntry> directory;
  std::uint32_t registry_count = 0;
  RecentErrors recent_errors;
  Instant leaving_since{};
  bool has_confirmed_values = false, has_view = false, leaving = false;
};

}  // namespace banktide
