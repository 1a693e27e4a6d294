// Computes a placement of services and key slices on zones. The constraints come from a file: each
// zone's capacity, each service's burden, the least number of zones of a service, and pairs of
// services to keep apart. z3 solves them with the fewest moves from the current catalogue;
// constraints that can't be met together are named in the error.
#pragma once

#include "state/layout.hpp"

#include <z3++.h>

namespace banktide {

class Placement {
 public:
  static constexpr char const* schema = R"({
    "type": "object", "additionalProperties": false, "required": ["cells", "services"],
    "properties": {
      "cells": {"type": "object", "minProperties": 1, "maxProperties": 64, "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["capacity"],
        "properties": {"capacity": {"type": "integer", "minimum": 0, "maximum": 1000000000}}}},
      "services": {"type": "object", "minProperties": 1, "maxProperties": 1000, "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["burden"],
        "properties": {
          "burden": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "spread": {"type": "integer", "minimum": 1, "maximum": 64},
          "cells": {"type": "array", "minItems": 1, "uniqueItems": true, "items": {"type": "string"}}}}},
      "apart": {"type": "array", "maxItems": 1000, "items": {"type": "array", "minItems": 2, "maxItems": 2, "uniqueItems": true, "items": {"type": "string"}}}}})";

  // Returns the bytes of the new catalogue. `burden` is that of one slice for a keyed service, and that
  // of the whole service in each of its zones for another.
  static Result<std::string> solve(std::string const& constraints, Layout const& layout, std::string const& catalogue) {
    Result<Json> const want = parse_json(constraints);
    if (!want) return tl::unexpected<Error>(want.error());
    Result<bool> const fits = check_schema(*want, schema);
    if (!fits) return tl::unexpected<Error>(fits.error());
    Result<bool> const known = check_names(*want, layout);
    if (!known) return tl::unexpected<Error>(known.error());
    Result<Json> now = catalogue.empty() ? Result<Json>(Json{{"cells", Json::object()}}) : parse_json(catalogue);
    if (!now) return tl::unexpected<Error>(now.error());
    try {
      Placement p(*want, layout, *now);
      Result<bool> const met = p.find_placement();
      if (!met) return tl::unexpected<Error>(met.error());
      return p.catalogue().dump();
    } catch (z3::exception const& e) {
      return make_error("solve", "", e.msg(), Proof::not_run);
    }
  }

 private:
  struct Assignment {
    std::string service, zone;
    bool keyed = false;
    std::vector<std::uint32_t> current_slices;  // slices; a single 0 for a service without keys that is in the zone
    z3::expr n;                                 // the number of slices; 0 or 1 without keys
  };

  Placement(Json const& want, Layout const& layout, Json now)
      : want_(want), layout_(layout), now_(std::move(now)), constraints_(z_) {
    for (auto const& [service, w] : want_["services"].items())
      for (auto const& [zone, c] : want_["cells"].items()) {
        Service const& s = layout_.services[layout_.service_names.find(service)];
        Assignment p{service, zone, s.keyed(), {}, z_.int_const((service + "@" + zone).c_str())};
        Json const& zones = now_["cells"];
        if (zones.contains(zone) && zones[zone].contains(service)) {
          Json const all = s.keyed() ? Json{{0, s.slices - 1}} : Json{{0, 0}};
          for (Json const& range : zones[zone][service].value("slices", all))
            for (std::uint32_t i = range[0]; i <= range[1].get<std::uint32_t>(); ++i) p.current_slices.push_back(i);
        }
        assignments_.push_back(std::move(p));
      }
  }

  static Result<bool> check_names(Json const& want, Layout const& layout) {
    for (auto const& [zone, c] : want["cells"].items())
      if (layout.zones.find(zone) == no_index)
        return make_error("check_references", "/cells/" + zone, "no such cell", Proof::not_run);
    for (auto const& [service, w] : want["services"].items()) {
      if (layout.service_names.find(service) == no_index)
        return make_error("check_references", "/services/" + service, "no such service", Proof::not_run);
      for (Json const& zone : w.value("cells", Json::array()))
        if (!want["cells"].contains(zone.get<std::string>()))
          return make_error("check_references", "/services/" + service + "/cells", "names a cell that isn't in `cells`",
                            Proof::not_run);
    }
    std::size_t at = 0;
    for (Json const& pair : want.value("apart", Json::array())) {
      for (Json const& service : pair)
        if (!want["services"].contains(service.get<std::string>()))
          return make_error("check_references", "/apart/" + std::to_string(at),
                            "names a service that isn't in `services`", Proof::not_run);
      ++at;
    }
    return true;
  }

  void add_constraint(z3::expr const& e, std::string const& pointer) {
    constraints_.push_back(e);
    pointers_.push_back(pointer);
  }

  z3::expr number(std::uint64_t const n) { return z_.int_val(n); }

  void add_constraints() {
    for (auto const& [service, w] : want_["services"].items()) {
      Service const& s = layout_.services[layout_.service_names.find(service)];
      z3::expr sum = number(0), zones = number(0);
      for (Assignment const& p : assignments_) {
        if (p.service != service) continue;
        sum = sum + p.n;
        zones = zones + z3::ite(p.n > 0, number(1), number(0));
        Json const allowed = w.value("cells", Json::array());
        if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), Json(p.zone)) == allowed.end())
          add_constraint(p.n == 0, "/services/" + service + "/cells");
      }
      if (s.keyed()) add_constraint(sum == number(s.slices), "/services/" + service);
      add_constraint(zones >= number(w.value("spread", 1u)), "/services/" + service + "/spread");
    }
    for (auto const& [zone, c] : want_["cells"].items()) {
      z3::expr sum = number(0);
      for (Assignment const& p : assignments_)
        if (p.zone == zone) sum = sum + number(want_["services"][p.service]["burden"].get<std::uint64_t>()) * p.n;
      add_constraint(sum <= number(c["capacity"].get<std::uint64_t>()), "/cells/" + zone + "/capacity");
    }
    std::size_t at = 0;
    for (Json const& pair : want_.value("apart", Json::array())) {
      for (Assignment const& a : assignments_)
        for (Assignment const& b : assignments_)
          if (a.zone == b.zone && pair[0] == a.service && pair[1] == b.service)
            add_constraint(a.n == 0 || b.n == 0, "/apart/" + std::to_string(at));
      ++at;
    }
  }

  z3::expr bounds() {
    z3::expr all = z_.bool_val(true);
    for (Assignment const& p : assignments_) {
      std::uint32_t const most = p.keyed ? layout_.services[layout_.service_names.find(p.service)].slices : 1;
      all = all && p.n >= 0 && p.n <= number(most);
    }
    return all;
  }

  // Minimises the moves first, then the number of zones used.
  Result<bool> find_placement() {
    add_constraints();
    z3::optimize best(z_);
    z3::params limits(z_);
    limits.set("timeout", 20000u);
    best.set(limits);
    best.add(bounds());
    z3::expr moves = number(0), places = number(0);
    for (Assignment const& p : assignments_) {
      z3::expr const current_slices = number(p.current_slices.size());
      moves = moves + z3::ite(p.n > current_slices, p.n - current_slices, current_slices - p.n);
      places = places + z3::ite(p.n > 0, number(1), number(0));
    }
    for (z3::expr const& r : constraints_) best.add(r);
    best.minimize(moves);
    best.minimize(places);
    z3::check_result const r = best.check();
    if (r == z3::unsat) return report_conflict();
    if (r == z3::unknown) return make_error("solve", "", "no solution within 20 s", Proof::not_run);
    z3::model const m = best.get_model();
    for (Assignment const& p : assignments_)
      counts_.push_back(static_cast<std::size_t>(m.eval(p.n, true).get_numeral_int()));
    return true;
  }

  // Returns an error that names constraints that can't be met together.
  Result<bool> report_conflict() {
    z3::solver s(z_);
    s.add(bounds());
    for (std::size_t i = 0; i < pointers_.size(); ++i)
      s.add(constraints_[static_cast<int>(i)], ("r" + std::to_string(i)).c_str());
    s.check();
    std::set<std::string> names;
    z3::expr_vector const core = s.unsat_core();
    for (unsigned i = 0; i < core.size(); ++i)
      names.insert(pointers_[std::stoul(core[static_cast<int>(i)].decl().name().str().substr(1))]);
    std::string all;
    for (std::string const& n : names) all += (all.empty() ? "" : " ") + n;
    return make_error("solve", all, "these constraints can't be met together", Proof::not_run);
  }

  // Returns the current catalogue with the services of the file placed anew: each zone keeps as many
  // of its slices as it may, and the others go to zones with room.
  Json catalogue() const {
    Json out = now_;
    for (auto const& [service, w] : want_["services"].items()) {
      for (auto& [zone, services] : out["cells"].items()) services.erase(service);
      Service const& s = layout_.services[layout_.service_names.find(service)];
      std::vector<bool> free(std::max<std::uint32_t>(s.slices, 1), true);
      std::map<std::string, std::vector<std::uint32_t>> has;
      for (std::size_t i = 0; i < assignments_.size(); ++i)
        if (assignments_[i].service == service)
          for (std::uint32_t const slice : assignments_[i].current_slices)
            if (has[assignments_[i].zone].size() < counts_[i] && (free[slice] || !assignments_[i].keyed)) {
              has[assignments_[i].zone].push_back(slice);
              free[slice] = false;
            }
      for (std::size_t i = 0; i < assignments_.size(); ++i)
        for (std::uint32_t slice = 0;
             assignments_[i].service == service && has[assignments_[i].zone].size() < counts_[i] && slice < free.size();
             ++slice)
          if (free[slice] || !assignments_[i].keyed) {
            has[assignments_[i].zone].push_back(slice);
            free[slice] = false;
          }
      for (auto& [zone, slices] : has) {
        if (slices.empty()) continue;
        Json entry = Json::object();
        std::sort(slices.begin(), slices.end());
        for (std::size_t i = 0; s.keyed() && i < slices.size(); ++i) {
          Json& ranges = entry["slices"];
          if (!ranges.empty() && ranges.back()[1].get<std::uint32_t>() + 1 == slices[i])
            ranges.back()[1] = slices[i];
          else
            ranges.push_back({slices[i], slices[i]});
        }
        out["cells"][zone][service] = entry;
      }
    }
    return out;
  }

  Json const want_;
  Layout const& layout_;
  Json const now_;
  z3::context z_;
  z3::expr_vector constraints_;
  std::vector<std::string> pointers_;
  std::vector<Assignment> assignments_;
  std::vector<std::size_t> counts_;
};

}  // namespace banktide
