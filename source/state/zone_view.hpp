// The known state of one zone, built by applying changes in order: its members, its backends, and
// the other zones, of which only the gateways and offers are known.
#pragma once

#include "protocol/messages.hpp"
#include "state/zone_entry_delta.hpp"

#include <map>
#include <string>

namespace banktide {

class ZoneView {
 public:
  std::map<std::string, Member> members;
  std::map<std::pair<std::string, std::string>, BackendRecord> backends;
  std::map<std::string, ZoneEntry> zones;

  /// Incremented whenever a member joins, leaves or changes its role or liveness.
  std::uint64_t membership_version() const { return membership_version_; }

  void apply(Change const& c) {
    if (c.member) {
      auto const known = members.find(c.member->id);
      bool const dead = c.member->liveness == Liveness::dead;
      if (known == members.end() ? !dead : dead || changes_role_or_liveness(known->second, *c.member))
        ++membership_version_;
      if (dead) {
        members.erase(c.member->id);
        std::erase_if(backends, [&](auto const& b) { return b.second.node == c.member->id; });
      } else {
        members[c.member->id] = *c.member;
      }
    }
    if (c.backend) {
      std::pair<std::string, std::string> const key{c.backend->service, c.backend->instance};
      if (c.backend->liveness == Liveness::dead)
        backends.erase(key);
      else
        backends[key] = *c.backend;
    }
    if (c.zone_entry) zones[c.zone_entry->zone] = *c.zone_entry;
    if (c.entry_delta) apply_delta(*c.entry_delta);
  }

  void replace(Snapshot const& s) {
    ++membership_version_;
    members.clear();
    backends.clear();
    zones.clear();
    for (Member const& m : s.members) members[m.id] = m;
    for (BackendRecord const& b : s.backends) backends[{b.service, b.instance}] = b;
    for (ZoneEntry const& z : s.zones) zones[z.zone] = z;
  }

  Snapshot snapshot(Position const at) const {
    Snapshot s;
    s.at = at;
    for (auto const& [id, m] : members) s.members.push_back(m);
    for (auto const& [key, b] : backends) s.backends.push_back(b);
    for (auto const& [name, c] : zones) s.zones.push_back(c);
    return s;
  }

  bool is_usable_node(std::string const& id) const {
    auto const it = members.find(id);
    return it != members.end() && it->second.liveness == Liveness::alive;
  }

 private:
  static bool changes_role_or_liveness(Member const& before, Member const& after) {
    return before.role != after.role || before.liveness != after.liveness;
  }
  void apply_delta(ZoneEntryDelta const& delta) {
    auto const known = zones.find(delta.zone);
    if (known != zones.end()) apply_entry_delta(known->second, delta);
  }

  std::uint64_t membership_version_ = 0;
};

}  // namespace banktide
