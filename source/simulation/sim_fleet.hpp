// A simulated deployment: the real registry, voter and node code on simulated
// machines, stand-in callers, backends and operators, and mishaps drawn from
// the seed. `run` plays a scenario and hands back what was seen.
#pragma once

#include "programs/deployment.hpp"
#include "programs/proxy.hpp"
#include "simulation/history.hpp"
#include "simulation/sim_world.hpp"

namespace banktide {

struct Scenario {
  std::uint64_t seed = 1;
  std::string deployment = "kibble";
  Duration faults_for = 30s;
  Duration fault_every = 2500ms;
  std::set<std::string> only;  // kinds of mishap; empty: all
  std::uint64_t rate_divisor = 10;
  bool verbose = false;
};

// The node's way to the backends of its simulated machine.
struct SimEdge {
  using Done = std::function<void(Result<HttpReply>)>;
  std::function<void(std::uint16_t, HttpRequest, Instant, Done)> serve;
  std::function<bool(std::uint16_t)> taken;
  SimProcess* process = nullptr;

  Task<bool> listens(std::uint16_t const port) {
    co_await sleep_for(*process, 200us);
    co_return taken(port);
  }

  Task<Result<HttpReply>> run(std::uint16_t const port, HttpRequest q, Instant const deadline) {
    using Shot = OneShot<SimProcess, Result<HttpReply>>;
    std::shared_ptr<Shot> shot = std::make_shared<Shot>(*process);
    std::weak_ptr<Shot> weak = shot;
    std::weak_ptr<SimProcess> alive = process->weak_from_this();
    Done const done = [weak, alive](Result<HttpReply> r) {
      std::shared_ptr<SimProcess> const mine = alive.lock();
      if (mine) mine->run([weak, r = std::move(r)] {
        if (std::shared_ptr<Shot> const s = weak.lock()) s->give(r);
      });
    };
    serve(port, std::move(q), deadline, done);
    std::optional<Result<HttpReply>> got = co_await shot->wait(deadline);
    if (got) co_return std::move(*got);
    co_return mishap("call_backend", "", "deadline", Proof::unknown);
  }
};
static_assert(BackendEdge<SimEdge>);

class SimFleet {
 public:
  explicit SimFleet(Scenario s) : scenario_(std::move(s)), sim_(scenario_.seed), net_(sim_), d_(scenario_.deployment == "kibble" ? kibble() : nilewise()) { driver_ = process("driver", "driver:1"); }
  SimFleet(SimFleet const&) = delete;
  ~SimFleet() {
    for (auto& [address, p] : net_.at) p->kill();
    for (std::shared_ptr<SimProcess> const& p : grave_) p->kill();
    sim_.clear();
    sim_.settle();
  }

  History run() {
    build();
    start_ = sim_.now;
    sim_.run_until(start_ + 6s);
    put(0, Register::routing, d_.routing, true);
    sim_.run_until(sim_.now + 1s);
    put(1, Register::catalogue, d_.catalogue, true);
    sim_.run_until(sim_.now + 3s);
    calling_ = true;
    for (std::string const& m : d_.mix) keep_calling(m);
    keep_sampling();
    keep_sending_revisions();
    Instant const faults_end = sim_.now + scenario_.faults_for;
    if (scenario_.fault_every > 0s) sim_.after(2s, [this, faults_end] { keep_failing(faults_end); });
    sim_.run_until(faults_end);
    repair_all();
    history_.quiet_from = sim_.now;
    sim_.run_until(sim_.now + 20s);
    calling_ = false;
    sim_.run_until(sim_.now + 6s);
    read_back();
    collect_extras();
    return history_;
  }

  std::map<std::string, std::uint64_t> const& mishaps() const { return counted_; }

