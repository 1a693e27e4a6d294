// The documents that operators send: the routing layout (zones, services, path prefixes) and the
// catalogue (the services and key slices that each zone can serve). Both are validated in the same
// order: size, JSON without duplicate keys, schema, references. An error names the JSON pointer.
// Names of services and zones become dense indexes, which all code that selects targets uses.
#pragma once

#include "protocol/digest.hpp"
#include "protocol/json.hpp"
#include "protocol/messages.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <tsl/robin_map.h>

namespace banktide {

using Index = std::uint32_t;
inline constexpr Index no_index = std::numeric_limits<Index>::max();

class NameIndex {
 public:
  Index add(std::string const& name) {
    auto const [it, fresh] = at_.emplace(name, static_cast<Index>(names_.size()));
    if (fresh) names_.push_back(name);
    return it->second;
  }
  Index find(std::string const& name) const {
    auto const it = at_.find(name);
    return it == at_.end() ? no_index : it->second;
  }
  std::string const& name(Index const i) const { return names_[i]; }
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  tsl::robin_map<std::string, Index> at_;
};

struct Service {
  std::string name;
  std::chrono::milliseconds timeout{2000};
  std::vector<std::string> idempotent;
  std::string key_header;  // empty: not keyed
  std::uint32_t slices = 0;
  bool keyed() const { return slices > 0; }
  // Identifies the mapping of keys to slices. Leases of two mappings of one service never exist at
  // the same time, so a change of the mapping is as safe as a move.
  std::uint64_t mapping() const { return digest_of(key_header + "/" + std::to_string(slices)); }
  bool may_repeat(std::string const& method) const {
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
  }
  std::uint32_t slice_of(std::string_view const key) const;
};

inline std::uint32_t Service::slice_of(std::string_view const key) const {
  return static_cast<std::uint32_t>(digest_of(key) % slices);
}

struct PathRoute {
  std::string prefix;
  Index service = no_index;
};

class Layout {
 public:
  static constexpr char const* schema = R"({
    "type": "object", "additionalProperties": false, "required": ["cells", "services", "ways"],
    "properties": {
      "note": {"type": "string", "maxLength": 1000},
      "cells": {"type": "array", "minItems": 1, "maxItems": 64, "uniqueItems": true, "items": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"}},
      "services": {"type": "object", "maxProperties": 1000, "additionalProperties": false, "patternProperties": {"^[a-z0-9][a-z0-9._-]{0,62}$": {
        "type": "object", "additionalProperties": false,
        "properties": {
          "timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
          "idempotent": {"type": "array", "uniqueItems": true, "maxItems": 16, "items": {"type": "string", "pattern": "^[A-Z]{1,16}$"}},
          "key": {"type": "object", "additionalProperties": false, "required": ["header", "slices"],
            "properties": {"header": {"type": "string", "pattern": "^[A-Za-z0-9-]{1,64}$"}, "slices": {"type": "integer", "minimum": 1, "maximum": 1024}}}}}}},
      "ways": {"type": "array", "maxItems": 2000, "items": {"type": "object", "additionalProperties": false, "required": ["prefix", "service"],
        "properties": {"prefix": {"type": "string", "pattern": "^/[^?# ]{0,255}$"}, "service": {"type": "string"}}}}}})";

