// The machines of a simulated deployment: they run the production code of registries,
// voters and nodes, and fake backends. Also records when each machine and service was
// last disturbed by a fault.
#pragma once

#include "programs/deployment.hpp"
#include "programs/proxy.hpp"
#include "programs/registry.hpp"
#include "simulation/history.hpp"
#include "simulation/sim_world.hpp"

namespace banktide {

struct Scenario {
  std::uint64_t seed = 1;
  std::string deployment = "kibble";
  Duration faults_for = 30s;
  Duration fault_every = 2500ms;
  std::set<std::string> only;  // fault kinds; empty: all
  std::string last;            // a final fault that nobody repairs
  std::uint64_t rate_divisor = 10;
  bool verbose = false;
};

// A node's connection to the backends on its simulated machine.
struct SimEdge {
  using Done = std::function<void(Result<HttpReply>)>;
  std::function<void(std::uint16_t, HttpRequest, Instant, Done)> serve;
  std::function<bool(std::uint16_t)> is_listening;
  SimProcess* process = nullptr;

  Task<bool> listens(std::uint16_t const port) {
    co_await sleep_for(*process, 200us);
    co_return is_listening(port);
  }

  Task<Result<HttpReply>> run(std::uint16_t const port, HttpRequest q, Instant const deadline) {
    using Shot = OneShot<SimProcess, Result<HttpReply>>;
    std::shared_ptr<Shot> shot = std::make_shared<Shot>(*process);
    std::weak_ptr<Shot> weak = shot;
    std::weak_ptr<SimProcess> alive = process->weak_from_this();
    Done const done = [weak, alive](Result<HttpReply> r) {
      std::shared_ptr<SimProcess> const owner = alive.lock();
      if (owner)
        owner->run([weak, r = std::move(r)] {
          if (std::shared_ptr<Shot> const s = weak.lock()) s->give(r);
        });
    };
    serve(port, std::move(q), process->global(deadline), done);
    std::optional<Result<HttpReply>> got = co_await shot->wait(deadline);
    if (got) co_return std::move(*got);
    co_return make_error("call_backend", "", "deadline", Proof::unknown);
  }
};
static_assert(BackendEdge<SimEdge>);

// Instantiated in simulated_programs.cpp.
extern template class Proxy<SimProcess, SimEdge>;
extern template class Registry<SimProcess>;
extern template class Acceptor<SimProcess, SimDisk>;

class SimMachines {
 public:
  explicit SimMachines(Scenario s)
      : scenario_(std::move(s)),
        sim_(scenario_.seed),
        net_(sim_),
        deployment_(scenario_.deployment == "kibble" ? kibble() : nilewise()) {}
  SimMachines(SimMachines const&) = delete;
  ~SimMachines() {
    for (auto& [address, p] : net_.at) p->kill();
    for (std::shared_ptr<SimProcess> const& p : retired_processes_) p->kill();
    sim_.clear();
    sim_.run_ready_handlers();
  }

 protected:
  struct Voter {
    std::string machine;
    Address address;
    SimDisk disk;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<Acceptor<SimProcess, SimDisk>> acceptor;
  };
  struct RegistryHost {
    std::string machine, zone, id;
    Address address;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<Registry<SimProcess>> registry;
    std::shared_ptr<Dispatcher> dispatcher;
  };
  struct Node {
    std::string machine, zone, id;
    Address address;
    bool gateway = false;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<SimEdge> edge;
    std::shared_ptr<Proxy<SimProcess, SimEdge>> proxy;
    std::shared_ptr<Dispatcher> dispatcher;
    bool rolling = false;
  };
  struct Backend {
    std::string service, instance;
    std::size_t node = 0;
    std::uint16_t port = 0;
    bool alive = true, leaving = false, frozen = false;
    bool accepts_misrouted = false;  // executes every request without checking the target instance
    std::uint64_t incarnation = 0;
  };

  std::shared_ptr<SimProcess> process(std::string const& machine, Address const& address) {
    auto const old = net_.at.find(address);
    if (old != net_.at.end()) {
      old->second->kill();
      retired_processes_.push_back(old->second);
    }
    std::shared_ptr<SimProcess> p = std::make_shared<SimProcess>(sim_, net_, machine, address, ++runs_);
    auto const [clock, fresh] = clocks_.try_emplace(machine, 0, 0);
    if (fresh) {
      clock->second.first = static_cast<std::int64_t>(sim_.chance() % 6001) - 3000;
      clock->second.second = static_cast<std::int64_t>(sim_.chance() % 3600) - 1800;
    }
    p->clock_ppm = clock->second.first;
    p->clock_offset = std::chrono::seconds(clock->second.second);
    net_.at[address] = p;
    net_.machine_of[address] = machine;
    return p;
  }

