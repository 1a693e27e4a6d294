// Windows of maintenance: the value of the register of maintenance. A window
// belongs to one zone, which carries no traffic from a while before it opens
// until it closes. All its times are durations that are counted down: whoever
// has a plan and the moment that it belongs to knows it at any later moment,
// with no clock that anybody else must share.
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
  /** Traffic comes back, a growing part of the requests. */
  returning = 3,
  over = 4,
  /** Ended before it had any effect. */
  cancelled = 5,
};

std::string_view phase_name(MaintenancePhase phase);

/** Numbers are milliseconds; the first four as they were asked for. */
struct MaintenanceWindow {
  std::uint64_t id = 0;
  std::string zone;
  std::int64_t opens_in = 0;
  std::int64_t lasts = 0;
  std::int64_t lead = 0;         // how long before it opens traffic moves
  std::int64_t return_time = 0;  // over which traffic comes back
  MaintenancePhase phase = MaintenancePhase::scheduled;
  std::int64_t left = 0;  // until it opens; once open, until it closes; then until all traffic is back
  bool operator==(MaintenanceWindow const&) const = default;
  BANKTIDE_FIELDS(id, zone, opens_in, lasts, lead, return_time, phase, left)

  /** Traffic is to be kept away now. */
  bool withholds() const { return phase == MaintenancePhase::draining || phase == MaintenancePhase::open; }
  /** It has an effect now, or will have one. */
  bool current() const { return phase < MaintenancePhase::over; }
};

/** An operator's wish for a window. */
struct MaintenanceWindowSpec {
  std::string zone;
  Duration opens_in{};
  Duration lasts{};
  Duration lead{};
  Duration return_time{};
  /** Windows of other zones may overlap it. */
  bool allow_second = false;
};

enum class ScheduleOutcome : std::uint8_t { scheduled, repeated, overlaps_own_zone, overlaps_other_zone };
enum class EndOutcome : std::uint8_t { ended, already_ended, no_window };

class MaintenancePlan {
 public:
  std::vector<MaintenanceWindow> windows;  // in the order of their marking
  bool operator==(MaintenancePlan const&) const = default;
  BANKTIDE_FIELDS(windows)

  ScheduleOutcome schedule(MaintenanceWindowSpec const& spec);
  /** A window that had no effect yet is cancelled; one that had begins to return. */
  EndOutcome end(std::string const& zone);
  /** Counts down; true if a phase has changed. */
  bool advance(Duration elapsed);
  /** Any window that isn't over. */
  bool current() const;
  /** The newest window of a zone; nullptr if it never had one that is still remembered. */
  MaintenanceWindow const* newest(std::string_view zone) const;
  /** Zones that traffic is kept away from. */
  std::set<std::string> withheld_zones() const;
  /** The part of the requests that each zone may get, where that isn't all. */
  std::map<std::string, double> zone_shares() const;

 private:
  void remove_oldest_finished();
};

/** The plan as a register's value, and back; no bytes are an empty plan. */
Bytes pack_maintenance(MaintenancePlan const& plan);
Result<MaintenancePlan> unpack_maintenance(Bytes const& bytes);

}  // namespace banktide
