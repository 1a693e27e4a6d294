// What operators give: the routing layout (cells, services, ways) and the
// catalogue (which services and key slices each cell can serve). Both are read
// through one door: size, JSON with no key twice, schema, then references.
// A refusal names the JSON pointer. Service and cell names become dense indices
// here and stay so in everything that picks.
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
  // How keys come to slices. Two mappings of one service never hold leases at
  // the same time, so a change of it is as safe as a move.
  std::uint64_t mapping() const { return digest_of(key_header + "/" + std::to_string(slices)); }
  bool may_repeat(std::string const& method) const {
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
  }
  std::uint32_t slice_of(std::string_view const key) const;
};

inline std::uint32_t Service::slice_of(std::string_view const key) const {
  return static_cast<std::uint32_t>(digest_of(key) % slices);
}

struct Way {
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
    if (!j) return tl::unexpected<Mishap>(j.error());
    Result<bool> const fits = check_schema(*j, schema);
    if (!fits) return tl::unexpected<Mishap>(fits.error());
    Layout l;
    for (Json const& c : (*j)["cells"]) l.cells.add(c.get<std::string>());
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
    std::size_t at = 0;
    for (Json const& w : (*j)["ways"]) {
      std::string const pointer = "/ways/" + std::to_string(at++);
      Way way{w["prefix"].get<std::string>(), l.service_names.find(w["service"].get<std::string>())};
      if (way.service == no_index)
        return mishap("check_references", pointer + "/service", "no such service", Proof::not_run);
      if (!prefixes.insert(way.prefix).second)
        return mishap("check_references", pointer + "/prefix", "prefix stands twice", Proof::not_run);
      l.ways.push_back(std::move(way));
    }
    std::sort(l.ways.begin(), l.ways.end(),
              [](Way const& a, Way const& b) { return a.prefix.size() > b.prefix.size(); });
    return l;
  }

  // The longest prefix that ends at a path segment's end.
  Index way_of(std::string const& target) const {
    std::string_view const path = std::string_view(target).substr(0, target.find('?'));
    for (Way const& w : ways) {
      if (path.substr(0, w.prefix.size()) != w.prefix) continue;
      if (w.prefix.back() == '/' || path.size() == w.prefix.size() || path[w.prefix.size()] == '/') return w.service;
    }
    return no_index;
  }

  NameIndex cells;
  NameIndex service_names;
  std::vector<Service> services;
  std::vector<Way> ways;
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
    std::string cell;
    std::vector<bool> slices;  // empty: all
    bool serves(std::uint32_t const slice) const { return slices.empty() || (slice < slices.size() && slices[slice]); }
  };

  // An operator's catalogue is checked against the routing revision to the last
  // name. A node that has a newer routing revision than the catalogue was made
  // for passes over the names and slices that are gone, and nothing else.
  static Result<Catalogue> read(std::string const& bytes, Layout const& layout, bool const forgiving = false) {
    Result<Json> j = parse_json(bytes);
    if (!j) return tl::unexpected<Mishap>(j.error());
    Result<bool> const fits = check_schema(*j, schema);
    if (!fits) return tl::unexpected<Mishap>(fits.error());
    Catalogue c;
    c.entries.resize(layout.services.size());
    c.closed.resize(layout.services.size(), false);
    std::size_t at = 0;
    for (Json const& name : j->value("closed", Json::array())) {
      Index const s = layout.service_names.find(name.get<std::string>());
      if (s == no_index && !forgiving)
        return mishap("check_references", "/closed/" + std::to_string(at), "no such service", Proof::not_run);
      if (s != no_index) c.closed[s] = true;
      ++at;
    }
    for (auto const& [cell, services] : (*j)["cells"].items()) {
      bool const gone = layout.cells.find(cell) == no_index;
      if (gone && !forgiving) return mishap("check_references", "/cells/" + cell, "no such cell", Proof::not_run);
      for (auto const& [name, e] : services.items()) {
        std::string const pointer = "/cells/" + cell + "/" + name;
        Index const s = layout.service_names.find(name);
        if (s == no_index && !forgiving) return mishap("check_references", pointer, "no such service", Proof::not_run);
        if (s == no_index) continue;
        Service const& service = layout.services[s];
        Entry entry;
        entry.cell = cell;
        if (gone)
          entry.slices.assign(std::max<std::uint32_t>(service.slices, 1), false);
        else if (e.contains("slices") && !service.keyed() && !forgiving)
          return mishap("check_references", pointer + "/slices", "service is not keyed", Proof::not_run);
        if (service.keyed() && !gone) {
          entry.slices.assign(service.slices, !e.contains("slices"));
          for (Json const& range : e.value("slices", Json::array())) {
            std::uint32_t const first = range[0].get<std::uint32_t>();
            std::uint32_t last = range[1].get<std::uint32_t>();
            if (forgiving)
              last = std::min(last, service.slices - 1);
            else if (first > last || last >= service.slices)
              return mishap("check_references", pointer + "/slices",
                            "slice range outside 0.." + std::to_string(service.slices - 1), Proof::not_run);
            for (std::uint32_t i = first; i <= last; ++i) entry.slices[i] = true;
          }
          for (Entry const& other : c.entries[s])
            for (std::uint32_t i = 0; i < service.slices; ++i)
              if (entry.slices[i] && other.slices[i] && forgiving)
                entry.slices[i] = false;
              else if (entry.slices[i] && other.slices[i])
                return mishap("check_references", pointer + "/slices",
                              "slice " + std::to_string(i) + " is also in cell " + other.cell, Proof::not_run);
        }
        c.entries[s].push_back(std::move(entry));
      }
    }
    return c;
  }

  std::vector<std::vector<Entry>> entries;  // by service; none: the catalogue is silent
  std::vector<bool> closed;
};

