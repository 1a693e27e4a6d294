// Connects a proxy's NodeState to its ZoneFollower: reports the node's backends to the registry and builds the rules
// from the routing and catalogue values in force.
#pragma once

#include "coordination/node_state.hpp"

namespace banktide {

template <Environment Env>
class ProxyZoneFollower {
 public:
  explicit ProxyZoneFollower(NodeState<Env>& n) : n_(n) {
    FollowerEvents events;
    events.backends = [this] { return backends(); };
    events.value = [this](Register, RegisterValue const&) { take_layouts(); };
    events.status_changed = [this] { take_status(); };
    n_.follower.set_events(std::move(events));
  }

  void start(Dispatcher& dispatcher) { n_.follower.start(dispatcher); }

  Position position() const { return n_.follower.position(); }

 private:
  static constexpr std::uint32_t burden_step = 4;  // so that not every call changes the reported load

  std::vector<BackendRecord> backends() const {
    std::vector<BackendRecord> all;
    for (auto const& [key, l] : n_.local_backends) {
      if (n_.env.now() - l.last_heartbeat > n_.settings.heartbeat_expiry || l.refused) continue;
      all.push_back(l.record);
      all.back().running = l.record.running / burden_step * burden_step;
    }
    return all;
  }

  void take_status() {
    n_.directory = n_.follower.directory();
    n_.registry_count = n_.follower.registry_count();
    n_.has_confirmed_values = n_.follower.has_confirmed_values();
    n_.has_view = n_.follower.has_view();
  }

  // Several values may have arrived at once; the first of their events handles all of them.
  void take_layouts() {
    RegisterValue const& routing = n_.follower.held(Register::routing);
    RegisterValue const& catalogue = n_.follower.held(Register::catalogue);
    std::pair<Revision, Revision> const now{routing.revision, catalogue.revision};
    if (now == taken_) return;
    taken_ = now;
    std::shared_ptr<Rules> next = std::make_shared<Rules>();
    if (routing.revision > 0) {
      Result<Layout> l = Layout::read(routing.bytes);
      if (!l) {
        n_.record_error("layout", l.error());
        return;
      }
      next->layout = std::move(*l);
      next->routing = routing.revision;
    }
    if (catalogue.revision > 0) {
      Result<Catalogue> c = Catalogue::read(catalogue.bytes, next->layout, true);
      if (c)
        next->catalogue = std::move(*c);
      else
        n_.record_error("catalogue", c.error());
      next->catalogue_revision = catalogue.revision;
    }
    put_in_force(std::move(next));
  }

  void put_in_force(std::shared_ptr<Rules const> const next) {
    bool const back = broken_on_purpose("slips_back") && next->routing % 7 == 0;
    std::shared_ptr<Rules const> const former = std::exchange(older_, n_.rules);
    n_.rules = back ? former : next;
    log_info("in_force", {{"routing", std::to_string(next->routing)},
                          {"catalogue", std::to_string(next->catalogue_revision)},
                          {"at_ms", std::to_string(as_ms(n_.env.now().time_since_epoch()))}});
  }

  NodeState<Env>& n_;
  std::shared_ptr<Rules const> older_ = std::make_shared<Rules>();
  std::pair<Revision, Revision> taken_{0, 0};
};

}  // namespace banktide