  void build() {
    voters_.resize(deployment_.zones.size());
    registry_hosts_.resize(deployment_.zones.size());
    for (std::size_t i = 0; i < deployment_.zones.size(); ++i) {
      voter_addresses_.push_back("store-" + std::to_string(i) + ":1");
      registry_addresses_.push_back("registry-" + std::to_string(i) + ":1");
    }
    std::size_t n = 0;
    for (std::size_t i = 0; i < deployment_.zones.size(); ++i) {
      std::string const core = "core-" + std::to_string(i);
      voters_[i].machine = core;
      voters_[i].address = voter_addresses_[i];
      start_voter(i);
      registry_hosts_[i].machine = core;
      registry_hosts_[i].zone = deployment_.zones[i];
      registry_hosts_[i].id = "registry-" + std::to_string(i);
      registry_hosts_[i].address = registry_addresses_[i];
      start_registry(i);
      for (std::size_t k = 0; k < deployment_.nodes[i]; ++k) {
        Node node;
        node.machine = "app-" + std::to_string(n);
        node.zone = deployment_.zones[i];
        node.id = "node-" + std::to_string(n);
        node.address = "node-" + std::to_string(n) + ":1";
        node.gateway = k < 2;
        nodes_.push_back(node);
        ++n;
      }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
    std::vector<std::size_t> placed(deployment_.zones.size(), 0);
    for (BackendLocation const& b : deployment_.backends)
      add_backend(b.service, node_in(deployment_.zones[b.zone], placed[b.zone]++));
  }

  std::size_t node_in(std::string const& zone, std::size_t const k) const {
    std::vector<std::size_t> in_cell;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].zone == zone) in_cell.push_back(i);
    return in_cell[k % in_cell.size()];
  }

  void start_voter(std::size_t const i) {
    Voter& v = voters_[i];
    retire(v.acceptor);
    v.process = process(v.machine, v.address);
    v.disk.process = v.process.get();
    v.acceptor = std::make_shared<Acceptor<SimProcess, SimDisk>>(*v.process, v.disk, voter_addresses_, i);
    if (!v.acceptor->load()) std::abort();
    std::shared_ptr<Dispatcher> dispatcher = std::make_shared<Dispatcher>();
    retire(dispatcher);
    v.acceptor->attach(*dispatcher);
    v.process->serve(*dispatcher);
    spawn(*v.process, v.acceptor->run_until_voting());
  }
  void start_registry(std::size_t const i) {
    RegistryHost& c = registry_hosts_[i];
    retire(c.registry);
    retire(c.dispatcher);
    c.process = process(c.machine, c.address);
    std::vector<Address> seeds;
    for (Address const& a : registry_addresses_)
      if (a != c.address) seeds.push_back(a);
    c.registry = std::make_shared<Registry<SimProcess>>(
        *c.process, RegistrySettings{c.id, c.zone, c.address, seeds, voter_addresses_});
    c.dispatcher = std::make_shared<Dispatcher>();
    c.registry->start(*c.dispatcher);
    c.process->serve(*c.dispatcher);
  }
  void start_node(std::size_t const i) {
    Node& n = nodes_[i];
    retire(n.proxy);
    retire(n.dispatcher);
    retire(n.edge);
    n.process = process(n.machine, n.address);
    n.edge = std::make_shared<SimEdge>();
    n.edge->process = n.process.get();
    n.edge->serve = [this, i](std::uint16_t const port, HttpRequest q, Instant const deadline, SimEdge::Done done) {
      serve(i, port, std::move(q), deadline, std::move(done));
    };
    n.edge->is_listening = [this, i](std::uint16_t const port) {
      return std::any_of(backends_.begin(), backends_.end(),
                         [&](Backend const& b) { return b.node == i && b.port == port && b.alive; });
    };
    ProxySettings s{
        n.id, n.zone, n.address, n.gateway, {registry_addresses_[0], registry_addresses_[1], registry_addresses_[2]}};
    s.decisions_kept = 1024;
    n.proxy = std::make_shared<Proxy<SimProcess, SimEdge>>(*n.process, *n.edge, s);
    n.dispatcher = std::make_shared<Dispatcher>();
    n.proxy->start(*n.dispatcher);
    n.process->serve(*n.dispatcher);
    n.rolling = false;
  }
  template <class T>
  void retire(std::shared_ptr<T> const& old) {
    if (old) retired_objects_.push_back(old);
  }