// What a call may do, before anything is known of backends: the cells it may
// run in, own first. `dropped` has the reason where there is none.
struct Choice {
  bool stay = false;
  bool settled = false;             // by the catalogue, or by the slice's home
  bool home = false;                // the catalogue is silent on a keyed service
  std::vector<std::string> others;  // empty and not settled: any cell
  std::string dropped;
};

// `offering` tells the cells that have a backend of the service now. Where the
// catalogue is silent on a keyed service, each slice has one home among them,
// the one with the highest digest, so that all who see the same cells agree;
// the leases see to it that it moves only when the old home has let go.
template <class Offering>
Choice choose_cells(Layout const& layout, Catalogue const& c, std::string const& own, Index const service,
                    std::uint32_t const slice, Offering offering) {
  Choice out;
  if (service < c.closed.size() && c.closed[service]) {
    out.dropped = "closed by the catalogue";
    return out;
  }
  if (service >= c.entries.size() || c.entries[service].empty()) {
    if (!layout.services[service].keyed()) {
      out.stay = true;
      return out;
    }
    std::string home;
    std::uint64_t top = 0;
    for (std::string const& cell : offering()) {
      std::uint64_t const score = digest_of(layout.services[service].name + "/" + std::to_string(slice) + "@" + cell);
      if (home.empty() || score > top) {
        home = cell;
        top = score;
      }
    }
    out.home = true;
    out.settled = true;
    if (home.empty())
      out.dropped = "no cell has a backend of the keyed service";
    else if (home == own)
      out.stay = true;
    else
      out.others.push_back(home);
    return out;
  }
  out.settled = true;
  for (Catalogue::Entry const& e : c.entries[service]) {
    if (!e.serves(slice)) continue;
    if (e.cell == own)
      out.stay = true;
    else
      out.others.push_back(e.cell);
  }
  if (!out.stay && out.others.empty())
    out.dropped = layout.services[service].keyed() ? "no cell has the slice" : "no cell has the service";
  return out;
}

}  // namespace banktide

