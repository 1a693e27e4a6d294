#include "programs/maintenance_interface.hpp"

namespace banktide {

namespace {

constexpr std::string_view path = "/maintenance";
constexpr std::int64_t max_duration_s = 30L * 24 * 3600;
constexpr Duration min_quiet_time = 8s;  // covers several load announcements of each node
constexpr std::size_t body_limit = 4096;

constexpr char const* schedule_schema = R"({
  "type": "object",
  "properties": {
    "opens_in_s": {"type": "integer"}, "lasts_s": {"type": "integer"}, "lead_s": {"type": "integer"},
    "allow_second": {"type": "boolean"}, "force": {"type": "boolean"}
  },
  "required": ["opens_in_s", "lasts_s"],
  "additionalProperties": false
})";

std::string path_of(std::string_view const target) { return std::string(target.substr(0, target.find('?'))); }

using Read = tl::expected<MaintenanceRequest, HttpReply>;

Read refused(std::uint16_t const status, std::string const& name, std::string const& reason) {
  return tl::unexpected<HttpReply>(maintenance_error(status, name, reason));
}

/** The error name and the reason if a duration is invalid; none if it is valid. */
std::optional<std::pair<std::string, std::string>> duration_error(Json const& body, std::string const& name) {
  if (!body.contains(name)) return std::nullopt;
  Json const& value = body[name];
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(max_duration_s))
    return std::pair{"duration_too_long", name + ": at most " + std::to_string(max_duration_s)};
  if (value.get<std::int64_t>() < 0) return std::pair{"duration_negative", name + ": below 0"};
  return std::nullopt;
}

Read parse_schedule_request(std::string const& zone, std::string const& bytes, MaintenanceSettings const& settings) {
  Result<Json> const body = parse_json(bytes, body_limit);
  if (!body) return refused(400, "not_json", body.error().reason);
  Result<bool> const kept = check_schema(*body, schedule_schema);
  if (!kept) return refused(400, "wrong_body", kept.error().peer + ": " + kept.error().reason);
  for (std::string const name : {"opens_in_s", "lasts_s", "lead_s"})
    if (auto const fault = duration_error(*body, name)) return refused(400, fault->first, fault->second);
  ScheduleWindow window_request;
  window_request.spec.zone = zone;
  window_request.spec.opens_in = std::chrono::seconds(body->at("opens_in_s").get<std::int64_t>());
  window_request.spec.lasts = std::chrono::seconds(body->at("lasts_s").get<std::int64_t>());
  window_request.spec.lead = settings.default_lead;
  if (body->contains("lead_s")) window_request.spec.lead = std::chrono::seconds(body->at("lead_s").get<std::int64_t>());
  window_request.spec.return_time = settings.return_time;
  window_request.spec.allow_second = body->value("allow_second", false);
  window_request.force = body->value("force", false);
  std::string const least = std::to_string(as_ms(settings.min_lead) / 1000);
  if (window_request.spec.lasts == Duration::zero()) return refused(400, "duration_zero", "lasts_s: at least 1");
  if (window_request.spec.lead < settings.min_lead && !window_request.force)
    return refused(400, "lead_too_short", "lead_s: at least " + least);
  if (window_request.spec.opens_in < settings.min_lead && !window_request.force)
    return refused(400, "opens_too_soon", "opens_in_s: at least " + least + ", for traffic to move");
  return MaintenanceRequest(window_request);
}

}  // namespace

bool is_maintenance_target(std::string_view const target) {
  std::string const p = path_of(target);
  return p == path || p.starts_with(std::string(path) + "/");
}

HttpReply maintenance_error(std::uint16_t const status, std::string const& name, std::string const& reason) {
  return json_reply(status, Json{{"error", name}, {"reason", reason}});
}

