// The operators' HTTP interface to maintenance windows, at `/maintenance` beside
// the paths of the platform's adapter: schedules, lists and ends windows. The free
// functions parse and validate requests; MaintenanceInterface changes the register.
#pragma once

#include "coordination/maintenance_keeper.hpp"
#include "coordination/voter_set.hpp"
#include "protocol/http_helpers.hpp"
#include "state/key_table.hpp"

#include <optional>
#include <tl/expected.hpp>
#include <variant>

namespace banktide {

struct MaintenanceSettings {
  /** The default lead: how long before a window opens traffic starts to move away. */
  Duration default_lead = 60s;
  /** The shortest lead that an operator may set: the drain of a backend and a hold on keys may take this long. */
  Duration min_lead = 12s;
  /** The time over which traffic returns after a window. */
  Duration return_time = 30s;
};

/** A request to schedule a window. */
struct ScheduleWindow {
  MaintenanceWindowSpec spec;
  /** Schedule the window even if the other zones have too few free slots or the lead is too short. */
  bool force = false;
};
struct EndWindow {
  std::string zone;
};
struct ListWindows {};
using MaintenanceRequest = std::variant<ScheduleWindow, EndWindow, ListWindows>;

/** Whether the target is a path of the maintenance interface. */
bool is_maintenance_target(std::string_view target);
/** Parses and validates a request; the error is the reply that refuses it. */
tl::expected<MaintenanceRequest, HttpReply> parse_maintenance_request(HttpRequest const& request,
                                                                      MaintenanceSettings const& settings);
HttpReply maintenance_error(std::uint16_t status, std::string const& name, std::string const& reason);

/** Why the other zones can't take over a zone's load, by the latest announcements; none if they can. */
std::optional<std::string> capacity_shortage(std::string const& zone, std::vector<ZoneEntry> const& entries,
                                             std::set<std::string> const& withheld);

/** Why the stores outside a zone and outside the withheld zones are no quorum; none if they are. */
std::optional<std::string> quorum_shortage(std::string const& zone, VoterSet const& voters,
                                           std::vector<RegistryEntry> const& registries,
                                           std::set<std::string> const& withheld);

/** The load and the keys that are still in a zone, by the latest announcements. */
struct ZoneUsage {
  std::uint64_t requests = 0;
  std::size_t backends = 0;  // with running or waiting requests
  std::size_t rows = 0;      // key rows held in the zone
};
ZoneUsage zone_usage(std::string const& zone, std::vector<ZoneEntry> const& entries, KeyTable const& keys);
/** Whether the window's zone has no load and no keys left; `quiet_for`: the time since load was last announced there.
    Nodes announce their load periodically, so a single announcement may miss requests. */
bool is_clear(MaintenanceWindow const& window, ZoneUsage const& usage, Duration quiet_for);
Json window_json(MaintenanceWindow const& window, ZoneUsage const& usage, bool clear);

/** `Registry` must provide held, registers, directory, has_quorum_reading, zone_names and zone_entries. */
template <Environment Env, class Registry, class Keeper>
class MaintenanceInterface {
 public:
  MaintenanceInterface(Env& env, Registry& registry, Keeper& keeper, MaintenanceSettings const& settings)
      : env_(env), registry_(registry), keeper_(keeper), settings_(settings) {}

  /** Watches the load of withheld zones, as long as the process runs. */
  Task<void> run() {
    while (true) {
      co_await sleep_for(env_, poll_period);
      update_last_busy();
    }
  }

  Task<HttpReply> call(HttpRequest const request) {
    tl::expected<MaintenanceRequest, HttpReply> parsed = parse_maintenance_request(request, settings_);
    if (!parsed) co_return std::move(parsed.error());
    if (ScheduleWindow const* const schedule = std::get_if<ScheduleWindow>(&*parsed))
      co_return co_await schedule_window(*schedule);
    if (EndWindow const* const end = std::get_if<EndWindow>(&*parsed)) co_return co_await end_window(*end);
    co_return list();
  }

 private:
  static constexpr Duration poll_period = 500ms;