#ifdef TESTS_OF_LAYOUT
#include <random>
namespace banktide {
inline std::string const sample_layout =
    R"({"cells":["a","b"],"services":{"pay":{"key":{"header":"x-key","slices":8},"idempotent":["GET"]},"browse":{}},"ways":[{"prefix":"/pay","service":"pay"},{"prefix":"/","service":"browse"}]})";

TEST(Layout, bad_revisions_are_refused_with_the_pointer_and_good_ones_are_not) {
  EXPECT_TRUE(Layout::read(sample_layout));
  struct Bad {
    std::string text, step, pointer;
  };
  for (Bad const& b :
       {Bad{"{", "parse_json", ""}, Bad{R"({"cells":["a"],"cells":["b"],"services":{},"ways":[]})", "parse_json", ""},
        Bad{R"({"cells":["a"],"services":{},"ways":[],"x":1})", "check_schema", ""},
        Bad{R"({"cells":["a"],"services":{"s":{"timeout_ms":1}},"ways":[]})", "check_schema", "/services/s/timeout_ms"},
        Bad{R"({"cells":["a"],"services":{},"ways":[{"prefix":"/x","service":"y"}]})", "check_references",
            "/ways/0/service"},
        Bad{std::string(layout_limit + 1, ' '), "check_size", ""}, Bad{std::string(100, '['), "parse_json", ""}}) {
    Result<Layout> const l = Layout::read(b.text);
    ASSERT_FALSE(l) << b.text;
    EXPECT_EQ(l.error().step, b.step) << b.text;
    EXPECT_EQ(l.error().peer, b.pointer) << l.error().reason;
  }
  Layout const l = *Layout::read(sample_layout);
  EXPECT_EQ(l.services[l.way_of("/pay/1?x=/")].name, "pay");
  EXPECT_EQ(l.services[l.way_of("/payment")].name, "browse");
}

TEST(Catalogue, overlapping_slices_and_unknown_names_are_refused_and_calls_are_placed) {
  Layout const l = *Layout::read(sample_layout);
  for (std::string const bad :
       {R"({"cells":{"c":{}}})", R"({"cells":{"a":{"nope":{}}}})",
        R"({"cells":{"a":{"pay":{"slices":[[0,4]]}},"b":{"pay":{"slices":[[4,7]]}}}})",
        R"({"cells":{"a":{"pay":{"slices":[[0,8]]}}}})", R"({"cells":{"a":{"browse":{"slices":[[0,1]]}}}})",
        R"({"cells":{},"closed":["nope"]})"})
    EXPECT_FALSE(Catalogue::read(bad, l)) << bad;
  auto const nowhere = [] { return std::set<std::string>{}; };
  Catalogue const c =
      *Catalogue::read(R"({"cells":{"a":{"pay":{"slices":[[0,3]]}},"b":{"pay":{"slices":[[4,6]]}}}})", l);
  Index const pay = l.service_names.find("pay"), browse = l.service_names.find("browse");
  EXPECT_TRUE(choose_cells(l, c, "a", pay, 1, nowhere).stay);
  EXPECT_EQ(choose_cells(l, c, "a", pay, 5, nowhere).others, std::vector<std::string>{"b"});
  EXPECT_FALSE(choose_cells(l, c, "a", pay, 5, nowhere).stay);
  EXPECT_EQ(choose_cells(l, c, "a", pay, 7, nowhere).dropped, "no cell has the slice");
  EXPECT_TRUE(choose_cells(l, c, "a", browse, 0, nowhere).stay);
  EXPECT_TRUE(choose_cells(l, *Catalogue::read(R"({"cells":{},"closed":["browse"]})", l), "a", browse, 0, nowhere)
                  .dropped.size());
}

TEST(Catalogue, what_a_newer_routing_revision_dropped_is_passed_over_and_the_rest_holds) {
  Layout const l = *Layout::read(sample_layout);
  std::string const old =
      R"({"cells":{"a":{"pay":{"slices":[[0,3]]},"gone":{}},"b":{"pay":{"slices":[[4,20]]}},"lost":{"pay":{"slices":[[0,0]]},"browse":{}}},"closed":["gone"]})";
  EXPECT_EQ(Catalogue::read(old, l).error().step, "check_references");
  Catalogue const c = *Catalogue::read(old, l, true);
  auto const nowhere = [] { return std::set<std::string>{}; };
  Index const pay = l.service_names.find("pay"), browse = l.service_names.find("browse");
  EXPECT_TRUE(choose_cells(l, c, "a", pay, 0, nowhere).stay);
  EXPECT_EQ(choose_cells(l, c, "a", pay, 7, nowhere).others, std::vector<std::string>{"b"});
  EXPECT_EQ(choose_cells(l, c, "a", browse, 0, nowhere).dropped, "no cell has the service");
}

// Any bytes are refused with a step, or read into something whole.
TEST(Layout, spoilt_revisions_are_refused_with_a_step_or_read_into_something_whole) {
  std::string const catalogue =
      R"({"cells":{"a":{"pay":{"slices":[[0,3]]}},"b":{"pay":{"slices":[[4,7]]},"browse":{}}},"closed":[]})";
  std::vector<std::string> const pieces{"{",  "}",    "[",   "]",  ",",    ":",      "\"",    "null",
                                        "-1", "1e9",  "0",   "\\", "\xff", "true",   "\"a\"", "7",
                                        "8",  "1024", "pay", "b",  "{}",   "[[0,7]]"};
  Layout const whole = *Layout::read(sample_layout);
  std::mt19937_64 r(3);
  std::size_t refused = 0, taken = 0;
  for (int i = 0; i < 20000; ++i) {
    bool const routing = r() % 2 == 0;
    std::string s = routing ? sample_layout : catalogue;
    for (std::uint64_t n = 1 + r() % 3; n > 0; --n) {
      std::size_t const at = r() % s.size(), len = std::min<std::size_t>(r() % 6, s.size() - at);
      s.replace(at, len, r() % 4 == 0 ? std::string(1, static_cast<char>(r())) : pieces[r() % pieces.size()]);
    }
    if (routing) {
      Result<Layout> const l = Layout::read(s);
      (l ? taken : refused) += 1;
      if (!l) {
        ASSERT_FALSE(l.error().step.empty()) << s;
        continue;
      }
      ASSERT_EQ(l->services.size(), l->service_names.size()) << s;
      for (Way const& w : l->ways) ASSERT_LT(w.service, l->services.size()) << s;
      for (Service const& v : l->services) ASSERT_LE(v.slices, 1024u) << s;
      ASSERT_TRUE(Catalogue::read(catalogue, *l, true)) << s;
    } else {
      Result<Catalogue> const c = Catalogue::read(s, whole);
      (c ? taken : refused) += 1;
      if (!c) {
        ASSERT_FALSE(c.error().step.empty()) << s;
        Catalogue::read(s, whole, true);
        continue;
      }
      for (Index v = 0; v < whole.services.size(); ++v)
        for (std::uint32_t slice = 0; slice < whole.services[v].slices; ++slice) {
          int cells = 0;
          for (Catalogue::Entry const& e : c->entries[v]) cells += e.serves(slice);
          ASSERT_LE(cells, 1) << s;
        }
    }
  }
  EXPECT_GT(refused, 10000u);
  EXPECT_GT(taken, 100u);
}

TEST(Catalogue, a_slice_it_is_silent_on_has_one_home_that_all_agree_on) {
  Layout const l = *Layout::read(sample_layout);
  Index const pay = l.service_names.find("pay");
  std::set<std::string> const both{"a", "b"};
  std::size_t at_a = 0;
  for (std::uint32_t slice = 0; slice < 8; ++slice) {
    Choice const a = choose_cells(l, Catalogue{}, "a", pay, slice, [&] { return both; }),
                 b = choose_cells(l, Catalogue{}, "b", pay, slice, [&] { return both; });
    EXPECT_NE(a.stay, b.stay);
    EXPECT_EQ((a.stay ? b : a).others, std::vector<std::string>{a.stay ? "a" : "b"});
    at_a += a.stay;
  }
  EXPECT_GT(at_a, 0u);
  EXPECT_LT(at_a, 8u);
  EXPECT_FALSE(choose_cells(l, Catalogue{}, "a", pay, 0, [] { return std::set<std::string>{}; }).dropped.empty());
}
}  // namespace banktide
#endif