  // ---- backends

  std::size_t add_backend(std::string const& service, std::size_t const node, Duration const first_heartbeat = 0s) {
    Backend b;
    b.service = service;
    b.instance = service + "-" + std::to_string(++instances_);
    b.node = node;
    b.port = static_cast<std::uint16_t>(next_port_++);
    b.incarnation = ++runs_;
    backends_.push_back(b);
    mark_service_disturbed(service, nodes_[node].zone);
    std::size_t const at = backends_.size() - 1;
    std::uint64_t const incarnation = b.incarnation;
    if (first_heartbeat == 0s)
      keep_beating(at, incarnation);
    else
      sim_.after(first_heartbeat, [this, at, incarnation] { keep_beating(at, incarnation); });
    return at;
  }

  static std::string heartbeat_of(Backend const& b) {
    return Json{
        {"service", b.service}, {"instance", b.instance}, {"port", b.port}, {"burden", 0}, {"leaving", b.leaving}}
        .dump();
  }

  void keep_beating(std::size_t const i, std::uint64_t const incarnation) {
    Backend& b = backends_[i];
    if (!b.alive || b.incarnation != incarnation) return;
    Node& n = nodes_[b.node];
    if (!b.frozen && n.process->alive && !n.process->frozen) n.proxy->handle_heartbeat(heartbeat_of(b));
    sim_.after(500ms, [this, i, incarnation] { keep_beating(i, incarnation); });
  }

  // Announces that the backend leaves; recorded once its node has received the announcement.
  void drain(std::size_t const i) {
    Backend& b = backends_[i];
    b.leaving = true;
    mark_service_disturbed(b.service, nodes_[b.node].zone);
    std::shared_ptr<SimProcess> const p = nodes_[b.node].process;
    std::shared_ptr<Proxy<SimProcess, SimEdge>> const proxy = nodes_[b.node].proxy;
    p->run([this, i, proxy] {
      proxy->handle_heartbeat(heartbeat_of(backends_[i]));
      history_.drains.emplace_back(sim_.now, backends_[i].instance);
    });
    sim_.after(5s, [this, i] { kill_backend(i); });
  }

  void kill_backend(std::size_t const i) {
    Backend& b = backends_[i];
    if (!b.alive) return;
    b.alive = false;
    mark_service_disturbed(b.service, nodes_[b.node].zone);
    for (RunRecord& r : history_.runs)
      if (r.instance == b.instance) r.end = std::min(r.end, std::max(r.begin, sim_.now));
  }

  void serve(std::size_t const node, std::uint16_t const port, HttpRequest q, Instant const deadline,
             std::function<void(Result<HttpReply>)> done) {
    std::string const id = header_value(q, "call-id");
    auto const call = history_.calls.find(id);
    if (call != history_.calls.end() && call->second.machine == nodes_[node].machine)
      history_.attempts.push_back(
          AttemptRecord{sim_.now, id, nodes_[node].machine, header_value(q, "banktide-instance"), true});
    sim_.after(200us, [this, node, port, q = std::move(q), deadline, done] {
      for (std::size_t i = 0; i < backends_.size(); ++i) {
        if (backends_[i].node != node || backends_[i].port != port || !backends_[i].alive) continue;
        run_backend(i, q, deadline, done);
        return;
      }
      done(make_error("connect", "", "refused", Proof::not_run));
    });
  }

