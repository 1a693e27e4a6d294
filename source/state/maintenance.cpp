#include "state/maintenance.hpp"

#include <algorithm>
#include <limits>

namespace banktide {

namespace {

constexpr std::ptrdiff_t max_finished_windows = 16;  // windows that are over and still kept

std::int64_t milliseconds(Duration const d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

/** The time span of a window's effect, in milliseconds from now. */
struct Span {
  std::int64_t begin = 0;
  std::int64_t end = 0;
  bool overlaps(Span const& other) const { return begin < other.end && other.begin < end; }
};

Span span_of(MaintenanceWindow const& w) {
  switch (w.phase) {
    case MaintenancePhase::scheduled:
    case MaintenancePhase::draining:
      return Span{std::max<std::int64_t>(0, w.remaining - w.lead), w.remaining + w.lasts + w.return_time};
    case MaintenancePhase::open:
      return Span{0, w.remaining + w.return_time};
    default:
      return Span{0, w.remaining};
  }
}

// Advances to the next phase if its time has come; the time past the change counts towards it.
bool step(MaintenanceWindow& w) {
  switch (w.phase) {
    case MaintenancePhase::scheduled:
      if (w.remaining > w.lead) return false;
      w.phase = MaintenancePhase::draining;
      return true;
    case MaintenancePhase::draining:
      if (w.remaining > 0) return false;
      w.phase = MaintenancePhase::open;
      w.remaining += w.lasts;
      return true;
    case MaintenancePhase::open:
      if (w.remaining > 0) return false;
      w.phase = MaintenancePhase::returning;
      w.remaining += w.return_time;
      return true;
    case MaintenancePhase::returning:
      if (w.remaining > 0) return false;
      w.phase = MaintenancePhase::over;
      w.remaining = 0;
      return true;
    case MaintenancePhase::over:
    case MaintenancePhase::cancelled:
      return false;
  }
  return false;
}

bool is_valid(MaintenanceWindow const& w) {
  constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max() / 8;
  for (std::int64_t const time : {w.opens_in, w.lasts, w.lead, w.return_time, w.remaining})
    if (time < 0 || time > most) return false;
  return w.phase <= MaintenancePhase::cancelled && !w.zone.empty();
}

}  // namespace

std::string_view phase_name(MaintenancePhase const phase) {
  switch (phase) {
    case MaintenancePhase::scheduled:
      return "scheduled";
    case MaintenancePhase::draining:
      return "draining";
    case MaintenancePhase::open:
      return "open";
    case MaintenancePhase::returning:
      return "returning";
    case MaintenancePhase::over:
      return "over";
    case MaintenancePhase::cancelled:
      return "cancelled";
  }
  return "unknown";
}

ScheduleOutcome MaintenancePlan::schedule(MaintenanceWindowSpec const& spec) {
  MaintenanceWindow wanted;
  wanted.id = 1;
  wanted.zone = spec.zone;
  wanted.opens_in = wanted.remaining = milliseconds(spec.opens_in);
  wanted.lasts = milliseconds(spec.lasts);
  wanted.lead = std::min(milliseconds(spec.lead), wanted.opens_in);
  wanted.return_time = milliseconds(spec.return_time);
  for (MaintenanceWindow& w : windows) {
    wanted.id = std::max(wanted.id, w.id + 1);
    if (!w.current()) continue;
    bool const same = w.opens_in == wanted.opens_in && w.lasts == wanted.lasts && w.lead == wanted.lead;
    bool const returning = w.phase == MaintenancePhase::returning;
    if (w.zone == spec.zone && !returning) return same ? ScheduleOutcome::repeated : ScheduleOutcome::overlaps_own_zone;
    if (w.zone != spec.zone && !spec.allow_second && span_of(w).overlaps(span_of(wanted)))
      return ScheduleOutcome::overlaps_other_zone;
  }
  // The new window ends the return phase of the zone's previous one.
  for (MaintenanceWindow& w : windows)
    if (w.zone == spec.zone && w.current()) {
      w.phase = MaintenancePhase::over;
      w.remaining = 0;
    }
  windows.push_back(std::move(wanted));
  advance(Duration::zero());
  remove_oldest_finished();
  return ScheduleOutcome::scheduled;
}

EndOutcome MaintenancePlan::end(std::string const& zone) {
  EndOutcome outcome = EndOutcome::no_window;
  for (MaintenanceWindow& w : windows) {
    if (w.zone != zone) continue;
    if (outcome == EndOutcome::no_window) outcome = EndOutcome::already_ended;
    if (w.phase == MaintenancePhase::scheduled) {
      w.phase = MaintenancePhase::cancelled;
      w.remaining = 0;
      outcome = EndOutcome::ended;
    } else if (w.withholds()) {
      w.phase = MaintenancePhase::returning;
      w.remaining = w.return_time;
      outcome = EndOutcome::ended;
    }
  }
  return outcome;
}

bool MaintenancePlan::advance(Duration const elapsed) {
  std::int64_t const passed = std::max<std::int64_t>(0, milliseconds(elapsed));
  bool changed = false;
  for (MaintenanceWindow& w : windows) {
    if (!w.current()) continue;
    w.remaining -= passed;
    while (step(w)) changed = true;
  }
  return changed;
}

bool MaintenancePlan::current() const {
  return std::any_of(windows.begin(), windows.end(), [](MaintenanceWindow const& w) { return w.current(); });
}

MaintenanceWindow const* MaintenancePlan::newest(std::string_view const zone) const {
  auto const found =
      std::find_if(windows.rbegin(), windows.rend(), [&](MaintenanceWindow const& w) { return w.zone == zone; });
  return found == windows.rend() ? nullptr : &*found;
}

std::set<std::string> MaintenancePlan::withheld_zones() const {
  std::set<std::string> zones;
  for (MaintenanceWindow const& w : windows)
    if (w.withholds()) zones.insert(w.zone);
  return zones;
}

std::map<std::string, double> MaintenancePlan::zone_shares() const {
  std::map<std::string, double> shares;
  for (MaintenanceWindow const& w : windows) {
    if (w.withholds()) shares[w.zone] = 0;
    if (w.phase == MaintenancePhase::returning && w.return_time > 0)
      shares.try_emplace(w.zone, 1 - static_cast<double>(w.remaining) / static_cast<double>(w.return_time));
  }
  return shares;
}

void MaintenancePlan::remove_oldest_finished() {
  auto const is_over = [](MaintenanceWindow const& w) { return !w.current(); };
  std::ptrdiff_t surplus = std::count_if(windows.begin(), windows.end(), is_over) - max_finished_windows;
  std::erase_if(windows, [&](MaintenanceWindow const& w) { return is_over(w) && surplus-- > 0; });
}

Bytes pack_maintenance(MaintenancePlan const& plan) { return pack(plan); }

Result<MaintenancePlan> unpack_maintenance(Bytes const& bytes) {
  if (bytes.empty()) return MaintenancePlan{};
  Result<MaintenancePlan> plan = unpack<MaintenancePlan>(bytes);
  if (plan && !std::all_of(plan->windows.begin(), plan->windows.end(), is_valid))
    return make_error("decode", "", "invalid maintenance window");
  return plan;
}

}  // namespace banktide
