// Zones on the simulated network: three voters, registries, and nodes that follow their zones, each with one backend.
#pragma once

#include "coordination/acceptor.hpp"
#include "coordination/zone_follower.hpp"
#include "programs/registry.hpp"
#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {

struct ZoneTrial {
  struct RegistryProcess {
    std::string id, zone;
    Address address;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<Registry<SimProcess>> registry;
  };
  struct Node {
    std::string id, zone;
    Address address;
    std::shared_ptr<SimProcess> process;
    std::shared_ptr<ZoneFollower<SimProcess>> follower;
    std::vector<BackendRecord> backends;
    std::size_t min_members_seen = 0;  // since `reset_min_members`
    std::map<Register, std::string> values;
    std::vector<std::shared_ptr<ZoneFollower<SimProcess>>> former_followers;
  };

  explicit ZoneTrial(std::uint64_t const seed) : sim(seed), net(sim), disks(3), acceptors(3) {
    for (std::size_t i = 0; i < 3; ++i) voters.push_back("store-" + std::to_string(i) + ":1");
    for (std::size_t i = 0; i < 3; ++i) start_voter(i);
  }
  // Lets tasks that were spawned last start, so that they end with their process.
  ~ZoneTrial() {
    sim.run_ready_handlers();
    for (auto const& [address, p] : net.at) p->kill();
    for (std::shared_ptr<SimProcess> const& p : dead_processes) p->kill();
    sim.clear();
    sim.run_ready_handlers();
  }
  ZoneTrial(ZoneTrial const&) = delete;

  void start_voter(std::size_t const i) {
    std::shared_ptr<SimProcess> const p = process("core-" + std::to_string(i), voters[i]);
    disks[i].process = p.get();
    acceptors[i] = std::make_shared<Acceptor<SimProcess, SimDisk>>(*p, disks[i], voters, i);
    EXPECT_TRUE(acceptors[i]->load());
    acceptors[i]->attach(dispatcher(*p));
    spawn(*p, acceptors[i]->run_until_voting());
  }

  void add_registry(std::string const& id, std::string const& zone) {
    RegistryProcess c;
    c.id = id;
    c.zone = zone;
    c.address = id + ":1";
    registries[id] = c;
    start_registry(id);
  }
  void start_registry(std::string const& id) {
    RegistryProcess& c = registries.at(id);
    c.process = process("machine-of-" + id, c.address);
    RegistrySettings settings;
    settings.id = c.id;
    settings.zone = c.zone;
    settings.address = c.address;
    for (std::string const& seed : seeds) settings.seeds.push_back(seed + ":1");
    settings.voters = voters;
    c.registry = std::make_shared<Registry<SimProcess>>(*c.process, settings);
    started_registries.push_back(c.registry);
    c.registry->start(dispatcher(*c.process));
  }

  void add_node(std::string const& id, std::string const& zone, std::string const& service) {
    Node& n = nodes[id];
    n.id = id;
    n.zone = zone;
    n.address = id + ":1";
    BackendRecord b;
    b.service = service;
    b.instance = "instance-of-" + id;
    b.slots = 8;
    n.backends.assign(1, b);
    n.values.clear();
    if (n.follower) n.former_followers.push_back(n.follower);
    n.process = process("machine-of-" + id, n.address);
    FollowerSettings settings;
    settings.id = id;
    settings.zone = zone;
    settings.address = n.address;
    settings.gateway = true;
    for (std::string const& seed : seeds) settings.seeds.push_back(seed + ":1");
    FollowerEvents events;
    events.backends = [&n] { return n.backends; };
    events.value = [&n](Register const r, RegisterValue const& h) { n.values[r] = h.bytes; };
    events.view_changed = [&n] {
      n.min_members_seen = std::min(n.min_members_seen, n.follower->view().members.size());
    };
    n.follower = std::make_shared<ZoneFollower<SimProcess>>(*n.process, settings, events);
    n.follower->start(dispatcher(*n.process));
  }

  /// Restarts the node with no state.
  void restart_node(std::string const& id) {
    Node const& n = nodes.at(id);
    kill(n.address);
    add_node(id, n.zone, n.backends.front().service);
  }

  void kill(Address const& address) { net.at.at(address)->kill(); }
  void run_for(Duration const d) { sim.run_until(sim.now + d); }
  /// Runs until the condition holds; false if it didn't within `limit`.
  bool run_until(std::function<bool()> const& holds, Duration const limit) {
    Instant const end = sim.now + limit;
    while (!holds() && sim.now < end) run_for(50ms);
    return holds();
  }

  Registry<SimProcess>& registry(std::string const& id) { return *registries.at(id).registry; }
  ZoneView const& view(std::string const& node) { return nodes.at(node).follower->view(); }
  /// The number of fit nodes in this node's view, including itself.
  std::size_t nodes_seen(std::string const& node) {
    std::size_t n = 0;
    for (auto const& [id, m] : view(node).members) n += m.role != Role::registry && m.liveness == Liveness::alive;
    return n;
  }
  std::size_t services_seen(std::string const& node, std::string const& zone) {
    auto const it = view(node).zones.find(zone);
    return it == view(node).zones.end() ? 0 : it->second.services.size();
  }
  void reset_min_members() {
    for (auto& [id, n] : nodes) n.min_members_seen = n.follower->view().members.size();
  }

  std::shared_ptr<SimProcess> process(std::string const& machine, Address const& address) {
    if (net.at.contains(address)) dead_processes.push_back(net.at[address]);
    std::shared_ptr<SimProcess> const p = std::make_shared<SimProcess>(sim, net, machine, address, ++next_incarnation);
    net.at[address] = p;
    net.machine_of[address] = machine;
    return p;
  }
  Dispatcher& dispatcher(SimProcess& p) {
    dispatchers.push_back(std::make_unique<Dispatcher>());
    p.serve(*dispatchers.back());
    return *dispatchers.back();
  }

  Sim sim;
  SimNet net;
  std::uint64_t next_incarnation = 0;
  std::vector<std::string> seeds;  // ids of registries
  std::vector<Address> voters;
  std::vector<SimDisk> disks;
  std::vector<std::shared_ptr<Acceptor<SimProcess, SimDisk>>> acceptors;
  // Declared before the objects that run on them: their alarms unregister from the process in their destructors.
  std::vector<std::shared_ptr<SimProcess>> dead_processes;
  std::map<std::string, RegistryProcess> registries;
  std::map<std::string, Node> nodes;
  std::vector<std::shared_ptr<Registry<SimProcess>>> started_registries;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
};

}  // namespace banktide