  void run_backend(std::size_t const i, HttpRequest const& q, Instant const deadline,
                   std::function<void(Result<HttpReply>)> const& done) {
    Backend& b = backends_[i];
    if (b.frozen) return;  // no answer until the deadline
    bool const right =
        header_value(q, "banktide-service") == b.service && header_value(q, "banktide-instance") == b.instance;
    if (!right && !b.accepts_misrouted) {
      HttpReply no;
      no.status = 421;
      no.headers = {{"banktide-not-run", "1"}};
      done(no);
      return;
    }
    bool const with_faults = faults_active();
    Duration work = std::chrono::milliseconds(1 + sim_.chance() % 15);
    if (with_faults && sim_.chance() % 200 == 0) work = history_.planned_only ? 1000ms : 1800ms;
    if (hot_key_slow_ && header_value(q, "x-key") == "k0") work = 300ms;
    Instant const end = std::min(sim_.now + work, deadline);
    std::string const id = header_value(q, "call-id"), epoch = header_value(q, "banktide-epoch");
    history_.runs.push_back(RunRecord{id, b.service, b.instance, header_value(q, "x-key"), nodes_[b.node].zone,
                                      nodes_[b.node].machine, sim_.now, end, epoch.empty() ? 0 : std::stoull(epoch)});
    std::size_t const run = history_.runs.size() - 1;
    std::uint64_t const incarnation = b.incarnation;
    bool const reply_garbled = with_faults && !history_.planned_only && sim_.chance() % 300 == 0;
    sim_.at(end, [this, i, incarnation, run, id, reply_garbled, done, q] {
      Backend const& now = backends_[i];
      if (!now.alive || now.incarnation != incarnation) {
        history_.runs[run].end = std::min(history_.runs[run].end, sim_.now);
        done(make_error("call_backend", "", "connection lost", Proof::unknown));
        return;
      }
      if (now.frozen) return;
      if (reply_garbled) {
        done(make_error("read_reply", "", "garbage", Proof::unknown));
        return;
      }
      HttpReply ok;
      ok.status = 200;
      ok.body = id + "/" + std::to_string(digest_of(q.body)) + "/" + q.target;
      done(ok);
    });
  }

  // ---- disturbances

  void mark_disturbed(std::string const& machine) { last_disturbed_[machine] = sim_.now; }
  void mark_service_disturbed(std::string const& service, std::string const& zone) {
    service_last_disturbed_[{service, zone}] = sim_.now;
  }
  Duration undisturbed_for(std::string const& machine) const {
    auto const it = last_disturbed_.find(machine);
    return sim_.now - (it == last_disturbed_.end() ? start_ : it->second);
  }
  Duration service_undisturbed_for(std::string const& service, std::string const& zone) const {
    auto const it = service_last_disturbed_.find({service, zone});
    return sim_.now - (it == service_last_disturbed_.end() ? start_ : it->second);
  }
  std::size_t healthy_backends(std::string const& service, std::string const& zone) const {
    return static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(), [&](Backend const& b) {
      return b.service == service && nodes_[b.node].zone == zone && b.alive && !b.leaving && !b.frozen;
    }));
  }
  std::string core_machine_of(std::string const& zone) const {
    for (RegistryHost const& c : registry_hosts_)
      if (c.zone == zone) return c.machine;
    return "";
  }
  bool zone_undisturbed(std::string const& zone, Duration const for_long) const {
    if (undisturbed_for(core_machine_of(zone)) < for_long) return false;
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&](Node const& n) { return n.zone != zone || undisturbed_for(n.machine) >= for_long; });
  }

  bool connected_both_ways(std::string const& a, std::string const& b) const {
    return sim_.open(a, b) && sim_.open(b, a);
  }

  // Whether a registry can currently get answers from a majority of the voters.
  bool can_reach_majority(std::size_t const k) const {
    RegistryHost const& c = registry_hosts_[k];
    if (!c.process->alive || c.process->frozen) return false;
    std::size_t n = 0;
    for (Voter const& v : voters_)
      n += v.process->alive && v.acceptor->phase() == BootstrapPhase::voting && v.disk.stalled_until <= sim_.now &&
           connected_both_ways(c.machine, v.machine);
    return n >= voters_.size() / 2 + 1;
  }
  // Whether a node could receive a new revision by any path.
  bool can_receive_updates(Node const& n) const {
    if (!n.process->alive || n.process->frozen) return false;
    for (std::size_t k = 0; k < registry_hosts_.size(); ++k)
      if (connected_both_ways(n.machine, registry_hosts_[k].machine) && can_reach_majority(k)) return true;
    return false;
  }
  bool faults_active() const { return sim_.now < faults_until_; }

  Scenario const scenario_;
  Sim sim_;
  SimNet net_;
  Deployment const deployment_;
  History history_;
  std::vector<std::shared_ptr<SimProcess>> retired_processes_;
  std::vector<std::shared_ptr<void>>
      retired_objects_;  // declared after the processes: destroyed first, as they refer to them
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> clocks_;
  std::vector<Address> voter_addresses_, registry_addresses_;
  std::vector<Voter> voters_;
  std::vector<RegistryHost> registry_hosts_;
  std::vector<Node> nodes_;
  std::deque<Backend> backends_;
  std::map<std::string, Instant> last_disturbed_;
  std::map<std::pair<std::string, std::string>, Instant> service_last_disturbed_;
  Instant start_{}, faults_until_{};  // when the last active fault ends
  std::uint64_t runs_ = 0, instances_ = 0, next_port_ = 20000;
  bool hot_key_slow_ = false;
};

}  // namespace banktide
