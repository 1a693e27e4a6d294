// A mesh on virtual time whose backends are replaced, crash and sign off while their heartbeats come late, with a watch
// on the keys that two instances hold at once and on the requests that reach an instance after its sign-off.
#pragma once

#include "tests/programs/mesh_trial.hpp"

#include <algorithm>

namespace banktide {

inline constexpr Duration drain_limit = 2s;
inline constexpr Duration longest_overlap = 500ms;

inline MeshTrialOptions options_for(bool const backends_tell_their_id) {
  MeshTrialOptions options;
  options.bounds.drain_limit = drain_limit;
  options.backends_tell_their_id = backends_tell_their_id;
  return options;
}

/// A mesh, a watch on the keys that are held twice, and what was acknowledged to backends that signed off.
class InstancesTrial {
 public:
  explicit InstancesTrial(std::uint64_t const seed, bool const backends_tell_their_id = true)
      : mesh(seed, {"a", "b", "c"}, options_for(backends_tell_their_id)) {}

  MeshTrial::Machine& machine(std::string const& name) { return mesh.machines.at(name); }
  void form() {
    ASSERT_TRUE(mesh.form());
    mesh.serving = true;
    run_for(3s);
  }
  void run_for(Duration const d) {
    Instant const end = mesh.sim.now + d;
    while (mesh.sim.now < end) {
      mesh.run_for(std::min<Duration>(20ms, end - mesh.sim.now));
      watch_keys();
    }
  }
  bool run_until(std::function<bool()> const& holds, Duration const most) {
    Instant const end = mesh.sim.now + most;
    while (!holds() && mesh.sim.now < end) run_for(20ms);
    return holds();
  }

  /// Sends the sign-off of a machine's backend until it is acknowledged.
  bool sign_off(MeshTrial::Machine& of) {
    std::string const instance = of.backend->id;
    std::shared_ptr<std::uint32_t> const status = mesh.sign_off(of, instance);
    if (!run_until([&] { return *status != 0; }, 3s) || *status != 200) return false;
    signed_off_at[instance] = mesh.sim.now;
    return true;
  }
  /// The backend says that it leaves, once; true if that is acknowledged. It sends no heartbeat afterwards.
  bool drain_with_one_heartbeat(MeshTrial::Machine& of) {
    of.backend->sends_heartbeats = false;
    of.backend->leaving = true;
    std::shared_ptr<std::uint32_t> const status = mesh.deliver(of, mesh.next_heartbeat(of, *of.backend));
    if (!run_until([&] { return *status != 0; }, 1s) || *status != 200) return false;
    drained_at[of.backend->id] = mesh.sim.now;
    return true;
  }
  void end(FakeBackend& backend) {
    backend.up = false;
    backend.rows.clear();
  }
  void restart_node(MeshTrial::Machine& of, Duration const pause = 300ms) {
    of.process->kill();
    run_for(pause);
    mesh.start_node(of);
  }
  /// Signs a machine's backend off and ends it; returns a heartbeat that it sent before, which is still on its way.
  BackendHeartbeat replace_in_order(MeshTrial::Machine& of) {
    of.backend->leaving = true;
    run_for(drain_limit);
    BackendHeartbeat const late = mesh.next_heartbeat(of, *of.backend);
    of.backend->sends_heartbeats = false;
    EXPECT_TRUE(sign_off(of));
    end(*of.backend);
    run_for(200ms);
    mesh.start_backend(of);
    return late;
  }
  /// Crashes a machine's backend and starts the next instance; returns heartbeats that are still on their way.
  std::vector<BackendHeartbeat> crash(MeshTrial::Machine& of, std::size_t const late) {
    std::vector<BackendHeartbeat> on_their_way;
    for (std::size_t i = 0; i < late; ++i) on_their_way.push_back(mesh.next_heartbeat(of, *of.backend));
    end(*of.backend);
    run_for(100ms);
    mesh.start_backend(of);
    return on_their_way;
  }
  /// The backend drains and lets go of its keys; none of its heartbeats that would tell so is sent any more.
  void drain_until_keys_are_let_go(MeshTrial::Machine& of) {
    if (!holds_keys(of)) return;
    of.backend->leaving = true;
    EXPECT_TRUE(run_until([&] { return !holds_keys(of); }, 5s));
    of.backend->sends_heartbeats = false;
  }
  bool holds_keys(MeshTrial::Machine const& of) const {
    return std::any_of(of.backend->rows.begin(), of.backend->rows.end(),
                       [&](FakeBackend::Row const& row) { return row.end > mesh.sim.now; });
  }
  /// Whether the other nodes know of a usable backend beside that of the machine.
  bool is_offered(MeshTrial::Machine const& of) {
    for (auto& [name, other] : mesh.machines) {
      if (other.zone != of.zone || name == of.name || !other.process->alive) continue;
      EndpointSelector::Endpoints const& endpoints = other.node->path().selector().of(of.service);
      if (std::none_of(endpoints.begin(), endpoints.end(),
                       [&](Endpoint const& endpoint) { return endpoint.node == "node-of-" + of.name; }))
        return false;
    }
    return true;
  }
  std::size_t executions_on(std::string const& instance, Instant const from) const {
    return static_cast<std::size_t>(std::count_if(mesh.ledger.begin(), mesh.ledger.end(), [&](LedgerEntry const& e) {
      return e.instance == instance && e.at >= from;
    }));
  }
  /// Executions on instances later than the drain limit after their sign-off was acknowledged.
  std::size_t executions_after_sign_off() const { return executions_after(signed_off_at); }
  /// The same for instances whose drain was acknowledged.
  std::size_t executions_after_drain() const { return executions_after(drained_at); }

  MeshTrial mesh;
  Duration longest_double_hold{};
  std::map<std::string, Instant> signed_off_at, drained_at;

 private:
  std::size_t executions_after(std::map<std::string, Instant> const& acknowledged) const {
    std::size_t all = 0;
    for (auto const& [instance, at] : acknowledged) all += executions_on(instance, at + drain_limit);
    return all;
  }

  struct HeldPart {
    std::uint32_t from, to;
    FakeBackend const* by;
  };

  void watch_keys() {
    std::vector<HeldPart> parts;
    for (std::shared_ptr<FakeBackend> const& backend : mesh.all_backends)
      for (FakeBackend::Row const& row : backend->rows)
        if (backend->up && row.end > mesh.sim.now) parts.push_back(HeldPart{row.from, row.to, backend.get()});
    std::sort(parts.begin(), parts.end(), [](HeldPart const& a, HeldPart const& b) { return a.from < b.from; });
    bool twice = false;
    std::uint32_t highest = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      twice = twice || (i > 0 && parts[i].from <= highest);
      highest = std::max(highest, parts[i].to);
    }
    if (!twice) {
      held_twice_since_.reset();
      return;
    }
    if (!held_twice_since_) held_twice_since_ = mesh.sim.now;
    longest_double_hold = std::max<Duration>(longest_double_hold, mesh.sim.now - *held_twice_since_);
  }

  std::optional<Instant> held_twice_since_;
};

}  // namespace banktide