 private:
  struct Voter {
    std::string machine;
    Address address;
    SimDisk disk;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<Acceptor<SimProcess, SimDisk>> acceptor;
    Desk desk;
  };
  struct Control {
    std::string machine, cell, id;
    Address address;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<Registry<SimProcess>> registry;
    std::shared_ptr<Desk> desk;
  };
  struct Node {
    std::string machine, cell, id;
    Address address;
    bool gateway = false;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<SimEdge> edge;
    std::shared_ptr<Proxy<SimProcess, SimEdge>> proxy;
    std::shared_ptr<Desk> desk;
    Instant started{}, excused{};
    bool rolling = false;
    std::size_t seen_extras = 0;
  };
  struct Backend {
    std::string service, instance;
    std::size_t node = 0;
    std::uint16_t port = 0;
    bool alive = true, leaving = false, frozen = false;
    bool naive = false;  // runs whatever comes, without a look at whom it is for
    std::uint64_t life = 0;
  };

  std::shared_ptr<SimProcess> process(std::string const& machine, Address const& address) {
    auto const old = net_.at.find(address);
    if (old != net_.at.end()) {
      old->second->kill();
      grave_.push_back(old->second);
    }
    std::shared_ptr<SimProcess> p = std::make_shared<SimProcess>(sim_, net_, machine, address, ++runs_);
    net_.at[address] = p;
    net_.machine_of[address] = machine;
    return p;
  }

  void build() {
    std::vector<Address> stores, registries;
    for (std::size_t i = 0; i < d_.cells.size(); ++i) {
      stores.push_back("store-" + std::to_string(i) + ":1");
      registries.push_back("registry-" + std::to_string(i) + ":1");
    }
    voters_.resize(d_.cells.size());
    controls_.resize(d_.cells.size());
    voter_addresses_ = stores;
    registry_addresses_ = registries;
    std::size_t n = 0;
    for (std::size_t i = 0; i < d_.cells.size(); ++i) {
      std::string const core = "core-" + std::to_string(i);
      voters_[i].machine = core;
      voters_[i].address = stores[i];
      start_voter(i);
      controls_[i].machine = core;
      controls_[i].cell = d_.cells[i];
      controls_[i].id = "registry-" + std::to_string(i);
      controls_[i].address = registries[i];
      start_control(i);
      for (std::size_t k = 0; k < d_.nodes[i]; ++k) {
        Node node;
        node.machine = "app-" + std::to_string(n);
        node.cell = d_.cells[i];
        node.id = "node-" + std::to_string(n);
        node.address = "node-" + std::to_string(n) + ":1";
        node.gateway = k < 2;
        nodes_.push_back(node);
        ++n;
      }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
    std::vector<std::size_t> placed(d_.cells.size(), 0);
    for (BackendPlace const& b : d_.backends) {
      std::vector<std::size_t> in_cell;
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].cell == d_.cells[b.cell]) in_cell.push_back(i);
      add_backend(b.service, in_cell[placed[b.cell]++ % in_cell.size()]);
    }
  }

  void start_voter(std::size_t const i) {
    Voter& v = voters_[i];
    bury(v.acceptor);
    v.process = process(v.machine, v.address);
    v.disk.process = v.process.get();
    v.acceptor = std::make_shared<Acceptor<SimProcess, SimDisk>>(*v.process, v.disk, voter_addresses_, i);
    if (!v.acceptor->load()) std::abort();
    std::shared_ptr<Desk> desk = std::make_shared<Desk>();
    bury(desk);
    v.acceptor->attach(*desk);
    v.process->serve(*desk);
    spawn(*v.process, v.acceptor->settle());
  }
  void start_control(std::size_t const i) {
    Control& c = controls_[i];
    bury(c.registry);
    bury(c.desk);
    c.process = process(c.machine, c.address);
    std::vector<Address> seeds;
    for (Address const& a : registry_addresses_)
      if (a != c.address) seeds.push_back(a);
    c.registry = std::make_shared<Registry<SimProcess>>(*c.process, RegistrySettings{c.id, c.cell, c.address, seeds, voter_addresses_});
    c.desk = std::make_shared<Desk>();
    c.registry->start(*c.desk);
    c.process->serve(*c.desk);
  }
  void start_node(std::size_t const i) {
    Node& n = nodes_[i];
    bury(n.proxy);
    bury(n.desk);
    bury(n.edge);
    n.process = process(n.machine, n.address);
    n.edge = std::make_shared<SimEdge>();
    n.edge->process = n.process.get();
    n.edge->serve = [this, i](std::uint16_t const port, HttpRequest q, Instant const deadline, SimEdge::Done done) { serve(i, port, std::move(q), deadline, std::move(done)); };
    n.edge->taken = [this, i](std::uint16_t const port) { return std::any_of(backends_.begin(), backends_.end(), [&](Backend const& b) { return b.node == i && b.port == port && b.alive; }); };
    ProxySettings s{n.id, n.cell, n.address, n.gateway, {registry_addresses_[0], registry_addresses_[1], registry_addresses_[2]}};
    n.proxy = std::make_shared<Proxy<SimProcess, SimEdge>>(*n.process, *n.edge, s);
    n.desk = std::make_shared<Desk>();
    n.proxy->start(*n.desk);
    n.process->serve(*n.desk);
    n.started = sim_.now;
    n.rolling = false;
    n.seen_extras = 0;
  }
  template <class T>
  void bury(std::shared_ptr<T> const& old) {
    if (old) remains_.push_back(old);
  }

