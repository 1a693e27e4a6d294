// Fault injection, driven by the seed: machines are killed, restarted and frozen,
// lose power and disks, links are cut, backends die, leave and are replaced, and
// operators make mistakes and send bursts of changes. Each fault extends the time
// until which faults count as active.
#pragma once

#include "simulation/sim_traffic.hpp"

namespace banktide {

class SimFaults : public SimTraffic {
 protected:
  explicit SimFaults(Scenario s) : SimTraffic(std::move(s)) {
    net_.before_reply = [this](SimProcess& p, std::uint8_t const kind) { return strike_before_reply(p, kind); };
  }

  static std::vector<std::string> const& kinds() {
    static std::vector<std::string> const all{"kill_node",
                                              "kill_herd",
                                              "kill_gateways",
                                              "roll_node",
                                              "freeze_node",
                                              "roll_registry",
                                              "roll_store",
                                              "kill_registry",
                                              "freeze_registry",
                                              "power_core",
                                              "power_all",
                                              "power_after_vote",
                                              "power_two_after_vote",
                                              "power_coordinator",
                                              "kill_between_rounds",
                                              "lose_disk",
                                              "lose_disk_after_vote",
                                              "stall_disk",
                                              "stall_disks",
                                              "cut_core",
                                              "cut_core_one",
                                              "cut_cell",
                                              "isolate",
                                              "isolate_one_way",
                                              "weather",
                                              "kill_backend",
                                              "replace_backend",
                                              "reuse_port",
                                              "reuse_port_naive",
                                              "reuse_port_intruder",
                                              "empty_service",
                                              "drain_backend",
                                              "drain_then_kill",
                                              "drain_then_freeze",
                                              "drain_then_cut",
                                              "drain_registry_dead",
                                              "freeze_backend",
                                              "hot_key",
                                              "bad_revision",
                                              "race",
                                              "storm"};
    return all;
  }

  void schedule_faults(Instant const end) {
    if (sim_.now >= end) return;
    std::vector<std::string> enabled;
    for (std::string const& k : kinds())
      if (scenario_.only.empty() || scenario_.only.contains(k)) enabled.push_back(k);
    if (scenario_.only.contains("roll_all") && fault_counts_["roll_all"] == 0) enabled = {"roll_all"};
    if (!enabled.empty()) {
      std::string const kind = enabled[sim_.chance() % enabled.size()];
      ++fault_counts_[kind];
      fault_kind_ = kind;
      fault_at_ = sim_.now;
      if (scenario_.verbose) log_info("sim_mishap", {{"kind", kind}, {"at_ms", at_ms()}});
      inject_fault(kind);
    }
    sim_.after(
        scenario_.fault_every / 2 + Duration(sim_.chance() % static_cast<std::uint64_t>(scenario_.fault_every.count())),
        [this, end] { schedule_faults(end); });
  }

  void extend_faults(Duration const d) { faults_until_ = std::max(faults_until_, sim_.now + d); }

  void inject_fault(std::string const& kind) {
    std::size_t const node = sim_.chance() % nodes_.size(), core = random_core(),
                      backend = sim_.chance() % backends_.size();
    Duration const duration = std::chrono::milliseconds(300 + sim_.chance() % 4000);
    extend_faults(duration + 100ms);
    inject_machine_fault(kind, node, core, duration);
    inject_core_fault(kind, core, duration);
    inject_link_fault(kind, core, duration);
    inject_backend_fault(kind, backend, core, duration);
    inject_operator_fault(kind, core);
    if (kind == "hot_key") {
      hot_key_active_ = true;
      sim_.after(duration, [this] { hot_key_active_ = false; });
    }
  }

