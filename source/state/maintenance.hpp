// Maintenance windows: the value of the register `maintenance`. A window belongs to one zone, which
// carries no traffic from a lead time before it opens until it closes. All times are durations that
// are counted down: a plan and the local time at which it was read give the state at any later
// time, without a clock shared between processes.
#pragma once

#include "protocol/messages.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace banktide {

enum class MaintenancePhase : std::uint8_t {
  scheduled = 0,
  /** Traffic and keys move to other zones. */
  draining = 1,
  /** The machines may be worked on. */
  open = 2,
  /** Traffic comes back: the zone gets a growing share of the requests. */
  returning = 3,
  over = 4,
  /** Ended before it had any effect. */
  cancelled = 5,
};

std::string_view phase_name(MaintenancePhase phase);

/** Durations are in milliseconds; `opens_in` to `return_time` are those of the request. */
struct MaintenanceWindow {
  std::uint64_t id = 0;
  std::string zone;
  std::int64_t opens_in = 0;
  std::int64_t lasts = 0;
  std::int64_t lead = 0;         // how long before it opens traffic is moved away
  std::int64_t return_time = 0;  // the time over which traffic comes back
  MaintenancePhase phase = MaintenancePhase::scheduled;
  std::int64_t remaining = 0;  // time left until it opens; once open, until it closes; then until all traffic is back
  bool operator==(MaintenanceWindow const&) const = default;
  BANKTIDE_FIELDS(id, zone, opens_in, lasts, lead, return_time, phase, remaining)

  /** Whether traffic must be kept away now. */
  bool withholds() const { return phase == MaintenancePhase::draining || phase == MaintenancePhase::open; }
  /** Whether it has an effect now or will have one. */
  bool current() const { return phase < MaintenancePhase::over; }
};

/** A window as an operator requests it. */
struct MaintenanceWindowSpec {
  std::string zone;
  Duration opens_in{};
  Duration lasts{};
  Duration lead{};
  Duration return_time{};
  /** Whether it may overlap windows of other zones. */
  bool allow_second = false;
};

enum class ScheduleOutcome : std::uint8_t { scheduled, repeated, overlaps_own_zone, overlaps_other_zone };
enum class EndOutcome : std::uint8_t { ended, already_ended, no_window };

class MaintenancePlan {
 public:
  std::vector<MaintenanceWindow> windows;  // in the order in which they were scheduled
  bool operator==(MaintenancePlan const&) const = default;
  BANKTIDE_FIELDS(windows)

  /** Adds a window unless it repeats or overlaps another one. */
  ScheduleOutcome schedule(MaintenanceWindowSpec const& spec);
  /** Ends the zone's window: it is cancelled if it had no effect yet, else its traffic begins to return. */
  EndOutcome end(std::string const& zone);
  /** Counts down by `elapsed`; returns whether a phase has changed. */
  bool advance(Duration elapsed);
  /** Whether any window isn't over. */
  bool current() const;
  /** Returns the newest window of a zone; nullptr if none is kept. */
  MaintenanceWindow const* newest(std::string_view zone) const;
  /** Returns the zones that traffic is kept away from. */
  std::set<std::string> withheld_zones() const;
  /** Returns the share of the requests that each zone may get, where it is below 1. */
  std::map<std::string, double> zone_shares() const;

 private:
  void remove_oldest_finished();
};

/** Packs a plan into the bytes of a register value, and unpacks it; no bytes are an empty plan. */
Bytes pack_maintenance(MaintenancePlan const& plan);
Result<MaintenancePlan> unpack_maintenance(Bytes const& bytes);

}  // namespace banktide