  // ---- backends

  std::size_t add_backend(std::string const& service, std::size_t const node, Duration const first_beat = 0s) {
    Backend b;
    b.service = service;
    b.instance = service + "-" + std::to_string(++instances_);
    b.node = node;
    b.port = static_cast<std::uint16_t>(next_port_++);
    b.life = ++runs_;
    backends_.push_back(b);
    std::size_t const at = backends_.size() - 1;
    std::uint64_t const life = b.life;
    if (first_beat == 0s) keep_beating(at, life);
    else sim_.after(first_beat, [this, at, life] { keep_beating(at, life); });
    return at;
  }

  void keep_beating(std::size_t const i, std::uint64_t const life) {
    Backend& b = backends_[i];
    if (!b.alive || b.life != life) return;
    Node& n = nodes_[b.node];
    if (!b.frozen && n.process->alive && !n.process->frozen) n.proxy->beat(Json{{"service", b.service}, {"instance", b.instance}, {"port", b.port}, {"burden", 0}, {"leaving", b.leaving}}.dump());
    sim_.after(500ms, [this, i, life] { keep_beating(i, life); });
  }

  void serve(std::size_t const node, std::uint16_t const port, HttpRequest q, Instant const deadline, std::function<void(Result<HttpReply>)> done) {
    sim_.after(200us, [this, node, port, q = std::move(q), deadline, done] {
      for (std::size_t i = 0; i < backends_.size(); ++i) {
        if (backends_[i].node != node || backends_[i].port != port || !backends_[i].alive) continue;
        run_backend(i, q, deadline, done);
        return;
      }
      done(mishap("connect", "", "refused", Proof::not_run));
    });
  }

  void run_backend(std::size_t const i, HttpRequest const& q, Instant const deadline, std::function<void(Result<HttpReply>)> const& done) {
    Backend& b = backends_[i];
    if (b.frozen) return;  // silence until the deadline
    bool const right = header_of(q, "banktide-service") == b.service && header_of(q, "banktide-instance") == b.instance;
    if (!right && !b.naive) {
      HttpReply no;
      no.status = 421;
      no.headers = {{"banktide-not-run", "1"}};
      done(no);
      return;
    }
    Duration work = std::chrono::milliseconds(1 + sim_.chance() % 15);
    if (mishaps_on_ && sim_.chance() % 200 == 0) work = 1800ms;
    Instant const end = std::min(sim_.now + work, deadline);
    std::string const id = header_of(q, "call-id");
    history_.runs.push_back(RunSeen{id, b.service, b.instance, header_of(q, "x-key"), sim_.now, end});
    std::size_t const run = history_.runs.size() - 1;
    std::uint64_t const life = b.life;
    bool const vanish = mishaps_on_ && sim_.chance() % 300 == 0;
    sim_.at(end, [this, i, life, run, id, vanish, done, q] {
      Backend const& now = backends_[i];
      if (!now.alive || now.life != life) {
        history_.runs[run].end = std::min(history_.runs[run].end, sim_.now);
        done(mishap("call_backend", "", "connection lost", Proof::unknown));
        return;
      }
      if (now.frozen) return;
      if (vanish) {
        done(mishap("read_reply", "", "garbage", Proof::unknown));
        return;
      }
      HttpReply ok;
      ok.status = 200;
      ok.body = id + "/" + std::to_string(digest_of(q.body)) + "/" + q.target;
      done(ok);
    });
  }

