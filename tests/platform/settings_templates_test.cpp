// The settings templates produce JSON that the programs can read, whichever fields are absent.
#include "platform/timing_bounds_reader.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace banktide::platform {

namespace {

using Json = nlohmann::ordered_json;

/// The values of `{{.}}`, `{{@}}` and `{{,}}` inside a section.
struct Entry {
  Json const* value = nullptr;
  std::string key;
  bool last = false;
};

Json const* step(Json const* const value, std::string const& name) {
  if (value->is_object()) {
    auto const found = value->find(name);
    return found == value->end() ? nullptr : &*found;
  }
  bool const is_index = !name.empty() && name.find_first_not_of("0123456789") == std::string::npos;
  if (!value->is_array() || !is_index || std::stoul(name) >= value->size()) return nullptr;
  return &(*value)[std::stoul(name)];
}

Json const* resolve(Json const* value, std::string const& path) {
  for (std::size_t begin = 0; value != nullptr && begin <= path.size();) {
    std::size_t const dot = std::min(path.find('.', begin), path.size());
    value = step(value, path.substr(begin, dot - begin));
    begin = dot + 1;
  }
  return value;
}

class TemplateExpander {
 public:
  TemplateExpander(std::string const& text, Json const& fields) : text_(text), fields_(fields) {}

  /// Fills from `position` to the end tag of the section, or to the end of the text; advances `position` to there.
  std::string fill(std::size_t& position, std::string const& section, bool const visible) {
    std::string out;
    while (true) {
      std::size_t const open = text_.find("{{", position);
      if (open == std::string::npos) {
        if (!section.empty()) throw std::runtime_error("section " + section + " is not closed");
        return out + text_.substr(position);
      }
      out += text_.substr(position, open - position);
      std::size_t const close = text_.find("}}", open);
      std::string const tag = text_.substr(open + 2, close - open - 2);
      position = close + 2;
      if (tag[0] == '/') {
        if (tag.substr(1) != section) throw std::runtime_error(tag + " closes section " + section);
        return out;
      }
      if (tag[0] == '#' || tag[0] == '^')
        out += fill_section(position, tag[0], tag.substr(1), visible);
      else if (visible)
        out += value_of(tag);
    }
  }

 private:
  std::string fill_section(std::size_t& position, char const sign, std::string const& name, bool const visible) {
    Json const* const value = look_up(name);
    bool const given = value != nullptr && !value->is_null() && *value != false &&
                       !((value->is_array() || value->is_object()) && value->empty());
    std::size_t const begin = position;
    bool const per_entry = given && value->is_structured();
    bool const shown = visible && (sign == '#') == given;
    if (!shown || !per_entry) return visible_part(position, name, shown);
    std::string out;
    std::size_t index = 0;
    for (auto const& [key, item] : value->items()) {
      position = begin;
      entries_.push_back({&item, key, ++index == value->size()});
      out += fill(position, name, true);
      entries_.pop_back();
    }
    return out;
  }

  std::string visible_part(std::size_t& position, std::string const& name, bool const shown) {
    std::string const part = fill(position, name, shown);
    return shown ? part : "";
  }

  std::string value_of(std::string const& tag) const {
    if (tag == ",") return entries_.back().last ? "" : ",";
    if (tag == "@") return entries_.back().key;
    std::size_t const bar = tag.find('|');
    Json const* const value = look_up(tag.substr(0, bar));
    if (value == nullptr) return "";
    if (bar != std::string::npos || value->is_object()) return value->dump();
    if (!value->is_array()) return plain(*value);
    std::string joined;
    for (Json const& item : *value) joined += (joined.empty() ? "" : ",") + plain(item);
    return joined;
  }

  static std::string plain(Json const& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

  Json const* look_up(std::string const& name) const {
    if (name == ".") return entries_.empty() ? &fields_ : entries_.back().value;
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry)
      if (Json const* const value = resolve(entry->value, name)) return value;
    return resolve(&fields_, name);
  }

  std::string const& text_;
  Json const& fields_;
  std::vector<Entry> entries_;
};

/// Expands the template's placeholders and sections from the fields, as the platform documents it.
std::string fill_template(std::string const& text, Json const& fields) {
  std::size_t position = 0;
  return TemplateExpander(text, fields).fill(position, "", true);
}

std::string template_text(std::string const& name) {
  std::filesystem::path const root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::ifstream in(root / "platform" / name);
  std::stringstream all;
  all << in.rdbuf();
  return all.str();
}

Json filled(std::string const& name, Json const& fields) {
  return Json::parse(fill_template(template_text(name), fields), nullptr, false);
}

Json fields_of_a_proxy() {
  return Json::parse(R"({
    "nodeName": "side-7", "ip": "10.9.0.4", "zone": "east", "region": "land", "internalPortRange": [5000, 5015],
    "seedNodes": ["10.9.0.1:81", "10.9.1.1:81", "10.9.2.1:81"], "initialStart": true, "lossCounted": false,
    "reportS": 1.5, "obligations": ["base", "own"], "timingBounds": {"drainS": 2, "retryRatio": 0.2, "revocationGlobal": true},
    "localBackend": "10.9.0.4:90", "destination": "mill", "zones": {"east": "land", "west": "land"},
    "accessAddresses": {"inbound": "10.9.0.4:1", "outbound": "10.9.0.4:2", "readiness": "10.9.0.4:3",
                        "control": "10.9.0.4:4"},
    "admissionLimits": {"cpuShare": 0.1, "memoryMb": 160}, "survivability": {"machines": 2}})");
}

