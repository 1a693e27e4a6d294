// Simulated callers and operators of the fleet, and periodic samples of its state.
// Callers use any node, including failing ones, and some hang up. Operators move
// slices, open and close services, change mappings and write concurrently.
#pragma once

#include "simulation/sim_machines.hpp"

namespace banktide {

class SimTraffic : public SimMachines {
 protected:
  explicit SimTraffic(Scenario s)
      : SimMachines(std::move(s)),
        routing_(Json::parse(deployment_.routing)),
        catalogue_(Json::parse(deployment_.catalogue)) {
    for (auto const& [name, service] : routing_["services"].items())
      if (service.contains("key")) keyed_service_ = name;
    for (Json const& w : routing_["ways"]) path_routes_[w["prefix"]] = w["service"];
    path_routes_["/promo"] = "promo";
    net_.on_send = [this](SimProcess const& from, Address const& to, std::uint8_t const kind, Bytes const& raw) {
      if (kind == Accept::kind) on_accept_sent(from);
      if (kind != ForwardCall::kind) return;
      Result<ForwardCall> const c = unpack<ForwardCall>(raw);
      if (c)
        history_.attempts.push_back(AttemptRecord{sim_.now, header_value(c->request, "call-id"), from.machine,
                                                  c->instance, connected_both_ways(from.machine, net_.machine_of[to])});
    };
  }
  virtual ~SimTraffic() = default;
  virtual void on_accept_sent(SimProcess const&) {}
  virtual void acknowledged(std::size_t) {}

  // ---- callers

  void schedule_calls(std::string const& mix) {
    std::vector<std::string> parts;
    std::stringstream in(mix);
    for (std::string p; std::getline(in, p, ':');) parts.push_back(p);
    Duration const gap = std::chrono::microseconds(1000000 * scenario_.rate_divisor / std::stoull(parts[3]));
    sim_.after(gap, [this, mix, parts] {
      if (!traffic_enabled_) return;
      schedule_calls(mix);
      call_once(parts);
    });
  }

  void call_once(std::vector<std::string> const& parts) {
    std::uint64_t const keys = std::stoull(parts[4]) / 10;
    std::size_t const at = sim_.chance() % nodes_.size();
    Node& n = nodes_[at];
    CallRecord c;
    c.id = parts[0] + "-" + std::to_string(++calls_);
    c.service = path_routes_[parts[2]];
    c.zone = n.zone;
    c.machine = n.machine;
    c.repeatable = parts[1] == "GET";
    c.sent = sim_.now;
    if (keys > 0) c.key = "k" + std::to_string(hot_key_active_ && sim_.chance() % 2 ? 0 : sim_.chance() % keys);
    if (sim_.now - fault_at_ < 3s) c.after_fault = fault_kind_;
    if (!n.process->alive) {
      c.outcome = "unsent";
      history_.calls[c.id] = c;
      return;
    }
    update_expectations(at, c, true);
    HttpRequest q{
        parts[1], parts[2] + "/" + c.id, {{"call-id", c.id}}, parts[1] == "POST" ? "{\"id\":\"" + c.id + "\"}" : ""};
    if (keys > 0) q.headers.push_back({"x-key", c.key});
    history_.calls[c.id] = c;
    std::string const want = c.id + "/" + std::to_string(digest_of(q.body)) + "/" + q.target;
    std::string const id = c.id;
    std::shared_ptr<SimProcess> const p = n.process;
    std::shared_ptr<Proxy<SimProcess, SimEdge>> const proxy = n.proxy;
    p->run([this, p, proxy, q, id, want, at] {
      history_.calls[id].received_at = sim_.now;
      spawn(*p, run_call(proxy, q, id, want, at));
    });
    if (sim_.chance() % 100 == 0)
      sim_.after(std::chrono::milliseconds(sim_.chance() % 10), [this, id] { set_outcome(id, "hung-up"); });
    sim_.after(5s, [this, id, at] {
      if (!history_.calls[id].outcome.empty()) return;
      update_expectations(at, history_.calls[id], false);
      set_outcome(id, "lost");
    });
  }