  // ---- callers

  void keep_calling(std::string const& mix) {
    std::vector<std::string> parts;
    std::stringstream in(mix);
    for (std::string p; std::getline(in, p, ':');) parts.push_back(p);
    Duration const gap = std::chrono::microseconds(1000000 * scenario_.rate_divisor / std::stoull(parts[3]));
    sim_.after(gap, [this, mix, parts] {
      if (!calling_) return;
      keep_calling(mix);
      call_once(parts);
    });
  }

  void call_once(std::vector<std::string> const& parts) {
    std::uint64_t const keys = std::stoull(parts[4]) / 10;
    std::size_t const at = sim_.chance() % nodes_.size();
    Node& n = nodes_[at];
    CallSeen c;
    c.id = parts[0] + "-" + std::to_string(++calls_);
    c.service = service_of(parts[2]);
    c.cell = n.cell;
    c.repeatable = parts[1] == "GET";
    c.sent = sim_.now;
    if (keys > 0) c.key = "k" + std::to_string(hot_ && sim_.chance() % 2 ? 0 : sim_.chance() % keys);
    if (!n.process->alive || n.rolling) return;  // callers of a dead machine find another
    HttpRequest q{parts[1], parts[2] + "/" + c.id, {{"call-id", c.id}}, parts[1] == "POST" ? "{\"id\":\"" + c.id + "\"}" : ""};
    if (keys > 0) q.headers.push_back({"x-key", c.key});
    history_.calls[c.id] = c;
    std::string const want = c.id + "/" + std::to_string(digest_of(q.body)) + "/" + q.target;
    spawn(*n.process, answer(n.proxy, q, c.id, want));
    std::string const id = c.id;
    sim_.after(5s, [this, id] {
      CallSeen& seen = history_.calls[id];
      if (seen.outcome.empty()) seen.outcome = "lost";
    });
  }

  Task<void> answer(std::shared_ptr<Proxy<SimProcess, SimEdge>> proxy, HttpRequest q, std::string id, std::string want) {
    HttpReply const r = co_await proxy->call(std::move(q));
    CallSeen& c = history_.calls[id];
    if (!c.outcome.empty()) co_return;
    c.answered = sim_.now;
    c.status = r.status;
    c.right = r.status == 200 && r.body == want;
    for (Header const& h : r.headers) {
      if (h.name == "banktide-outcome") c.outcome = h.value;
      if (h.name == "Retry-After") c.retry_after = true;
    }
    if (scenario_.verbose && c.outcome != "answered") log_info("sim_call", {{"id", id}, {"outcome", c.outcome}, {"node", proxy->rules().routing ? "" : "no rules"}, {"body", r.body}, {"at_ms", std::to_string(as_ms(sim_.now.time_since_epoch()) - 3600000)}});
  }

  std::string service_of(std::string const& prefix) {
    Json const j = Json::parse(d_.routing);
    for (Json const& w : j["ways"])
      if (w["prefix"] == prefix) return w["service"].get<std::string>();
    return "";
  }

  // ---- operators

  void put(std::size_t const at, Register const reg, std::string const& bytes, bool const must = false) {
    Control& c = controls_[at];
    RevisionSeen r;
    r.reg = reg;
    r.bytes = bytes;
    r.sent = sim_.now;
    r.maybe = true;
    Json const j = Json::parse(bytes);
    if (reg == Register::routing)
      for (auto const& [name, s] : j["services"].items()) history_.services_ever.insert(name);
    history_.revisions.push_back(r);
    std::size_t const n = history_.revisions.size() - 1;
    if (!c.process->alive || c.process->frozen) {
      history_.revisions[n].maybe = false;
      return;
    }
    HttpRequest q{"PUT", "/" + register_name(reg), {}, bytes};
    spawn(*c.process, put_once(c.registry, q, n, must));
  }