  static Result<Layout> read(std::string const& bytes) {
    Result<Json> j = parse_json(bytes);
    if (!j) return tl::unexpected<Error>(j.error());
    Result<bool> const fits = check_schema(*j, schema);
    if (!fits) return tl::unexpected<Error>(fits.error());
    Layout l;
    for (Json const& c : (*j)["cells"]) l.zones.add(c.get<std::string>());
    for (auto const& [name, s] : (*j)["services"].items()) {
      Service service;
      service.name = name;
      service.timeout = std::chrono::milliseconds(s.value("timeout_ms", 2000));
      service.idempotent = s.value("idempotent", std::vector<std::string>{"GET", "HEAD"});
      if (s.contains("key")) {
        service.key_header = s["key"]["header"].get<std::string>();
        service.slices = s["key"]["slices"].get<std::uint32_t>();
      }
      l.service_names.add(name);
      l.services.push_back(std::move(service));
    }
    std::set<std::string> prefixes;
    std::size_t index = 0;
    for (Json const& w : (*j)["ways"]) {
      std::string const pointer = "/ways/" + std::to_string(index++);
      PathRoute route{w["prefix"].get<std::string>(), l.service_names.find(w["service"].get<std::string>())};
      if (route.service == no_index)
        return make_error("check_references", pointer + "/service", "no such service", Proof::not_run);
      if (!prefixes.insert(route.prefix).second)
        return make_error("check_references", pointer + "/prefix", "duplicate prefix", Proof::not_run);
      l.path_routes.push_back(std::move(route));
    }
    std::sort(l.path_routes.begin(), l.path_routes.end(),
              [](PathRoute const& a, PathRoute const& b) { return a.prefix.size() > b.prefix.size(); });
    return l;
  }

  // Returns the service with the longest prefix of the path that ends at the end of a path segment.
  Index service_of_path(std::string const& target) const {
    std::string_view const path = std::string_view(target).substr(0, target.find('?'));
    for (PathRoute const& w : path_routes) {
      if (path.substr(0, w.prefix.size()) != w.prefix) continue;
      if (w.prefix.back() == '/' || path.size() == w.prefix.size() || path[w.prefix.size()] == '/') return w.service;
    }
    return no_index;
  }

  NameIndex zones;
  NameIndex service_names;
  std::vector<Service> services;
  std::vector<PathRoute> path_routes;
};

class Catalogue {
 public:
  static constexpr char const* schema = R"({
    "type": "object", "additionalProperties": false, "required": ["cells"],
    "properties": {
      "note": {"type": "string", "maxLength": 1000},
      "closed": {"type": "array", "uniqueItems": true, "maxItems": 1000, "items": {"type": "string"}},
      "cells": {"type": "object", "maxProperties": 64, "additionalProperties": {"type": "object", "maxProperties": 1000, "additionalProperties": {
        "type": "object", "additionalProperties": false,
        "properties": {"slices": {"type": "array", "maxItems": 1024, "items": {"type": "array", "minItems": 2, "maxItems": 2, "items": {"type": "integer", "minimum": 0, "maximum": 1023}}}}}}}}})";

  struct Entry {
    std::string zone;
    std::vector<bool> slices;  // empty: all
    bool serves(std::uint32_t const slice) const { return slices.empty() || (slice < slices.size() && slices[slice]); }
  };

  // Every name in an operator's catalogue must exist in the layout. A node whose layout is newer than
  // the catalogue reads it as `lenient`: names and slices that no longer exist are ignored.
  static Result<Catalogue> read(std::string const& bytes, Layout const& layout, bool const lenient = false) {
    Result<Json> j = parse_json(bytes);
    if (!j) return tl::unexpected<Error>(j.error());
    Result<bool> const fits = check_schema(*j, schema);
    if (!fits) return tl::unexpected<Error>(fits.error());
    Catalogue c;
    c.entries.resize(layout.services.size());
    c.closed.resize(layout.services.size(), false);
    std::size_t index = 0;
    for (Json const& name : j->value("closed", Json::array())) {
      Index const s = layout.service_names.find(name.get<std::string>());
      if (s == no_index && !lenient)
        return make_error("check_references", "/closed/" + std::to_string(index), "no such service", Proof::not_run);
      if (s != no_index) c.closed[s] = true;
      ++index;
    }
    for (auto const& [zone, services] : (*j)["cells"].items()) {
      bool const gone = layout.zones.find(zone) == no_index;
      if (gone && !lenient) return make_error("check_references", "/cells/" + zone, "no such cell", Proof::not_run);
      for (auto const& [name, e] : services.items()) {
        std::string const pointer = "/cells/" + zone + "/" + name;
        Index const s = layout.service_names.find(name);
        if (s == no_index && !lenient)
          return make_error("check_references", pointer, "no such service", Proof::not_run);
        if (s == no_index) continue;
        Service const& service = layout.services[s];
        Entry entry;
        entry.zone = zone;
        if (gone)
          entry.slices.assign(std::max<std::uint32_t>(service.slices, 1), false);
        else if (e.contains("slices") && !service.keyed() && !lenient)
          return make_error("check_references", pointer + "/slices", "service is not keyed", Proof::not_run);
        if (service.keyed() && !gone) {
          entry.slices.assign(service.slices, !e.contains("slices"));
          for (Json const& range : e.value("slices", Json::array())) {
            std::uint32_t const first = range[0].get<std::uint32_t>();
            std::uint32_t last = range[1].get<std::uint32_t>();
            if (lenient)
              last = std::min(last, service.slices - 1);
            else if (first > last || last >= service.slices)
              return make_error("check_references", pointer + "/slices",
                                "slice range outside 0.." + std::to_string(service.slices - 1), Proof::not_run);
            for (std::uint32_t i = first; i <= last; ++i) entry.slices[i] = true;
          }
          for (Entry const& other : c.entries[s])
            for (std::uint32_t i = 0; i < service.slices; ++i)
              if (entry.slices[i] && other.slices[i] && lenient)
                entry.slices[i] = false;
              else if (entry.slices[i] && other.slices[i])
                return make_error("check_references", pointer + "/slices",
                                  "slice " + std::to_string(i) + " is also in cell " + other.zone, Proof::not_run);
        }
        c.entries[s].push_back(std::move(entry));
      }
    }
    return c;
  }

  std::vector<std::vector<Entry>> entries;  // by service; empty: the catalogue doesn't mention it
  std::vector<bool> closed;
};