  void update_last_busy() {
    std::set<std::string> const withheld = keeper_.plan().withheld_zones();
    std::erase_if(last_busy_, [&](auto const& known) { return !withheld.contains(known.first); });
    for (std::string const& zone : withheld) {
      Instant& last = last_busy_.try_emplace(zone, env_.now()).first->second;
      if (usage(zone).requests > 0) last = env_.now();
    }
  }

  Json to_json(MaintenanceWindow const& window) const {
    ZoneUsage const left = usage(window.zone);
    auto const busy = last_busy_.find(window.zone);
    Duration const quiet_for = busy == last_busy_.end() ? Duration::zero() : env_.now() - busy->second;
    return window_json(window, left, is_clear(window, left, quiet_for));
  }

  Task<HttpReply> schedule_window(ScheduleWindow const request) {
    std::string const& zone = request.spec.zone;
    std::set<std::string> const zones = registry_.zone_names();
    if (!zones.contains(zone)) co_return maintenance_error(404, "unknown_zone", "no registry or node is in " + zone);
    MaintenancePlan tried = keeper_.plan();
    bool const is_new = tried.schedule(request.spec) == ScheduleOutcome::scheduled;
    if (is_new && !request.force) {
      std::set<std::string> const withheld = keeper_.plan().withheld_zones();
      std::optional<std::string> lack = capacity_shortage(zone, registry_.zone_entries(), withheld);
      if (lack) co_return maintenance_error(409, "no_capacity", *lack);
      lack = quorum_shortage(zone, registry_.registers().set(), registry_.directory(), withheld);
      if (lack) co_return maintenance_error(409, "no_quorum", *lack);
    }
    ScheduleOutcome outcome = ScheduleOutcome::scheduled;
    MaintenanceEdit const edit = [&](MaintenancePlan& plan) -> Result<bool> {
      outcome = plan.schedule(request.spec);
      return outcome == ScheduleOutcome::scheduled;
    };
    Result<MaintenancePlan> const done = co_await keeper_.change(edit);
    if (!done) co_return not_taken(done.error());
    if (outcome == ScheduleOutcome::overlaps_own_zone)
      co_return maintenance_error(409, "window_overlaps", zone + " has another window; end that one first");
    if (outcome == ScheduleOutcome::overlaps_other_zone)
      co_return maintenance_error(409, "other_zone", "another zone is under maintenance then; see allow_second");
    co_return newest_window_reply(*done, zone);
  }

  Task<HttpReply> end_window(EndWindow const request) {
    EndOutcome outcome = EndOutcome::no_window;
    MaintenanceEdit const edit = [&](MaintenancePlan& plan) -> Result<bool> {
      outcome = plan.end(request.zone);
      return outcome == EndOutcome::ended;
    };
    Result<MaintenancePlan> const done = co_await keeper_.change(edit);
    if (!done) co_return not_taken(done.error());
    if (outcome == EndOutcome::no_window)
      co_return maintenance_error(404, "no_window", request.zone + " has no window");
    co_return newest_window_reply(*done, request.zone);
  }

  static HttpReply not_taken(Error const& m) {
    return maintenance_error(503, "not_known_to_be_taken", "send the same again: " + m.reason);
  }

  HttpReply newest_window_reply(MaintenancePlan const& plan, std::string const& zone) const {
    MaintenanceWindow const* const window = plan.newest(zone);
    if (window == nullptr) return maintenance_error(404, "no_window", zone + " has no window");
    return json_reply(200, to_json(*window));
  }

  ZoneUsage usage(std::string const& zone) const {
    RegisterValue const& held = registry_.held(Register::keys);
    Result<KeyTable> const keys = unpack_key_table(held.bytes, held.revision);
    return zone_usage(zone, registry_.zone_entries(), keys ? *keys : KeyTable{});
  }

  HttpReply list() const {
    if (!registry_.has_quorum_reading())
      return maintenance_error(503, "not_current", "no majority of the stores has answered lately");
    Json windows = Json::array();
    for (MaintenanceWindow const& w : keeper_.plan().windows) windows.push_back(to_json(w));
    return json_reply(200, Json{{"windows", windows}});
  }

  Env& env_;
  Registry& registry_;
  Keeper& keeper_;
  MaintenanceSettings const settings_;
  std::map<std::string, Instant> last_busy_;  // of withheld zones; initially the time at which a zone became withheld
};

}  // namespace banktide