  Task<void> put_once(std::shared_ptr<Registry<SimProcess>> registry, HttpRequest q, std::size_t n, bool must) {
    HttpReply const reply = co_await registry->operate(std::move(q));
    RevisionSeen& r = history_.revisions[n];
    r.answered = sim_.now;
    if (reply.status == 200) {
      r.revision = Json::parse(reply.body)["revision"].get<Revision>();
      r.maybe = false;
    } else if (reply.status != 504) {
      r.maybe = false;
    }
    if (must && reply.status != 200) {
      log_warn("sim_put", {{"status", std::to_string(reply.status)}, {"body", reply.body}});
      std::abort();
    }
  }

  void keep_sending_revisions() {
    if (!calling_) return;
    Json j = Json::parse(d_.routing);
    j["note"] = "revision " + std::to_string(++sent_);
    std::size_t const storm = sim_.chance() % 10 == 0 ? 5 : 1;
    for (std::size_t i = 0; i < storm; ++i) {
      j["note"] = "revision " + std::to_string(++sent_);
      put(sim_.chance() % controls_.size(), Register::routing, j.dump());
    }
    if (sim_.chance() % 8 == 0) put(sim_.chance() % controls_.size(), Register::catalogue, d_.catalogue);
    sim_.after(std::chrono::milliseconds(400 + sim_.chance() % 1200), [this] { keep_sending_revisions(); });
  }

  void read_back() {
    std::shared_ptr<bool> done = std::make_shared<bool>(false);
    Control& c = controls_[sim_.chance() % controls_.size()];
    spawn(*c.process, read_once(c.registry, done));
    sim_.run_until(sim_.now + 3s);
    history_.readback_good = *done;
  }
  Task<void> read_once(std::shared_ptr<Registry<SimProcess>> registry, std::shared_ptr<bool> done) {
    HttpRequest const q{"GET", "/routing", {}, ""};
    HttpReply const r = co_await registry->operate(q);
    history_.readback = r.body;
    *done = r.status == 200;
  }

  // ---- samples

  void keep_sampling() {
    if (!calling_) return;
    for (Node& n : nodes_) {
      std::string const core = core_of(n.cell);
      bool const troubled = n.process->frozen || sim_.cut_off(n.machine) || sim_.now - n.started < 3s;
      if (troubled) n.excused = sim_.now;
      if (!n.process->alive || !n.proxy->ready()) {
        n.excused = sim_.now;
        continue;
      }
      history_.forces.push_back(ForceSeen{sim_.now, n.machine, n.cell, n.proxy->rules().routing, n.excused == sim_.now});
    }
    collect_extras();
    sim_.after(50ms, [this] { keep_sampling(); });
  }

  void collect_extras() {
    for (Node& n : nodes_) {
      if (!n.proxy) continue;
      for (; n.seen_extras < n.proxy->extra_tries(); ++n.seen_extras) history_.extra_tries.push_back(sim_.now);
    }
  }

  std::string core_of(std::string const& cell) const {
    for (Control const& c : controls_)
      if (c.cell == cell) return c.machine;
    return "";
  }

  // ---- mishaps

  bool wanted(std::string const& kind) const { return scenario_.only.empty() || scenario_.only.contains(kind); }

  void keep_failing(Instant const end) {
    if (sim_.now >= end) return;
    mishaps_on_ = true;
    static std::vector<std::string> const kinds{"kill_node", "kill_herd", "roll_node", "freeze_node", "kill_registry", "freeze_registry", "power_core", "lose_disk", "stall_disk", "cut_core", "cut_core_one", "cut_cell", "isolate_one_way", "isolate", "kill_backend", "replace_backend", "reuse_port", "reuse_port_naive", "drain_backend", "freeze_backend", "hot_key", "bad_revision"};
    std::vector<std::string> mine;
    for (std::string const& k : kinds)
      if (wanted(k)) mine.push_back(k);
    if (!mine.empty()) {
      std::string const kind = mine[sim_.chance() % mine.size()];
      ++counted_[kind];
      if (scenario_.verbose) log_info("sim_mishap", {{"kind", kind}, {"at_ms", std::to_string(as_ms(sim_.now.time_since_epoch()) - 3600000)}});
      fail(kind);
    }
    sim_.after(scenario_.fault_every / 2 + Duration(sim_.chance() % static_cast<std::uint64_t>(scenario_.fault_every.count())), [this, end] { keep_failing(end); });
  }

