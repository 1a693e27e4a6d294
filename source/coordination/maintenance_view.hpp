// A process's view of the maintenance plan: the newest value of its register,
// counted down with this process's steady clock. Nodes and registries thus change
// phase at nearly the same time, even while they receive no updates: never earlier
// than the writer of the value, and later by the time the value took to arrive.
#pragma once

#include "state/maintenance.hpp"
#include "transport/log.hpp"
#include "transport/environment.hpp"

namespace banktide {

class MaintenanceView {
 public:
  /** Adopts a newer value, whose remaining times are those at `counted_at`. Returns false if it isn't newer or can't be
   * parsed. */
  bool take(RegisterValue const& held, Instant const counted_at) {
    if (held.revision <= revision_) return false;
    Result<MaintenancePlan> read = unpack_maintenance(held.bytes);
    if (!read) {
      log_warn("maintenance_unreadable", {{"reason", read.error().reason}});
      return false;
    }
    revision_ = held.revision;
    plan_ = std::move(*read);
    counted_at_ = counted_at;
    return true;
  }

  Revision revision() const { return revision_; }
  Instant counted_at() const { return counted_at_; }
  /** The plan as written, with the remaining times at `counted_at`. */
  MaintenancePlan const& plan_as_written() const { return plan_; }
  MaintenancePlan at(Instant const now) const {
    MaintenancePlan plan = plan_;
    plan.advance(now - counted_at_);
    return plan;
  }

  /** Logs each window whose phase has changed since the last call. */
  void log_phases(Instant const now) {
    for (MaintenanceWindow const& window : at(now).windows) {
      MaintenancePhase& known = logged_.try_emplace(window.id, MaintenancePhase::cancelled).first->second;
      if (known == window.phase) continue;
      known = window.phase;
      log_info("maintenance", {{"zone", window.zone},
                               {"phase", std::string(phase_name(window.phase))},
                               {"window", std::to_string(window.id)},
                               {"left_s", std::to_string(window.remaining / 1000)}});
    }
  }

 private:
  MaintenancePlan plan_;
  Revision revision_ = 0;
  Instant counted_at_{};
  std::map<std::uint64_t, MaintenancePhase> logged_;
};

}  // namespace banktide
