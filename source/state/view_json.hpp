// A zone's view as JSON, for operators and the platform.
#pragma once

#include "protocol/json.hpp"
#include "state/zone_view.hpp"

namespace banktide {

inline char const* liveness_name(Liveness const s) {
  constexpr char const* names[] = {"fit", "suspected", "leaving", "dead"};
  return names[static_cast<std::size_t>(s) & 3];
}
inline char const* role_name(Role const r) {
  constexpr char const* names[] = {"node", "gateway", "registry"};
  return names[std::min<std::size_t>(static_cast<std::size_t>(r), 2)];
}

inline Json view_json(ZoneView const& v) {
  Json j = Json::object();
  j["members"] = Json::array();
  j["backends"] = Json::array();
  j["cells"] = Json::array();
  for (auto const& [id, m] : v.members)
    j["members"].push_back({{"id", m.id},
                            {"cell", m.zone},
                            {"address", m.address},
                            {"role", role_name(m.role)},
                            {"incarnation", m.incarnation},
                            {"standing", liveness_name(m.liveness)}});
  for (auto const& [key, b] : v.backends)
    j["backends"].push_back({{"service", b.service},
                             {"instance", b.instance},
                             {"node", b.node},
                             {"port", b.port},
                             {"burden", b.running},
                             {"standing", liveness_name(b.liveness)}});
  for (auto const& [name, entry] : v.zones) {
    Json gateways = Json::array();
    for (Member const& g : entry.gateways) gateways.push_back({{"id", g.id}, {"address", g.address}});
    j["cells"].push_back({{"cell", entry.zone}, {"gateways", gateways}, {"offers", entry.service_names}});
  }
  return j;
}

}  // namespace banktide