Json fields_of_a_core_machine() {
  Json fields = fields_of_a_proxy();
  fields.erase("localBackend");
  fields.erase("destination");
  fields["lossCounted"] = true;
  fields["dataDir"] = "/data/x";
  fields["accessAddresses"] = {{"control", "10.9.0.4:4"}};
  return fields;
}

}  // namespace

TEST(SettingsTemplates, ProxyGetsItsAddressesSeedsAndBounds) {
  Json const expected = Json::parse(R"({
    "interface": "platform", "id": "side-7", "zone": "east", "region": "land", "address": "10.9.0.4:5000",
    "client-address": "10.9.0.4:2", "inbound-address": "10.9.0.4:1", "readiness-address": "10.9.0.4:3",
    "local-address": "10.9.0.4:4", "seed-control": ["10.9.0.1:81", "10.9.1.1:81", "10.9.2.1:81"],
    "peer-port": "5000", "store-port": "5015", "initial-start": true, "losses": "2", "service": "mill", "backend-address": "10.9.0.4:90",
    "heartbeat-interval": "1.5", "bounds": ["drainS=2", "retryRatio=0.2", "revocationGlobal=true"], "memory-mb": "160", "cpu-share": "0.1",
    "contracts": ["base", "own"]})");
  EXPECT_EQ(filled("proxy-settings.json", fields_of_a_proxy()), expected);
}

// Guards against losing a deployment's bounds: the template once produced values without names, and all were ignored.
TEST(SettingsTemplates, BoundsReachTheProcessUnderTheirNames) {
  Json fields = fields_of_a_proxy();
  fields["timingBounds"] = {{"drainS", 7.5}, {"graceS", 12}, {"revocationGlobal", true}, {"revokeS", 4}};
  for (std::string const name : {"proxy-settings.json", "registry-settings.json"}) {
    Result<TimingBounds> const read =
        read_timing_bounds(filled(name, fields)["bounds"].get<std::vector<std::string>>());
    ASSERT_TRUE(read) << read.error().reason;
    EXPECT_EQ(read->drain_limit, 7500ms) << name;
    EXPECT_EQ(read->shutdown_grace, 12s) << name;
    EXPECT_EQ(read->revocation_limit, 4s) << name;
  }
}

TEST(SettingsTemplates, RegistryGetsItsZonesAndTheStoresPort) {
  Json const expected = Json::parse(R"({
    "interface": "platform", "id": "side-7", "zone": "east", "address": "10.9.0.4:5000", "store-port": "5015",
    "control-address": "10.9.0.4:4", "seed-control": ["10.9.0.1:81", "10.9.1.1:81", "10.9.2.1:81"],
    "peer-port": "5000", "initial-start": true, "losses": "2", "counted": true, "zones": ["east", "west"],
    "bounds": ["drainS=2", "retryRatio=0.2", "revocationGlobal=true"]})");
  EXPECT_EQ(filled("registry-settings.json", fields_of_a_core_machine()), expected);
}

TEST(SettingsTemplates, StoreGetsItsFolderAndTheLastPort) {
  Json fields = fields_of_a_core_machine();
  fields["initialStart"] = false;
  Json const expected = Json::parse(R"({
    "id": "side-7", "address": "10.9.0.4:5015", "data": "/data/x",
    "seed-control": ["10.9.0.1:81", "10.9.1.1:81", "10.9.2.1:81"], "peer-port": "5015", "initial-start": false,
    "losses": "2", "counted": true})");
  EXPECT_EQ(filled("store-settings.json", fields), expected);
}

TEST(SettingsTemplates, AbsentFieldsStillGiveReadableSettings) {
  for (std::string const name : {"proxy-settings.json", "registry-settings.json", "store-settings.json"}) {
    Json const all = fields_of_a_core_machine();
    std::size_t const keys = filled(name, all).size();
    for (auto const& [absent, value] : all.items()) {
      Json fields = all;
      fields.erase(absent);
      Json const settings = filled(name, fields);
      ASSERT_TRUE(settings.is_object()) << name << " without " << absent;
      EXPECT_EQ(settings.size(), keys);
      for (auto const& [key, setting] : settings.items()) {
        EXPECT_TRUE(setting.is_string() || setting.is_boolean() || setting.is_array()) << name << " " << key;
        for (Json const& item : setting.is_array() ? setting : Json::array()) EXPECT_TRUE(item.is_string());
      }
    }
    EXPECT_TRUE(filled(name, Json::object()).is_object()) << name;
  }
}

}  // namespace banktide::platform