  void set_outcome(std::string const& id, std::string const& outcome) {
    CallRecord& seen = history_.calls[id];
    if (seen.outcome.empty()) seen.outcome = outcome;
  }

  Task<void> run_call(std::shared_ptr<Proxy<SimProcess, SimEdge>> proxy, HttpRequest q, std::string id,
                      std::string want, std::size_t at) {
    HttpReply const r = co_await proxy->call(std::move(q));
    CallRecord& c = history_.calls[id];
    if (!c.outcome.empty()) co_return;
    c.answered = sim_.now;
    c.status = r.status;
    c.correct = r.status == 200 && r.body == want;
    for (Header const& h : r.headers) {
      if (h.name == "banktide-outcome") c.outcome = h.value;
      if (h.name == "Retry-After") c.retry_after = true;
    }
    if (c.outcome != "answered") c.reason = r.body;
    update_expectations(at, c, false);
    if (scenario_.verbose && c.outcome != "answered")
      log_info("sim_call",
               {{"id", id}, {"outcome", c.outcome}, {"cell", c.zone}, {"body", r.body}, {"at_ms", at_ms()}});
  }

  // Whether the latest revisions that the operators sent are the ones acknowledged last.
  // Once only notes change, an older routing revision makes no difference.
  bool matches_operator_intent() const {
    for (std::size_t i = layouts_settled_ ? 1 : 0; i < 2; ++i)
      if (latest_put_[i] >= history_.revisions.size() ||
          history_.revisions[latest_put_[i]].bytes != acknowledged_bytes_[i])
        return false;
    return pending_puts_.empty();
  }

  // A call may fail up to 2 s after the fault behind it has ended, and its target may
  // then be ejected for 4 s.
  static constexpr Duration recovery_time = 7s;

  // Determines from the injected faults what a correct mesh must do with this call, once
  // when the call starts and again when it ends.
  void update_expectations(std::size_t const at, CallRecord& c, bool const begins) {
    Node const& n = nodes_[at];
    bool must_stay_now = false, must_serve_now = false;
    Duration const unchanged = sim_.now - std::max(changed_[c.service], diverged_at_);
    bool const up = matches_operator_intent() && c.service != "promo" && undisturbed_for(n.machine) >= 4s &&
                    undisturbed_for(core_machine_of(n.zone)) >= 4s;
    bool closed = false;
    for (Json const& name : catalogue_.value("closed", Json::array())) closed = closed || name == c.service;
    if (up && !closed && c.service != keyed_service_ && unchanged > 8s) {
      std::set<std::string> allowed, named;
      for (auto const& [zone, services] : catalogue_["cells"].items())
        if (services.contains(c.service)) named.insert(zone);
      for (std::string const& zone : deployment_.zones)
        if (named.empty() || named.contains(zone)) allowed.insert(zone);
      auto const can_serve = [&](std::string const& zone) {
        return allowed.contains(zone) && zone_undisturbed(zone, recovery_time) &&
               service_undisturbed_for(c.service, zone) > recovery_time && healthy_backends(c.service, zone) > 0;
      };
      must_stay_now = can_serve(n.zone);
      bool const none = !allowed.contains(n.zone) ||
                        (healthy_backends(c.service, n.zone) == 0 && service_undisturbed_for(c.service, n.zone) > 6s);
      bool elsewhere = none, any_zone = false;
      for (std::string const& zone : deployment_.zones) {
        if (zone == n.zone) continue;
        elsewhere = elsewhere && zone_undisturbed(zone, 4s) && service_undisturbed_for(c.service, zone) > 4s;
        any_zone = any_zone || can_serve(zone);
      }
      must_serve_now = must_stay_now || (elsewhere && any_zone);
    }
    if (up && !closed && c.service == keyed_service_ && unchanged > 14s) {
      std::uint64_t const slice =
          digest_of(c.key) % routing_["services"][keyed_service_]["key"]["slices"].get<std::uint64_t>();
      bool cores = true;
      for (RegistryHost const& k : registry_hosts_) cores = cores && undisturbed_for(k.machine) > 14s;
      for (std::string const& zone : deployment_.zones) {
        bool here = false;
        if (catalogue_["cells"].contains(zone) && catalogue_["cells"][zone].contains(keyed_service_))
          for (Json const& range : catalogue_["cells"][zone][keyed_service_]["slices"])
            here = here || (range[0].get<std::uint64_t>() <= slice && slice <= range[1].get<std::uint64_t>());
        if (here && cores && zone_undisturbed(zone, 14s) && service_undisturbed_for(keyed_service_, zone) > 14s &&
            healthy_backends(keyed_service_, zone) > 0)
          must_serve_now = true;
      }
    }
    bool const no_recent_fault = c.service != "promo" && sim_.now >= faults_until_ + 15s && unchanged > 15s;
    if (begins) {
      c.must_stay = must_stay_now;
      c.must_serve = must_serve_now;
      c.no_recent_fault = no_recent_fault;
    } else {
      c.must_stay = c.must_stay && must_stay_now;
      c.must_serve = c.must_serve && must_serve_now;
      c.no_recent_fault = c.no_recent_fault && no_recent_fault;
    }
  }