// The zones that a call may run in, before backends are considered; the own zone comes first.
// `refusal` has the reason if there is none.
struct ZoneChoice {
  bool in_own_zone = false;
  bool decided = false;                  // the zones are given by the catalogue or by the slice's home
  bool by_home = false;                  // by a home zone, as the catalogue doesn't mention the keyed service
  std::vector<std::string> other_zones;  // empty and not decided: any zone
  std::string refusal;
};

// `offering` returns the zones that have a backend of the service now. If the catalogue doesn't mention
// a keyed service, each slice has one home among them: the zone with the highest digest, so that all
// nodes that see the same zones agree. Leases ensure that a slice moves only after its old home has
// released it.
template <class ZonesOffering>
ZoneChoice choose_zones(Layout const& layout, Catalogue const& c, std::string const& own, Index const service,
                        std::uint32_t const slice, ZonesOffering offering) {
  ZoneChoice out;
  if (service < c.closed.size() && c.closed[service]) {
    out.refusal = "closed by the catalogue";
    return out;
  }
  if (service >= c.entries.size() || c.entries[service].empty()) {
    if (!layout.services[service].keyed()) {
      out.in_own_zone = true;
      return out;
    }
    std::string home;
    std::uint64_t top = 0;
    for (std::string const& zone : offering()) {
      std::uint64_t const score = digest_of(layout.services[service].name + "/" + std::to_string(slice) + "@" + zone);
      if (home.empty() || score > top) {
        home = zone;
        top = score;
      }
    }
    out.by_home = true;
    out.decided = true;
    if (home.empty())
      out.refusal = "no cell has a backend of the keyed service";
    else if (home == own)
      out.in_own_zone = true;
    else
      out.other_zones.push_back(home);
    return out;
  }
  out.decided = true;
  for (Catalogue::Entry const& e : c.entries[service]) {
    if (!e.serves(slice)) continue;
    if (e.zone == own)
      out.in_own_zone = true;
    else
      out.other_zones.push_back(e.zone);
  }
  if (!out.in_own_zone && out.other_zones.empty())
    out.refusal = layout.services[service].keyed() ? "no cell has the slice" : "no cell has the service";
  return out;
}

}  // namespace banktide
