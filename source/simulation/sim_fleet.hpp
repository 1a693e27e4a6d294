// Runs a scenario on a simulated fleet: traffic, revisions and faults, then a period
// without faults. `run` returns the recorded history.
#pragma once

#include "simulation/sim_faults.hpp"

namespace banktide {

class SimFleet : public SimFaults {
 public:
  explicit SimFleet(Scenario s) : SimFaults(std::move(s)) {}

  History run() {
    start_ = sim_.now;
    build();
    add_backend("promo", node_in(deployment_.zones[0], 1));
    add_backend("promo", node_in(deployment_.zones[2], 0));
    add_backend("intruder", node_in(deployment_.zones[1], 0));  // of a service that no revision permits
    sim_.run_until(start_ + 6s);
    put(0, Register::routing, deployment_.routing, std::nullopt, true);
    sim_.run_until(sim_.now + 1s);
    put(1, Register::catalogue, deployment_.catalogue, std::nullopt, true);
    sim_.run_until(sim_.now + 3s);
    traffic_enabled_ = true;
    for (std::string const& m : deployment_.mix) schedule_calls(m);
    schedule_calls("promo:GET:/promo:20:0");
    schedule_samples();
    if (scenario_.fault_every == 0s) layouts_settled_ = true;
    schedule_revisions();
    history_.planned_only =
        !scenario_.only.empty() && std::all_of(scenario_.only.begin(), scenario_.only.end(),
                                               [](std::string const& k) { return k.starts_with("roll_"); });
    faults_until_ = sim_.now;
    Instant const faults_end = sim_.now + scenario_.faults_for;
    if (scenario_.fault_every > 0s) sim_.after(2s, [this, faults_end] { schedule_faults(faults_end); });
    sim_.run_until(faults_end);
    if (scenario_.only.contains("roll_all")) sim_.run_until(faults_until_ + 1s);
    repair_all();
    if (!layouts_settled_) restore_layouts();
    sim_.run_until(sim_.now + 6s);
    if (!scenario_.last.empty()) inject_permanent_fault(scenario_.last);
    faults_until_ = sim_.now;
    sim_.run_until(sim_.now + 22s);
    traffic_enabled_ = false;
    sim_.run_until(sim_.now + 6s);
    read_back();
    history_.count_extra_attempts();
    return history_;
  }

  std::map<std::string, std::uint64_t> const& fault_counts() const { return fault_counts_; }
  // Sends half of the keyed calls to one key and makes its requests slow.
  void make_hot() { hot_key_active_ = hot_key_slow_ = true; }
};

}  // namespace banktide