  // ---- operators

  void put(std::size_t const at, Register const reg, std::string const& bytes,
           std::optional<Revision> const match = std::nullopt, bool const retry = false) {
    RegistryHost& c = registry_hosts_[at];
    RevisionRecord r;
    r.reg = reg;
    r.bytes = bytes;
    r.sent = sim_.now;
    r.may_be_applied = true;
    r.if_match = match;
    latest_put_[static_cast<std::size_t>(reg)] = history_.revisions.size();
    history_.revisions.push_back(r);
    std::size_t const n = history_.revisions.size() - 1;
    pending_puts_.insert(n);
    HttpRequest q{"PUT", "/" + register_name(reg), {}, bytes};
    if (match) q.headers.push_back({"If-Match", "\"" + std::to_string(*match) + "\""});
    std::shared_ptr<SimProcess> const p = c.process;
    std::shared_ptr<Registry<SimProcess>> const registry = c.registry;
    if (!p->alive) history_.revisions[n].may_be_applied = false;
    sim_.after(8s, [this, n] { pending_puts_.erase(n); });
    p->run([this, p, registry, q, n, at] { spawn(*p, put_once(registry, q, n, at)); });
    if (retry)
      sim_.after(1500ms, [this, at, reg, bytes, n] {
        if (history_.revisions[n].revision == 0) put((at + 1) % registry_hosts_.size(), reg, bytes, std::nullopt, true);
      });
  }

  Task<void> put_once(std::shared_ptr<Registry<SimProcess>> registry, HttpRequest q, std::size_t n, std::size_t at) {
    HttpReply const reply = co_await registry->handle_operator_request(std::move(q));
    RevisionRecord& r = history_.revisions[n];
    r.answered = sim_.now;
    pending_puts_.erase(n);
    if (reply.status == 200) {
      r.revision = Json::parse(reply.body)["revision"].get<Revision>();
      r.may_be_applied = false;
      std::size_t const i = static_cast<std::size_t>(r.reg);
      if (r.revision > acknowledged_revisions_[i]) acknowledged_bytes_[i] = r.bytes;
      acknowledged_revisions_[i] = std::max(acknowledged_revisions_[i], r.revision);
      acknowledged(at);
    } else if (reply.status != 504) {
      r.may_be_applied = false;
    }
  }

  std::size_t random_core() { return sim_.chance() % registry_hosts_.size(); }
  void put_routing() { put(random_core(), Register::routing, routing_.dump()); }
  void put_catalogue() { put(random_core(), Register::catalogue, catalogue_.dump()); }
  void change_note() { routing_["note"] = "revision " + std::to_string(++sent_); }