Read parse_maintenance_request(HttpRequest const& request, MaintenanceSettings const& settings) {
  std::string const p = path_of(request.target);
  std::string const zone = p.size() > path.size() + 1 ? p.substr(path.size() + 1) : "";
  bool const all = p == path;
  if (all && request.method == "GET") return MaintenanceRequest(ListWindows{});
  if (!all && zone.empty()) return refused(404, "unknown_zone", "no zone is named");
  if (!all && request.method == "PUT") return parse_schedule_request(zone, request.body, settings);
  if (!all && request.method == "DELETE") return MaintenanceRequest(EndWindow{zone});
  HttpReply reply = maintenance_error(405, "wrong_method", request.method);
  reply.headers.push_back({"Allow", all ? "GET" : "PUT, DELETE"});
  return tl::unexpected<HttpReply>(std::move(reply));
}

std::optional<std::string> capacity_shortage(std::string const& zone, std::vector<ZoneEntry> const& entries,
                                             std::set<std::string> const& withheld) {
  std::map<std::string, std::uint64_t> busy, free;
  for (ZoneEntry const& entry : entries)
    for (ServiceOffer const& offer : entry.services) {
      std::uint32_t const used = offer.running + offer.waiting;
      if (entry.zone == zone)
        busy[offer.service] += used;
      else if (!withheld.contains(entry.zone))
        free[offer.service] += offer.slots - std::min(offer.slots, used);
    }
  for (auto const& [service, needed] : busy) {
    if (!free.contains(service)) return service + " has no backend elsewhere";
    if (free[service] < needed)
      return service + ": " + std::to_string(needed) + " slots are busy in the zone, " + std::to_string(free[service]) +
             " are free elsewhere";
  }
  return std::nullopt;
}

// Stores run on the registries' machines, and the zones of registries are known.
std::optional<std::string> quorum_shortage(std::string const& zone, VoterSet const& voters,
                                           std::vector<RegistryEntry> const& registries,
                                           std::set<std::string> const& withheld) {
  auto const machine_of = [](std::string const& address) { return address.substr(0, address.rfind(':')); };
  std::set<std::string> machines;
  for (RegistryEntry const& e : registries)
    if (e.zone == zone || withheld.contains(e.zone)) machines.insert(machine_of(e.address));
  std::size_t elsewhere = 0;
  for (VoterEntry const& v : voters.voters) elsewhere += !machines.contains(machine_of(v.address));
  if (elsewhere >= quorum_size(voters)) return std::nullopt;
  return std::to_string(elsewhere) + " of the " + std::to_string(voters.voters.size()) +
         " stores are in other zones, the quorum is " + std::to_string(quorum_size(voters));
}

ZoneUsage zone_usage(std::string const& zone, std::vector<ZoneEntry> const& entries, KeyTable const& keys) {
  ZoneUsage usage;
  for (ZoneEntry const& entry : entries) {
    if (entry.zone != zone) continue;
    for (ServiceOffer const& offer : entry.services) {
      usage.requests += offer.running + offer.waiting;
      usage.backends += offer.running + offer.waiting > 0;
    }
  }
  for (KeyService const& service : keys.services)
    for (KeyRow const& row : service.rows)
      usage.rows += row.holder != no_holder && keys.holders[row.holder].zone == zone;
  return usage;
}

bool is_clear(MaintenanceWindow const& window, ZoneUsage const& usage, Duration const quiet_for) {
  return window.withholds() && quiet_for >= min_quiet_time && usage.requests == 0 && usage.rows == 0;
}

Json window_json(MaintenanceWindow const& window, ZoneUsage const& usage, bool const clear) {
  auto const seconds = [](std::int64_t const ms) { return static_cast<double>(ms) / 1000; };
  Json j = {{"id", window.id},
            {"zone", window.zone},
            {"phase", phase_name(window.phase)},
            {"left_s", seconds(window.remaining)},
            {"opens_in_s", seconds(window.opens_in)},
            {"lasts_s", seconds(window.lasts)},
            {"lead_s", seconds(window.lead)}};
  if (!window.current()) return j;
  j["requests"] = usage.requests;
  j["backends"] = usage.backends;
  j["rows"] = usage.rows;
  j["clear"] = clear;
  return j;
}

}  // namespace banktide
