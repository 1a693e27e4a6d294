// Reports where each slice of the keyed services is: the zone that should have it, the holder of its
// lease, the calls in flight and what a move still waits for. Built from the states that registries
// and nodes report.
#pragma once

#include "state/layout.hpp"

namespace banktide {

inline Json slice_moves(Json const& fleet, Layout const& layout, Catalogue const& catalogue) {
  std::map<std::string, std::set<std::string>> offering;  // by service
  std::map<Slice, std::vector<Json>> leases;
  std::map<Slice, Json> grants;
  std::map<std::string, std::set<std::uint64_t>> mappings;  // with leases, by service
  for (Json const& zone : fleet["cells"]) {
    for (Json const& g : zone.value("grants", Json::array())) grants[Slice{g["service"], g["mapping"], g["slice"]}] = g;
    for (Json const& node : zone["nodes"]) {
      for (Json const& b : node.value("local", Json::array()))
        if (b.value("standing", "") == "fit") offering[b["service"]].insert(zone["cell"].get<std::string>());
      for (Json const& l : node.value("leases", Json::array())) {
        Json lease = l;
        lease["node"] = node["node"];
        lease["cell"] = zone["cell"];
        leases[Slice{l["service"], l["mapping"], l["slice"]}].push_back(lease);
        mappings[l["service"]].insert(l["mapping"].get<std::uint64_t>());
      }
    }
  }
  Json out = Json::array();
  for (Index s = 0; s < layout.services.size(); ++s) {
    Service const& service = layout.services[s];
    for (std::uint32_t i = 0; i < service.slices; ++i) {
      ZoneChoice const choice = choose_zones(layout, catalogue, "", s, i, [&] { return offering[service.name]; });
      std::string const should = choice.other_zones.empty() ? "" : choice.other_zones.front();
      Json row = {{"service", service.name},
                  {"should", should},
                  {"by", choice.by_home ? "home" : "catalogue"},
                  {"in_flight", 0}};
      auto const held = leases.find(Slice{service.name, service.mapping(), i});
      auto const granted = grants.find(Slice{service.name, service.mapping(), i});
      bool const former = mappings[service.name].size() > mappings[service.name].count(service.mapping());
      if (held != leases.end()) {
        Json const& l = held->second.front();
        row["cell"] = l["cell"];
        row["node"] = l["node"];
        row["instance"] = l["instance"];
        row["in_flight"] = l["in_flight"];
        bool const there = l["cell"] == should && l["wanted"].get<bool>();
        row["state"] = there ? "held" : "emptying";
        if (!there)
          row["waits_for"] = l["in_flight"].get<int>() > 0
                                 ? std::to_string(l["in_flight"].get<int>()) + " calls in flight"
                                 : "calls of unknown outcome, or the node to release the lease";
      } else {
        row["state"] = choice.refusal.empty() ? "waiting" : "nowhere";
        if (!choice.refusal.empty())
          row["waits_for"] = choice.refusal;
        else if (!offering[service.name].contains(should))
          row["waits_for"] = "a backend of the service in " + should;
        else if (former)
          row["waits_for"] = "leases under the former mapping of its keys";
        else if (granted != grants.end())
          row["waits_for"] = "the lease of " + granted->second["holder"].get<std::string>();
        else
          row["waits_for"] = "its new holder's claim";
      }
      // Consecutive slices with equal content are reported as one row.
      row["slices"] = {i, i};
      if (!out.empty()) {
        Json last = out.back(), current = row;
        last.erase("slices");
        current.erase("slices");
        if (last == current && out.back()["slices"][1] == i - 1) {
          out.back()["slices"][1] = i;
          continue;
        }
      }
      out.push_back(row);
    }
  }
  return Json{{"slices", out}, {"silent", fleet.value("silent", Json::array())}};
}

}  // namespace banktide
