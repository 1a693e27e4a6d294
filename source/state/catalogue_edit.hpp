// Changes to a catalogue, smaller than a whole new one: move slices of a keyed
// service to a cell, say in which cells a service is, leave it to the mesh, close
// it, open it. Each is made from the newest catalogue inside the register's own
// step, so two operators' changes never undo each other. The result goes through
// the same door as a catalogue sent whole.
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
  if (!fits) return tl::unexpected<Mishap>(fits.error());
  Json j = bytes.empty() ? Json{{"cells", Json::object()}} : Json::parse(bytes, nullptr, false);
  if (!j.is_object()) return mishap("edit", "", "the newest catalogue can't be read", Proof::not_run);
  std::string const what = change["change"], name = change["service"];
  Index const s = layout.service_names.find(name);
  if (s == no_index) return mishap("check_references", "/service", "no such service", Proof::not_run);
  Service const& service = layout.services[s];
  auto const needs = [&](char const* field) { return change.contains(field); };
  if (what == "move" && (!needs("slices") || !needs("to")))
    return mishap("check_schema", "/change", "a move needs slices and to", Proof::not_run);
  if (what == "place" && !needs("cells"))
    return mishap("check_schema", "/change", "a place needs cells", Proof::not_run);
  if (what == "move" && !service.keyed())
    return mishap("check_references", "/service", "service is not keyed", Proof::not_run);
  if (what == "place" && service.keyed())
    return mishap("check_references", "/service", "service is keyed: move its slices", Proof::not_run);
  if (what == "move") {
    std::uint32_t const first = change["slices"][0], last = change["slices"][1];
    if (first > last || last >= service.slices)
      return mishap("check_references", "/slices", "slice range outside 0.." + std::to_string(service.slices - 1),
                    Proof::not_run);
    if (layout.cells.find(change["to"]) == no_index)
      return mishap("check_references", "/to", "no such cell", Proof::not_run);
    std::map<std::string, std::vector<bool>> owned;
    for (auto const& [cell, services] : j["cells"].items()) {
      if (!services.contains(name)) continue;
      std::vector<bool>& has = owned[cell];
      has.assign(service.slices, !services[name].contains("slices"));
      for (Json const& range : services[name].value("slices", Json::array()))
        for (std::uint32_t i = range[0]; i <= range[1].get<std::uint32_t>() && i < service.slices; ++i) has[i] = true;
    }
    owned[change["to"]].resize(service.slices, false);
    for (auto& [cell, has] : owned)
      for (std::uint32_t i = first; i <= last; ++i) has[i] = cell == change["to"];
    for (auto const& [cell, has] : owned) {
      Json ranges = Json::array();
      for (std::uint32_t i = 0; i < service.slices; ++i) {
        if (!has[i]) continue;
        if (!ranges.empty() && ranges.back()[1].get<std::uint32_t>() + 1 == i)
          ranges.back()[1] = i;
        else
          ranges.push_back({i, i});
      }
      if (ranges.empty())
        j["cells"][cell].erase(name);
      else
        j["cells"][cell][name] = {{"slices", ranges}};
    }
  }
  if (what == "place" || what == "leave")
    for (auto& [cell, services] : j["cells"].items()) services.erase(name);
  if (what == "place")
    for (Json const& cell : change["cells"]) j["cells"][cell.get<std::string>()][name] = Json::object();
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
  if (!good) return tl::unexpected<Mishap>(good.error());
  return out;
}

}  // namespace banktide

#ifdef TESTS_OF_CATALOGUE_EDIT
#include <random>
namespace banktide {
TEST(CatalogueEdit, moves_agree_with_a_plain_table_of_who_has_which_slice) {
  Layout const l = *Layout::read(
      R"({"cells":["a","b","c"],"services":{"pay":{"key":{"header":"x-key","slices":16}},"browse":{}},"ways":[]})");
  Index const pay = l.service_names.find("pay");
  std::vector<std::string> table(16);
  std::string bytes;
  std::mt19937_64 r(9);
  auto const nowhere = [] { return std::set<std::string>{}; };
  for (int i = 0; i < 300; ++i) {
    std::uint32_t const first = static_cast<std::uint32_t>(r() % 16),
                        last = first + static_cast<std::uint32_t>(r() % (16 - first));
    std::string const to(1, static_cast<char>('a' + r() % 3));
    Result<std::string> const next =
        edit_catalogue(bytes, Json{{"change", "move"}, {"service", "pay"}, {"slices", {first, last}}, {"to", to}}, l);
    ASSERT_TRUE(next);
    bytes = *next;
    for (std::uint32_t k = first; k <= last; ++k) table[k] = to;
    Catalogue const c = *Catalogue::read(bytes, l);
    for (std::uint32_t k = 0; k < 16; ++k)
      for (std::string const cell : {"a", "b", "c"})
        ASSERT_EQ(choose_cells(l, c, cell, pay, k, nowhere).stay, table[k] == cell) << bytes;
  }
}

TEST(CatalogueEdit, a_change_that_names_what_is_not_there_is_refused_with_its_pointer) {
  Layout const l = *Layout::read(
      R"({"cells":["a","b"],"services":{"pay":{"key":{"header":"x-key","slices":16}},"browse":{}},"ways":[]})");
  struct Bad {
    std::string change, pointer;
  };
  for (Bad const& b :
       {Bad{R"({"change":"move","service":"pay","slices":[0,16],"to":"a"})", "/slices"},
        Bad{R"({"change":"move","service":"pay","slices":[0,1],"to":"z"})", "/to"},
        Bad{R"({"change":"move","service":"browse","slices":[0,1],"to":"a"})", "/service"},
        Bad{R"({"change":"close","service":"nobody"})", "/service"},
        Bad{R"({"change":"move","service":"pay"})", "/change"}, Bad{R"({"change":"burn","service":"pay"})", "/change"},
        Bad{R"({"change":"place","service":"browse","cells":["z"]})", "/cells/z"}}) {
    Result<std::string> const r = edit_catalogue("", Json::parse(b.change), l);
    ASSERT_FALSE(r) << b.change;
    EXPECT_EQ(r.error().peer, b.pointer) << b.change;
  }
  std::string const closed = *edit_catalogue("", Json::parse(R"({"change":"close","service":"browse"})"), l);
  EXPECT_EQ(Json::parse(closed)["closed"], Json::array({"browse"}));
  EXPECT_EQ(Json::parse(*edit_catalogue(closed, Json::parse(R"({"change":"open","service":"browse"})"), l))["closed"],
            Json::array());
}
}  // namespace banktide
#endif