  void fail(std::string const& kind) {
    std::size_t const node = sim_.chance() % nodes_.size(), core = sim_.chance() % controls_.size(), backend = sim_.chance() % backends_.size();
    Duration const for_a_while = std::chrono::milliseconds(300 + sim_.chance() % 4000);
    std::vector<std::string> machines;
    for (Node const& n : nodes_) machines.push_back(n.machine);
    for (Control const& c : controls_) machines.push_back(c.machine);
    if (kind == "kill_node") kill_node(node, for_a_while);
    if (kind == "kill_herd")
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (sim_.chance() % 3 == 0) kill_node(i, for_a_while);
    if (kind == "roll_node") roll_node(node);
    if (kind == "freeze_node") freeze(nodes_[node].process, for_a_while);
    if (kind == "kill_registry") kill_control(core, for_a_while);
    if (kind == "freeze_registry") freeze(controls_[core].process, for_a_while);
    if (kind == "power_core" || kind == "lose_disk") {
      if (cores_down_ > 0) return;
      bool const wipe = kind == "lose_disk";
      ++cores_down_;
      voters_[core].process->kill();
      kill_control(core, for_a_while);
      if (wipe) voters_[core].disk.durable = VoterRecord{};
      sim_.after(for_a_while, [this, core] { start_voter(core); });
      sim_.after(for_a_while + 4s, [this] { --cores_down_; });
    }
    if (kind == "stall_disk") voters_[core].disk.stalled_until = sim_.now + for_a_while;
    if (kind == "cut_core") {
      for (std::size_t i = 0; i < controls_.size(); ++i)
        for (std::size_t j = 0; j < controls_.size(); ++j)
          if ((i < 2) != (j < 2)) sim_.cut(controls_[i].machine, controls_[j].machine);
      sim_.after(for_a_while, [this] { sim_.heal(); });
    }
    if (kind == "cut_core_one") {
      for (std::size_t j = 0; j < controls_.size(); ++j) {
        if (j == core) continue;
        sim_.cut(controls_[core].machine, controls_[j].machine);
        sim_.cut(controls_[j].machine, controls_[core].machine);
      }
      sim_.after(for_a_while, [this] { sim_.heal(); });
    }
    if (kind == "cut_cell") {
      std::string const cell = controls_[core].cell;
      std::set<std::string> inside{controls_[core].machine};
      for (Node const& n : nodes_)
        if (n.cell == cell) inside.insert(n.machine);
      for (std::string const& a : machines)
        for (std::string const& b : machines)
          if (inside.contains(a) != inside.contains(b)) sim_.cut(a, b);
      sim_.after(for_a_while, [this] { sim_.heal(); });
    }
    if (kind == "isolate" || kind == "isolate_one_way") {
      std::string const m = machines[sim_.chance() % machines.size()];
      bool const out = sim_.chance() % 2 == 0;
      for (std::string const& other : machines) {
        if (other == m) continue;
        if (kind == "isolate" || out) sim_.cut(m, other);
        if (kind == "isolate" || !out) sim_.cut(other, m);
      }
      sim_.after(for_a_while, [this] { sim_.heal(); });
    }
    Backend& b = backends_[backend];
    if (kind == "kill_backend" && b.alive) {
      kill_backend(backend);
      std::string const service = b.service;
      std::size_t const at = b.node;
      sim_.after(for_a_while, [this, service, at] { add_backend(service, at); });
    }
    if ((kind == "replace_backend" || kind == "drain_backend") && b.alive && !b.leaving) {
      add_backend(b.service, b.node);
      drain(backend);
    }
    if (kind == "reuse_port" && b.alive) {
      std::uint16_t const port = b.port;
      std::size_t const at = b.node;
      std::string const service = b.service;
      kill_backend(backend);
      std::string const other = service_of(std::stoi(std::to_string(port)) % 2 ? "/browse" : "/pause");
      std::size_t const fresh = add_backend(other.empty() ? service : other, at);
      backends_[fresh].port = port;
      add_backend(service, at);
    }
    if (kind == "reuse_port_naive" && b.alive) {
      std::uint16_t const port = b.port;
      std::size_t const at = b.node;
      std::string const service = b.service;
      kill_backend(backend);
      add_backend(service, at);
      sim_.after(400ms, [this, service, port, at] {
        std::size_t const fresh = add_backend(service == "orders" || service == "deposits" ? service_of(d_.name == "kibble" ? "/browse" : "/rates") : service_of(d_.name == "kibble" ? "/pay" : "/deposits"), at, 700ms);
        backends_[fresh].port = port;
        backends_[fresh].naive = true;
      });
    }
    if (kind == "freeze_backend" && b.alive) {
      b.frozen = true;
      sim_.after(for_a_while, [this, backend] { backends_[backend].frozen = false; });
    }
    if (kind == "hot_key") {
      hot_ = true;
      sim_.after(for_a_while, [this] { hot_ = false; });
    }
    if (kind == "bad_revision") {
      HttpRequest const q{"PUT", "/routing", {}, R"({"cells":[],"services":{},"ways":[{"prefix":"/pay","service":"nobody"}]})"};
      if (controls_[core].process->alive) spawn(*controls_[core].process, bad_once(controls_[core].registry, q));
    }
  }