  void inject_machine_fault(std::string const& kind, std::size_t const node, std::size_t const core,
                            Duration const duration) {
    if (kind == "kill_node") kill_node(node, duration);
    if (kind == "kill_herd") {
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (sim_.chance() % 3 == 0) kill_node(i, duration);
      for (std::size_t k = 0; k < registry_hosts_.size(); ++k)
        if (sim_.chance() % 3 == 0) kill_registry(k, duration);
    }
    if (kind == "kill_gateways")
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].gateway && nodes_[i].zone == registry_hosts_[core].zone) kill_node(i, duration);
    if (kind == "roll_node") restart_node(node);
    if (kind == "roll_registry") restart_registry(core);
    if (kind == "roll_store") restart_store(core);
    if (kind == "roll_all") {
      std::size_t at = 0;
      for (std::size_t i = 0; i < nodes_.size(); ++i) sim_.after(9s * at++, [this, i] { restart_node(i); });
      for (std::size_t k = 0; k < registry_hosts_.size(); ++k) {
        sim_.after(9s * at++, [this, k] { restart_registry(k); });
        sim_.after(9s * at++, [this, k] { restart_store(k); });
      }
      extend_faults(9s * at);
    }
    if (kind == "freeze_node") freeze(nodes_[node].process, duration);
    if (kind == "kill_registry") kill_registry(core, duration);
    if (kind == "freeze_registry") freeze(registry_hosts_[core].process, duration);
  }

  // ---- core machines: voters, their disks and the registries on the same machines

  void power_off(std::size_t const k, bool const wipe, Duration const down) {
    if (!voters_[k].process->alive) return;
    voters_[k].process->kill();
    if (wipe) voters_[k].disk.durable = VoterRecord{};
    kill_registry(k, down);
    sim_.after(down, [this, k] {
      if (!voters_[k].process->alive && !removed_machines_.contains(voters_[k].machine)) start_voter(k);
    });
  }

  // The next disk may only be lost once every voter is voting again.
  bool disk_loss_allowed() const {
    return std::all_of(voters_.begin(), voters_.end(), [](Voter const& v) {
      return v.process->alive && v.acceptor->phase() == BootstrapPhase::voting;
    });
  }

  struct PendingPowerLoss {
    std::set<std::size_t> voters;
    std::uint8_t kind = 0;
    bool wipe = false;
    Duration down{};
  };

  bool strike_before_reply(SimProcess& p, std::uint8_t const kind) {
    if (!pending_power_loss_ || kind != pending_power_loss_->kind) return false;
    for (std::size_t const k : pending_power_loss_->voters) {
      if (voters_[k].process.get() != &p) continue;
      bool const wipe = pending_power_loss_->wipe && disk_loss_allowed();
      Duration const down = pending_power_loss_->down;
      bool const before = sim_.chance() % 2 == 0;
      pending_power_loss_->voters.erase(k);
      if (before)
        power_off(k, wipe, down);
      else
        sim_.after(0s, [this, k, wipe, down] { power_off(k, wipe, down); });
      return before;
    }
    return false;
  }

  void on_accept_sent(SimProcess const& from) override {
    if (!kill_between_rounds_) return;
    for (std::size_t k = 0; k < registry_hosts_.size(); ++k)
      if (registry_hosts_[k].process.get() == &from) {
        kill_between_rounds_ = false;
        sim_.after(std::chrono::microseconds(sim_.chance() % 300), [this, k] { kill_registry(k, 1500ms); });
      }
  }

  void acknowledged(std::size_t const at) override {
    if (!kill_after_acknowledgement_) return;
    kill_after_acknowledgement_ = false;
    bool const wipe = disk_loss_allowed() && sim_.chance() % 2 == 0;
    sim_.after(0s, [this, at, wipe] { power_off(at, wipe, 2s); });
  }

  void inject_core_fault(std::string const& kind, std::size_t const core, Duration const duration) {
    if (kind == "power_core") power_off(core, false, duration);
    if (kind == "lose_disk" && disk_loss_allowed()) power_off(core, true, duration);
    if (kind == "power_all") {
      for (std::size_t k = 0; k < voters_.size(); ++k)
        power_off(k, false, duration + std::chrono::milliseconds(sim_.chance() % 1000));
      extend_faults(duration + 1100ms);
    }
    if (kind == "power_after_vote" || kind == "power_two_after_vote" || kind == "lose_disk_after_vote") {
      pending_power_loss_ = PendingPowerLoss{
          {core}, sim_.chance() % 2 ? Prepare::kind : Accept::kind, kind == "lose_disk_after_vote", duration};
      if (kind == "power_two_after_vote")
        pending_power_loss_->voters.insert((core + 1 + sim_.chance() % 3) % voters_.size());
      extend_faults(3s + duration);
      sim_.after(3s, [this] { pending_power_loss_.reset(); });
    }
    if (kind == "power_coordinator" || kind == "kill_between_rounds") {
      (kind == "power_coordinator" ? kill_after_acknowledgement_ : kill_between_rounds_) = true;
      extend_faults(4s);
      sim_.after(2s, [this] { kill_after_acknowledgement_ = kill_between_rounds_ = false; });
    }
    if (kind == "stall_disk") voters_[core].disk.stalled_until = sim_.now + duration;
    if (kind == "stall_disks")
      for (Voter& v : voters_)
        if (sim_.chance() % 4 != 0) v.disk.stalled_until = sim_.now + 2 * duration;
    if (kind == "stall_disks") extend_faults(2 * duration + 100ms);
  }

  // ---- links

  void inject_link_fault(std::string const& kind, std::size_t const core, Duration const duration) {
    std::vector<std::string> machines;
    for (Node const& n : nodes_) machines.push_back(n.machine);
    for (RegistryHost const& c : registry_hosts_) machines.push_back(c.machine);
    bool cuts = true;
    if (kind == "cut_core") {
      for (std::size_t i = 0; i < registry_hosts_.size(); ++i)
        for (std::size_t j = 0; j < registry_hosts_.size(); ++j)
          if ((i < 2) != (j < 2)) sim_.cut(registry_hosts_[i].machine, registry_hosts_[j].machine);
    } else if (kind == "cut_core_one") {
      for (std::size_t j = 0; j < registry_hosts_.size(); ++j) {
        if (j == core) continue;
        sim_.cut(registry_hosts_[core].machine, registry_hosts_[j].machine);
        sim_.cut(registry_hosts_[j].machine, registry_hosts_[core].machine);
      }
    } else if (kind == "cut_cell") {
      std::string const zone = registry_hosts_[core].zone;
      std::set<std::string> inside{registry_hosts_[core].machine};
      for (Node const& n : nodes_)
        if (n.zone == zone) inside.insert(n.machine);
      for (std::string const& a : machines)
        for (std::string const& b : machines)
          if (inside.contains(a) != inside.contains(b)) sim_.cut(a, b);
    } else if (kind == "isolate" || kind == "isolate_one_way") {
      isolate_machine(machines[sim_.chance() % machines.size()], machines, kind == "isolate", sim_.chance() % 2 == 0);
    } else {
      cuts = false;
    }
    if (cuts)
      for (std::string const& m : machines)
        if (sim_.has_cut(m)) mark_disturbed(m);
    if (cuts) sim_.after(duration, [this] { sim_.heal(); });
    if (kind == "weather") {
      sim_.unreliable_links = true;
      sim_.after(duration, [this] { sim_.unreliable_links = false; });
    }
  }

  void isolate_machine(std::string const& m, std::vector<std::string> const& machines, bool const both,
                       bool const out) {
    for (std::string const& other : machines) {
      if (other == m) continue;
      if (both || out) sim_.cut(m, other);
      if (both || !out) sim_.cut(other, m);
    }
  }

  // ---- backends

  void inject_backend_fault(std::string const& kind, std::size_t const backend, std::size_t const core,
                            Duration const duration) {
    Backend const b = backends_[backend];
    if (!b.alive || b.leaving) return;
    std::string const zone = nodes_[b.node].zone;
    if (kind == "kill_backend") {
      kill_backend(backend);
      sim_.after(duration, [this, b] { add_backend(b.service, b.node); });
    }
    if (kind == "empty_service") {
      for (std::size_t i = 0; i < backends_.size(); ++i)
        if (backends_[i].service == b.service && nodes_[backends_[i].node].zone == zone) kill_backend(i);
      sim_.after(duration, [this, b] { add_backend(b.service, b.node); });
    }
    if (kind.starts_with("drain_") || kind == "replace_backend") {
      add_backend(b.service, b.node);
      extend_faults(6s);
      std::shared_ptr<SimProcess> const p = nodes_[b.node].process;
      if (kind == "drain_registry_dead")
        for (std::size_t k = 0; k < registry_hosts_.size(); ++k)
          if (registry_hosts_[k].zone == zone) kill_registry(k, 5s);
      sim_.after(kind == "drain_registry_dead" ? 100ms : 0ms, [this, backend] { drain(backend); });
      Duration const soon = std::chrono::microseconds(sim_.chance() % 1500);
      if (kind == "drain_then_kill") sim_.after(soon, [this, b, duration] { kill_node(b.node, duration); });
      if (kind == "drain_then_freeze") sim_.after(soon, [this, p, duration] { freeze(p, duration); });
      if (kind == "drain_then_cut")
        sim_.after(soon, [this, b, duration] {
          std::vector<std::string> machines;
          for (Node const& n : nodes_) machines.push_back(n.machine);
          for (RegistryHost const& c : registry_hosts_) machines.push_back(c.machine);
          isolate_machine(nodes_[b.node].machine, machines, true, true);
          sim_.after(duration, [this] { sim_.heal(); });
        });
    }
    if (kind == "reuse_port") {
      kill_backend(backend);
      std::string const other = b.port % 2 ? path_routes_.begin()->second : keyed_service_;
      std::size_t const fresh = add_backend(other, b.node);
      backends_[fresh].port = b.port;
      add_backend(b.service, b.node);
    }
    if (kind == "reuse_port_naive" || kind == "reuse_port_intruder") {
      kill_backend(backend);
      add_backend(b.service, b.node);
      extend_faults(1200ms);
      std::string other = "intruder";
      for (auto const& [prefix, service] : path_routes_)
        if (kind == "reuse_port_naive" && service != b.service) other = service;
      sim_.after(400ms, [this, b, other] {
        std::size_t const fresh = add_backend(other, b.node, 700ms);
        backends_[fresh].port = b.port;
        backends_[fresh].accepts_misrouted = true;
      });
    }
    if (kind == "freeze_backend") {
      backends_[backend].frozen = true;
      mark_service_disturbed(b.service, zone);
      sim_.after(duration, [this, backend, b, zone] {
        backends_[backend].frozen = false;
        mark_service_disturbed(b.service, zone);
      });
    }
    (void)core;
  }

  // ---- operators: invalid revisions, races and bursts

  void inject_operator_fault(std::string const& kind, std::size_t const core) {
    if (kind == "bad_revision")
      for (auto const& [reg, body] : invalid_revisions()) {
        std::shared_ptr<SimProcess> const p = registry_hosts_[core].process;
        HttpRequest const q{"PUT", "/" + register_name(reg), {}, body};
        if (p->alive && !p->frozen) spawn(*p, put_bad_revision(registry_hosts_[core].registry, q));
      }
    if (kind == "race") {
      Revision const now = acknowledged_revisions_[0];
      for (int i = 0; i < 3; ++i) {
        change_note();
        put(random_core(), Register::routing, routing_.dump(), i < 2 ? std::optional<Revision>(now) : std::nullopt);
      }
      put_catalogue();
    }
    if (kind == "storm")
      for (int i = 0; i < 120; ++i)
        sim_.after(std::chrono::milliseconds(sim_.chance() % 1500), [this, i] {
          change_note();
          if (i % 6 == 5)
            put_catalogue();
          else
            put_routing();
        });
  }

  std::vector<std::pair<Register, std::string>> invalid_revisions() {
    Json unknown_service = catalogue_, unknown_zone = catalogue_, duplicate_slices = catalogue_,
         out_of_range_slices = catalogue_, unknown_target = routing_, wrong_type = routing_, missing_zone = routing_;
    unknown_service["cells"][deployment_.zones[0]]["nobody"] = Json::object();
    unknown_zone["cells"]["nowhere"] = Json::object();
    duplicate_slices["cells"][deployment_.zones[0]][keyed_service_]["slices"] = {{0, 5}};
    duplicate_slices["cells"][deployment_.zones[1]][keyed_service_]["slices"] = {{5, 9}};
    out_of_range_slices["cells"][deployment_.zones[0]][keyed_service_]["slices"] = {{0, 1023}};
    unknown_target["ways"].push_back({{"prefix", "/x"}, {"service", "nobody"}});
    wrong_type["services"][keyed_service_]["timeout_ms"] = "soon";
    missing_zone["cells"] = {"elsewhere"};
    std::string const duplicate_key = R"({"cells":["a"],"cells":["b"],"services":{},"ways":[]})",
                      truncated = routing_.dump().substr(0, 100);
    std::vector<std::pair<Register, std::string>> all{{Register::routing, ""},
                                                      {Register::routing, "not json"},
                                                      {Register::routing, duplicate_key},
                                                      {Register::routing, truncated},
                                                      {Register::routing, "[]"},
                                                      {Register::routing, unknown_target.dump()},
                                                      {Register::routing, wrong_type.dump()},
                                                      {Register::routing, std::string(300000, ' ')},
                                                      {Register::routing, std::string(5000, '[')},
                                                      {Register::catalogue, "{}"},
                                                      {Register::catalogue, unknown_service.dump()},
                                                      {Register::catalogue, unknown_zone.dump()},
                                                      {Register::catalogue, duplicate_slices.dump()},
                                                      {Register::catalogue, out_of_range_slices.dump()},
                                                      {Register::catalogue, "\xff\xfe"}};
    if (sim_.now - changed_[keyed_service_] > 8s && catalogue_["cells"].size() > 0 && !layouts_settled_)
      all.emplace_back(Register::routing, missing_zone.dump());
    return all;
  }

  Task<void> put_bad_revision(std::shared_ptr<Registry<SimProcess>> registry, HttpRequest q) {
    HttpReply const r = co_await registry->handle_operator_request(q);
    if (r.status != 503 && (r.status < 400 || r.status >= 500))
      history_.immediate_violations.push_back("a bad revision was taken: " + q.body.substr(0, 80) + ": " +
                                              std::to_string(r.status));
  }

  // ---- actions

  void kill_node(std::size_t const i, Duration const down) {
    if (!nodes_[i].process->alive) return;
    mark_disturbed(nodes_[i].machine);
    nodes_[i].process->kill();
    sim_.after(down, [this, i] {
      if (!nodes_[i].process->alive && !removed_machines_.contains(nodes_[i].machine)) start_node(i);
    });
  }

  // As in production: a node that is told to leave exits once it is idle and its
  // departure has propagated, at the latest after 5.5 s.
  void restart_node(std::size_t const i) {
    Node& n = nodes_[i];
    if (!n.process->alive || n.process->frozen || n.rolling) return;
    mark_disturbed(n.machine);
    n.proxy->leave();
    n.rolling = true;
    extend_faults(7s);
    wait_for_exit(i, n.process->incarnation, sim_.now);
  }
  void wait_for_exit(std::size_t const i, std::uint64_t const run, Instant const told_at) {
    Node& n = nodes_[i];
    if (n.process->incarnation != run) return;
    Duration const waited = sim_.now - told_at;
    if (!n.process->alive || waited >= 5500ms ||
        (n.proxy->idle() && (waited > 2500ms || broken_on_purpose("leaves_at_once")))) {
      n.process->kill();
      sim_.after(300ms, [this, i, run] {
        if (nodes_[i].process->incarnation == run && !removed_machines_.contains(nodes_[i].machine)) start_node(i);
      });
      return;
    }
    sim_.after(20ms, [this, i, run, told_at] { wait_for_exit(i, run, told_at); });
  }

  void kill_registry(std::size_t const i, Duration const down) {
    if (!registry_hosts_[i].process->alive) return;
    mark_disturbed(registry_hosts_[i].machine);
    registry_hosts_[i].process->kill();
    sim_.after(down, [this, i] {
      if (!registry_hosts_[i].process->alive && !removed_machines_.contains(registry_hosts_[i].machine))
        start_registry(i);
    });
  }
  void restart_registry(std::size_t const i) {
    registry_hosts_[i].registry->leave();
    sim_.after(1s, [this, i] { kill_registry(i, 300ms); });
    extend_faults(1500ms);
  }
  void restart_store(std::size_t const i) {
    if (!voters_[i].process->alive) return;
    voters_[i].process->kill();
    extend_faults(500ms);
    sim_.after(300ms, [this, i] {
      if (!voters_[i].process->alive && !removed_machines_.contains(voters_[i].machine)) start_voter(i);
    });
  }

  void freeze(std::shared_ptr<SimProcess> const& p, Duration const down) {
    if (!p->alive || p->frozen) return;
    mark_disturbed(p->machine);
    p->freeze();
    extend_faults(down);
    sim_.after(down, [p] {
      if (p->alive) p->thaw();
    });
  }

  // The final, permanent fault: nobody repairs it. Operators may respond to a lost zone
  // with a new catalogue; nothing else is done.
  void inject_permanent_fault(std::string const& kind) {
    ++fault_counts_[kind];
    std::size_t const core = random_core();
    std::string const machine = registry_hosts_[core].machine, zone = registry_hosts_[core].zone;
    if (kind == "core_gone" || kind == "cell_gone") {
      removed_machines_.insert(machine);
      power_off(core, false, 0s);
      kill_registry(core, 0s);
    }
    if (kind == "disk_lost") power_off(core, true, 500ms);
    if (kind == "node_gone") {
      std::size_t const i = sim_.chance() % nodes_.size();
      removed_machines_.insert(nodes_[i].machine);
      nodes_[i].process->kill();
    }
    if (kind != "cell_gone") return;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].zone != zone) continue;
      removed_machines_.insert(nodes_[i].machine);
      nodes_[i].process->kill();
      for (std::size_t b = 0; b < backends_.size(); ++b)
        if (backends_[b].node == i) kill_backend(b);
    }
    std::size_t const other = core == 0 ? 1 : 0;
    sim_.after(3s, [this, other] {
      std::uint64_t const slices = routing_["services"][keyed_service_]["key"]["slices"];
      catalogue_ = {{"cells", {{deployment_.zones[other], {{keyed_service_, {{"slices", {{0, slices - 1}}}}}}}}}};
      put((other + 2) % registry_hosts_.size(), Register::catalogue, catalogue_.dump(), std::nullopt, true);
    });
  }

  void repair_all() {
    sim_.heal();
    sim_.unreliable_links = false;
    hot_key_active_ = false;
    pending_power_loss_.reset();
    kill_after_acknowledgement_ = kill_between_rounds_ = false;
    for (Backend& b : backends_) b.frozen = false;
    for (std::size_t i = 0; i < registry_hosts_.size(); ++i) {
      if (registry_hosts_[i].process->frozen) registry_hosts_[i].process->thaw();
      voters_[i].disk.stalled_until = {};
      if (!registry_hosts_[i].process->alive) start_registry(i);
      if (!voters_[i].process->alive) start_voter(i);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].process->frozen) nodes_[i].process->thaw();
      if (!nodes_[i].process->alive) start_node(i);
    }
    for (BackendLocation const& p : deployment_.backends)
      if (healthy_backends(p.service, deployment_.zones[p.zone]) == 0)
        add_backend(p.service, node_in(deployment_.zones[p.zone], 0));
  }

  std::map<std::string, std::uint64_t> fault_counts_;
  std::set<std::string> removed_machines_;
  std::optional<PendingPowerLoss> pending_power_loss_;
  bool kill_between_rounds_ = false, kill_after_acknowledgement_ = false;
};

}  // namespace banktide