  // Assigns the keyed service's slices: split between two zones, all in one of them, or
  // not listed in the catalogue.
  void place_keyed_slices(std::uint64_t const style) {
    changed_[keyed_service_] = sim_.now;
    std::uint64_t const slices = routing_["services"][keyed_service_]["key"]["slices"],
                        cut = 1 + sim_.chance() % (slices - 1);
    for (auto& [zone, services] : catalogue_["cells"].items()) services.erase(keyed_service_);
    std::string const& a = deployment_.zones[style % 2];
    std::string const& b = deployment_.zones[1 - style % 2];
    if (style == 4) return;
    if (style >= 2) {
      catalogue_["cells"][a][keyed_service_]["slices"] = {{0, slices - 1}};
      return;
    }
    catalogue_["cells"][a][keyed_service_]["slices"] = {{0, cut - 1}};
    catalogue_["cells"][b][keyed_service_]["slices"] = {{cut, slices - 1}};
  }

  void change_something() {
    change_note();
    std::vector<std::string> open;
    for (auto const& [name, s] : routing_["services"].items())
      if (name != keyed_service_ && name != "promo") open.push_back(name);
    std::string const service = open[sim_.chance() % open.size()];
    std::uint64_t const what = sim_.chance() % 20;
    if (what < 10) {
      put_routing();
    } else if (what < 12) {
      routing_["services"][service]["timeout_ms"] = 1500 + sim_.chance() % 500;
      put_routing();
    } else if (what < 14) {
      if (routing_["services"].contains("promo")) {
        routing_["services"].erase("promo");
        routing_["ways"].erase(routing_["ways"].size() - 1);
      } else {
        routing_["services"]["promo"] = {{"timeout_ms", 1500}};
        routing_["ways"].push_back({{"prefix", "/promo"}, {"service", "promo"}});
      }
      put_routing();
    } else if (what < 17) {
      place_keyed_slices(sim_.chance() % 5);
      put_catalogue();
    } else if (what == 17) {
      changed_[service] = sim_.now;
      bool named = false;
      for (auto& [zone, services] : catalogue_["cells"].items()) named = services.erase(service) > 0 || named;
      std::size_t const first = sim_.chance() % deployment_.zones.size();
      if (!named)
        for (std::size_t const k : {first, (first + 1) % deployment_.zones.size()})
          catalogue_["cells"][deployment_.zones[k]][service] = Json::object();
      put_catalogue();
    } else if (what == 18) {
      changed_[service] = sim_.now;
      catalogue_["closed"] = {service};
      put_catalogue();
      sim_.after(1500ms, [this, service] {
        if (layouts_settled_) return;
        changed_[service] = sim_.now;
        catalogue_["closed"] = Json::array();
        put_catalogue();
      });
    } else {
      changed_[keyed_service_] = sim_.now;
      place_keyed_slices(4);
      put_catalogue();
      sim_.after(700ms, [this] {
        if (layouts_settled_) return;
        changed_[keyed_service_] = sim_.now;
        Json& slices = routing_["services"][keyed_service_]["key"]["slices"];
        slices = slices == 32 ? 48 : 32;
        change_note();
        put_routing();
      });
      sim_.after(2500ms, [this] {
        if (layouts_settled_) return;
        place_keyed_slices(0);
        put_catalogue();
      });
    }
  }

  void schedule_revisions() {
    if (!traffic_enabled_) return;
    if (layouts_settled_) {
      change_note();
      put_routing();
    } else {
      change_something();
    }
    sim_.after(std::chrono::milliseconds(400 + sim_.chance() % 1600), [this] { schedule_revisions(); });
  }