  Task<void> bad_once(std::shared_ptr<Registry<SimProcess>> registry, HttpRequest q) {
    HttpReply const r = co_await registry->operate(std::move(q));
    if (r.status < 400 || r.status >= 500) history_.readback_good = false, history_.revisions.push_back(RevisionSeen{Register::routing, "a bad revision was taken", sim_.now, sim_.now, 1, false});
  }

  void drain(std::size_t const i) {
    backends_[i].leaving = true;
    Node& n = nodes_[backends_[i].node];
    if (n.process->alive && !n.process->frozen) {
      n.proxy->beat(Json{{"service", backends_[i].service}, {"instance", backends_[i].instance}, {"port", backends_[i].port}, {"leaving", true}}.dump());
      history_.drains.emplace_back(sim_.now, backends_[i].instance);
    }
    sim_.after(4s, [this, i] { kill_backend(i); });
  }

  void kill_backend(std::size_t const i) {
    backends_[i].alive = false;
    for (RunSeen& r : history_.runs)
      if (r.instance == backends_[i].instance) r.end = std::min(r.end, std::max(r.begin, sim_.now));
  }

  void kill_node(std::size_t const i, Duration const down) {
    if (!nodes_[i].process->alive) return;
    nodes_[i].process->kill();
    sim_.after(down, [this, i] {
      if (!nodes_[i].process->alive) start_node(i);
    });
  }

  void roll_node(std::size_t const i) {
    if (!nodes_[i].process->alive) return;
    nodes_[i].proxy->leave();
    nodes_[i].rolling = true;
    std::uint64_t const run = nodes_[i].process->run_number;
    sim_.after(6s, [this, i, run] {
      if (nodes_[i].process->run_number != run) return;
      if (nodes_[i].process->alive && !nodes_[i].proxy->idle()) history_.calls["roll-" + nodes_[i].id + std::to_string(runs_)] = CallSeen{};
      nodes_[i].process->kill();
      start_node(i);
    });
  }

  void kill_control(std::size_t const i, Duration const down) {
    if (!controls_[i].process->alive) return;
    controls_[i].process->kill();
    sim_.after(down, [this, i] {
      if (!controls_[i].process->alive) start_control(i);
    });
  }

  void freeze(std::shared_ptr<SimProcess> const& p, Duration const down) {
    if (!p->alive || p->frozen) return;
    p->freeze();
    sim_.after(down, [p] {
      if (p->alive) p->thaw();
    });
  }

