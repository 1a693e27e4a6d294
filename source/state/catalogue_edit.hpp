// Edits of a catalogue that are smaller than a whole new one: move slices of a keyed service to a
// zone, list the zones of a service, leave its placement to the mesh, close or open it. Each edit is
// applied to the newest catalogue within the register's update, so two operators' edits never undo
// each other. The result is validated like a catalogue that is sent whole.
#pragma once

#include "state/layout.hpp"

namespace banktide {

inline constexpr char const* catalogue_change_schema = R"({
  "type": "object", "additionalProperties": false, "required": ["change", "service"],
  "properties": {
    "change": {"type": "string", "enum": ["move", "place", "leave", "close", "open"]},
    "service": {"type": "string"},
    "slices": {"type": "array", "minItems": 2, "maxItems": 2, "items": {"type": "integer", "minimum": 0, "maximum": 1023}},
    "to": {"type": "string"},
    "cells": {"type": "array", "minItems": 1, "maxItems": 64, "uniqueItems": true, "items": {"type": "string"}}}})";

inline Result<std::string> edit_catalogue(std::string const& bytes, Json const& change, Layout const& layout) {
  Result<bool> const fits = check_schema(change, catalogue_change_schema);
  if (!fits) return tl::unexpected<Error>(fits.error());
  Json j = bytes.empty() ? Json{{"cells", Json::object()}} : Json::parse(bytes, nullptr, false);
  if (!j.is_object()) return make_error("edit", "", "the newest catalogue can't be read", Proof::not_run);
  std::string const what = change["change"], name = change["service"];
  Index const s = layout.service_names.find(name);
  if (s == no_index) return make_error("check_references", "/service", "no such service", Proof::not_run);
  Service const& service = layout.services[s];
  auto const needs = [&](char const* field) { return change.contains(field); };
  if (what == "move" && (!needs("slices") || !needs("to")))
    return make_error("check_schema", "/change", "`move` needs `slices` and `to`", Proof::not_run);
  if (what == "place" && !needs("cells"))
    return make_error("check_schema", "/change", "`place` needs `cells`", Proof::not_run);
  if (what == "move" && !service.keyed())
    return make_error("check_references", "/service", "service is not keyed", Proof::not_run);
  if (what == "place" && service.keyed())
    return make_error("check_references", "/service", "service is keyed: move its slices", Proof::not_run);
  if (what == "move") {
    std::uint32_t const first = change["slices"][0], last = change["slices"][1];
    if (first > last || last >= service.slices)
      return make_error("check_references", "/slices", "slice range outside 0.." + std::to_string(service.slices - 1),
                        Proof::not_run);
    if (layout.zones.find(change["to"]) == no_index)
      return make_error("check_references", "/to", "no such cell", Proof::not_run);
    std::map<std::string, std::vector<bool>> owned;
    for (auto const& [zone, services] : j["cells"].items()) {
      if (!services.contains(name)) continue;
      std::vector<bool>& has = owned[zone];
      has.assign(service.slices, !services[name].contains("slices"));
      for (Json const& range : services[name].value("slices", Json::array()))
        for (std::uint32_t i = range[0]; i <= range[1].get<std::uint32_t>() && i < service.slices; ++i) has[i] = true;
    }
    owned[change["to"]].resize(service.slices, false);
    for (auto& [zone, has] : owned)
      for (std::uint32_t i = first; i <= last; ++i) has[i] = zone == change["to"];
    for (auto const& [zone, has] : owned) {
      Json ranges = Json::array();
      for (std::uint32_t i = 0; i < service.slices; ++i) {
        if (!has[i]) continue;
        if (!ranges.empty() && ranges.back()[1].get<std::uint32_t>() + 1 == i)
          ranges.back()[1] = i;
        else
          ranges.push_back({i, i});
      }
      if (ranges.empty())
        j["cells"][zone].erase(name);
      else
        j["cells"][zone][name] = {{"slices", ranges}};
    }
  }
  if (what == "place" || what == "leave")
    for (auto& [zone, services] : j["cells"].items()) services.erase(name);
  if (what == "place")
    for (Json const& zone : change["cells"]) j["cells"][zone.get<std::string>()][name] = Json::object();
  if (what == "close" || what == "open") {
    std::set<std::string> closed;
    for (Json const& c : j.value("closed", Json::array())) closed.insert(c.get<std::string>());
    if (what == "close")
      closed.insert(name);
    else
      closed.erase(name);
    j["closed"] = closed;
  }
  std::string const out = j.dump();
  Result<Catalogue> const good = Catalogue::read(out, layout);
  if (!good) return tl::unexpected<Error>(good.error());
  return out;
}

}  // namespace banktide