  // From here on only notes change, so that any unserved call is a violation.
  void restore_layouts() {
    layouts_settled_ = true;
    for (auto const& [prefix, service] : path_routes_) changed_[service] = sim_.now;
    routing_ = Json::parse(deployment_.routing);
    catalogue_ = Json::parse(deployment_.catalogue);
    change_note();
    restore_step(0, std::nullopt);
  }
  // Sends the revisions one after another, each after the previous one was acknowledged:
  // a revision sent earlier could be applied first. Starts again if one isn't accepted.
  void restore_step(std::size_t step, std::optional<std::size_t> const sent) {
    if (!traffic_enabled_) return;
    if (sent && pending_puts_.contains(*sent)) {
      sim_.after(100ms, [this, step, sent] { restore_step(step, sent); });
      return;
    }
    if (sent) step = history_.revisions[*sent].revision > 0 ? step + 1 : 0;
    if (step == 3) return;
    put(random_core(), step == 1 ? Register::routing : Register::catalogue,
        step == 0   ? R"({"cells":{}})"
        : step == 1 ? routing_.dump()
                    : catalogue_.dump());
    std::size_t const now = history_.revisions.size() - 1;
    sim_.after(500ms, [this, step, now] { restore_step(step, now); });
  }

  void read_back() {
    std::size_t at = random_core();
    while (!registry_hosts_[at].process->alive) at = (at + 1) % registry_hosts_.size();
    RegistryHost& c = registry_hosts_[at];
    for (Register const reg : operator_registers) spawn(*c.process, read_once(c.registry, reg));
    sim_.run_until(sim_.now + 3s);
  }
  Task<void> read_once(std::shared_ptr<Registry<SimProcess>> registry, Register reg) {
    HttpRequest const q{"GET", "/" + register_name(reg), {}, ""};
    HttpReply const r = co_await registry->handle_operator_request(q);
    history_.readback[static_cast<std::size_t>(reg)] = r.body;
    history_.readback_good[static_cast<std::size_t>(reg)] = r.status == 200;
  }

  // ---- samples

  void schedule_samples() {
    if (!traffic_enabled_) return;
    if (pending_puts_.empty() && !matches_operator_intent()) diverged_at_ = sim_.now;
    for (Node& n : nodes_) {
      std::vector<InForceSample>& seen = history_.in_force_samples[n.machine];
      InForceSample f{sim_.now, seen.empty() ? std::array<Revision, 2>{} : seen.back().in_force, true};
      bool const up = n.process->alive && n.proxy->ready();
      if (up) {
        f.in_force = {n.proxy->rules().routing, n.proxy->rules().catalogue_revision};
        f.excused = !can_receive_updates(n);
      }
      seen.push_back(f);
      if (!up || n.process->frozen || n.rolling || sim_.has_cut(n.machine) || sim_.unreliable_links)
        mark_disturbed(n.machine);
    }
    for (std::size_t k = 0; k < registry_hosts_.size(); ++k)
      if (!registry_hosts_[k].process->alive || registry_hosts_[k].process->frozen || !voters_[k].process->alive ||
          voters_[k].disk.stalled_until > sim_.now || sim_.has_cut(registry_hosts_[k].machine) || sim_.unreliable_links)
        mark_disturbed(registry_hosts_[k].machine);
    sim_.after(50ms, [this] { schedule_samples(); });
  }

  std::string at_ms() const { return std::to_string(as_ms(sim_.now.time_since_epoch()) - 3600000); }

  Json routing_, catalogue_;  // as last intended by the operators
  std::string keyed_service_;
  std::map<std::string, std::string> path_routes_;
  std::map<std::string, Instant> changed_;  // by service: its last change other than a note
  std::array<Revision, 2> acknowledged_revisions_{};
  std::array<std::string, 2> acknowledged_bytes_;
  std::array<std::size_t, 2> latest_put_{};
  std::set<std::size_t> pending_puts_;
  Instant diverged_at_{};  // the last time at which the state differed from the operators' intent
  std::uint64_t calls_ = 0, sent_ = 1;
  std::string fault_kind_;
  Instant fault_at_{};
  bool traffic_enabled_ = false, hot_key_active_ = false, layouts_settled_ = false;
};

}  // namespace banktide