  void repair_all() {
    mishaps_on_ = false;
    sim_.heal();
    hot_ = false;
    for (Backend& b : backends_) b.frozen = false;
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      if (controls_[i].process->frozen) controls_[i].process->thaw();
      voters_[i].disk.stalled_until = {};
      if (!controls_[i].process->alive) start_control(i);
      if (!voters_[i].process->alive) start_voter(i);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].process->frozen) nodes_[i].process->thaw();
      if (!nodes_[i].process->alive) start_node(i);
    }
    std::map<std::string, std::size_t> alive;
    for (Backend const& b : backends_) alive[b.service + nodes_[b.node].cell] += b.alive && !b.leaving;
    for (BackendPlace const& p : d_.backends)
      if (alive[p.service + d_.cells[p.cell]] == 0)
        for (std::size_t i = 0; i < nodes_.size(); ++i)
          if (nodes_[i].cell == d_.cells[p.cell]) {
            add_backend(p.service, i);
            ++alive[p.service + d_.cells[p.cell]];
            break;
          }
  }

  Scenario const scenario_;
  Sim sim_;
  SimNet net_;
  Deployment const d_;
  History history_;
  std::vector<std::shared_ptr<SimProcess>> grave_;
  std::vector<std::shared_ptr<void>> remains_;  // after the grave: they go first, and touch it
  std::shared_ptr<SimProcess> driver_;
  std::vector<Address> voter_addresses_, registry_addresses_;
  std::vector<Voter> voters_;
  std::vector<Control> controls_;
  std::vector<Node> nodes_;
  std::deque<Backend> backends_;
  std::map<std::string, std::uint64_t> counted_;
  Instant start_{};
  std::uint64_t runs_ = 0, instances_ = 0, calls_ = 0, sent_ = 1, next_port_ = 20000;
  std::size_t cores_down_ = 0;
  bool calling_ = false, mishaps_on_ = false, hot_ = false;
};

#ifdef TESTS_OF_SIM_FLEET
inline std::string joined(std::vector<std::string> const& lines) {
  std::string out;
  for (std::size_t i = 0; i < lines.size() && i < 8; ++i) out += lines[i] + "\n";
  return out;
}

TEST(SimFleet, with_no_mishap_every_call_is_answered) {
  for (std::string const name : {"kibble", "nilewise"}) {
    Scenario s;
    s.deployment = name;
    s.fault_every = 0s;
    s.faults_for = 5s;
    SimFleet fleet(s);
    History const h = fleet.run();
    EXPECT_EQ(joined(h.broken()), "") << name;
    EXPECT_GT(h.calls.size(), 1000u);
    for (auto const& [id, c] : h.calls) EXPECT_EQ(c.outcome, "answered") << id;
  }
}

TEST(SimFleet, the_same_seed_replays_exactly) {
  std::array<std::uint64_t, 2> digests{};
  for (std::uint64_t& digest : digests) {
    Scenario s;
    s.seed = 42;
    s.faults_for = 10s;
    SimFleet fleet(s);
    History const h = fleet.run();
    std::string all;
    for (auto const& [id, c] : h.calls) all += id + c.outcome + std::to_string(c.answered.time_since_epoch().count());
    for (RunSeen const& r : h.runs) all += r.id + r.instance + std::to_string(r.begin.time_since_epoch().count());
    digest = digest_of(all);
  }
  EXPECT_EQ(digests[0], digests[1]);
}
inline std::string broken_by(std::string const& deployment, std::uint64_t const seed, std::set<std::string> only, Duration const faults_for = 20s) {
  Scenario s;
  s.seed = seed;
  s.deployment = deployment;
  s.only = std::move(only);
  s.faults_for = faults_for;
  SimFleet fleet(s);
  std::string const all = joined(fleet.run().broken());
  return all.empty() ? "" : deployment + " seed " + std::to_string(seed) + ": " + all;
}

TEST(SimFleet, a_frozen_registry_holds_no_revision_back_from_its_cell) {
  for (std::uint64_t const seed : {100, 101, 130}) EXPECT_EQ(broken_by("kibble", seed, {"freeze_registry"}), "");
}

TEST(SimFleet, a_registry_without_a_majority_holds_no_revision_back_from_its_cell) {
  for (std::uint64_t const seed : {100, 101, 102}) EXPECT_EQ(broken_by("kibble", seed, {"cut_core_one"}), "");
}

TEST(SimFleet, nothing_reaches_another_service_that_took_over_a_dead_backends_address) {
  for (std::uint64_t const seed : {300, 301}) EXPECT_EQ(broken_by("kibble", seed, {"reuse_port_naive"}), "");
}

TEST(SimFleet, no_rule_breaks_under_all_mishaps) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) EXPECT_EQ(broken_by("kibble", seed, {}), "");
  for (std::uint64_t seed = 5; seed <= 8; ++seed) EXPECT_EQ(broken_by("nilewise", seed, {}), "");
}
#endif

}  // namespace banktide
