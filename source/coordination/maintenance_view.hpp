// The maintenance plan as one process knows it: the newest value of its register,
// counted down on this process's steady clock. So nodes and registries go from
// phase to phase at nearly the same moment, also while they hear nothing: never
// sooner than whoever wrote the value, and later by the time it took to come.
#pragma once

#include "state/maintenance.hpp"
#include "transport/log.hpp"
#include "transport/environment.hpp"

namespace banktide {

class MaintenanceView {
 public:
  /** Takes a newer value; its remaining times are those of `counted_at`. False: it isn't newer, or can't be read. */
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
  /** The plan as it was written, at `counted_at`. */
  MaintenancePlan const& written() const { return plan_; }
  MaintenancePlan at(Instant const now) const {
    MaintenancePlan plan = plan_;
    plan.advance(now - counted_at_);
    return plan;
  }

  /** One line for each window whose phase is another than when this was last called. */
  void log_phases(Instant const now) {
    for (MaintenanceWindow const& window : at(now).windows) {
      MaintenancePhase& known = logged_.try_emplace(window.id, MaintenancePhase::cancelled).first->second;
      if (known == window.phase) continue;
      known = window.phase;
      log_info("maintenance", {{"zone", window.zone},
                               {"phase", std::string(phase_name(window.phase))},
                               {"window", std::to_string(window.id)},
                               {"left_s", std::to_string(window.left / 1000)}});
    }
  }

 private:
  MaintenancePlan plan_;
  Revision revision_ = 0;
  Instant counted_at_{};
  std::map<std::uint64_t, MaintenancePhase> logged_;
};

}  // namespace banktide
