// Stores and clients on the simulated network for the tests of the register: stores
// bootstrap it, join it, lose power and lose their disks.
#pragma once

#include "coordination/membership.hpp"
#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {

struct StoreTrial {
  /// Creates `stores` machines; the first three are the seeds.
  StoreTrial(std::uint64_t const seed, std::size_t const stores, std::uint32_t const losses)
      : sim(seed), net(sim), losses(losses), disks(stores), memberships(stores), acceptors(stores) {
    for (std::size_t i = 0; i < stores; ++i) addresses.push_back("store-" + std::to_string(i) + ":1");
    seeds.assign(addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(3, stores)));
    for (std::size_t i = 0; i < 3; ++i) {
      Address const a = "client-" + std::to_string(i) + ":1";
      clients.push_back(std::make_shared<SimProcess>(sim, net, "client-" + std::to_string(i), a, 1));
      net.at[a] = clients.back();
      net.machine_of[a] = clients.back()->machine;
      registers.push_back(std::make_unique<RegisterClient<SimProcess>>(*clients.back(), StoreSeeds{seeds}));
    }
  }
  // Starts the coroutines spawned last, so that they end with their processes.
  ~StoreTrial() {
    sim.run_ready_handlers();
    for (std::shared_ptr<SimProcess> const& p : all) p->kill();
    for (std::shared_ptr<SimProcess> const& p : clients) p->kill();
    sim.clear();
  }
  StoreTrial(StoreTrial const&) = delete;

  void start(std::size_t const i, bool const initial) {
    std::shared_ptr<SimProcess> p =
        std::make_shared<SimProcess>(sim, net, "core-" + std::to_string(i), addresses[i], ++runs);
    power_off(i);
    net.at[addresses[i]] = p;
    net.machine_of[addresses[i]] = p->machine;
    all.push_back(p);
    disks[i].process = p.get();
    acceptors[i] = std::make_shared<Acceptor<SimProcess, SimDisk>>(*p, disks[i], addresses[i]);
    EXPECT_TRUE(acceptors[i]->load());
    MembershipSettings settings;
    settings.seeds = seeds;
    settings.initial_start = initial;
    settings.losses = losses;
    memberships[i] = std::make_shared<Membership<SimProcess, SimDisk>>(*p, *acceptors[i], settings);
    retired.emplace_back(acceptors[i], memberships[i]);
    dispatchers.push_back(std::make_unique<Dispatcher>());
    acceptors[i]->attach(*dispatchers.back());
    memberships[i]->attach(*dispatchers.back());
    p->serve(*dispatchers.back());
    spawn(*p, memberships[i]->run());
  }
  void start_all(bool const initial) {
    for (std::size_t i = 0; i < addresses.size(); ++i) start(i, initial);
  }
  void power_off(std::size_t const i) {
    if (net.at.contains(addresses[i])) net.at[addresses[i]]->kill();
  }
  void wipe(std::size_t const i) { disks[i].durable = VoterRecord{}; }

  void run_for(Duration const d) { sim.run_until(sim.now + d); }
  /// Runs until the condition holds; returns false if it doesn't within `limit`.
  bool run_until(std::function<bool()> const& holds, Duration const limit) {
    Instant const end = sim.now + limit;
    while (!holds() && sim.now < end) run_for(20ms);
    return holds();
  }
  bool all_vote(std::size_t const voters) {
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      if (!net.at.contains(addresses[i]) || !net.at[addresses[i]]->alive) continue;
      if (!acceptors[i]->voting() || acceptors[i]->set().voters.size() != voters) return false;
    }
    return true;
  }

  /// The voter set known to each running store, for failure messages.
  std::string describe() {
    std::string out;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      if (!net.at.contains(addresses[i]) || !net.at[addresses[i]]->alive) continue;
      VoterSet const& set = acceptors[i]->set();
      out += addresses[i] + (acceptors[i]->voting() ? " votes" : " doesn't vote") + " in epoch " +
             std::to_string(set.epoch) + " of";
      for (VoterEntry const& e : set.voters) out += " " + e.address;
      out += "\n";
    }
    return out;
  }

  // Complete operations: each of these runs the simulation until the operation ends.
  Result<RegisterValue> put(std::size_t const client, Register const reg, Revision const revision,
                            std::string const bytes, Duration const patience = 5s) {
    auto const newer = [&](RegisterValue const& now) -> Result<RegisterValue> {
      RegisterValue next = now;
      if (revision <= now.revision) return next;
      next.revision = revision;
      next.bytes = bytes;
      return next;
    };
    std::optional<Result<RegisterValue>> done;
    spawn(*clients[client], put_one(client, reg, newer, patience, done));
    run_until([&] { return done.has_value(); }, patience + 2s);
    return done ? *done : Result<RegisterValue>(make_error("put", "", "no end"));
  }
  Result<RegisterValue> get(std::size_t const client, Register const reg, Duration const patience = 5s) {
    std::optional<Result<RegisterValue>> done;
    spawn(*clients[client], get_one(client, reg, patience, done));
    run_until([&] { return done.has_value(); }, patience + 2s);
    return done ? *done : Result<RegisterValue>(make_error("get", "", "no end"));
  }
  Result<ConfirmedValue> confirm(std::size_t const client, Register const reg, RegisterValue const known,
                                 Duration const patience) {
    std::optional<Result<ConfirmedValue>> done;
    spawn(*clients[client], confirm_one(client, reg, known, patience, done));
    run_until([&] { return done.has_value(); }, patience + 2s);
    return done ? *done : Result<ConfirmedValue>(make_error("confirm", "", "no end"));
  }

  using Newest = std::optional<std::array<Revision, register_count>>;
  Newest newest_revisions(std::size_t const client, Duration const patience) {
    std::optional<Newest> done;
    spawn(*clients[client], newest_one(client, patience, done));
    run_until([&] { return done.has_value(); }, patience + 2s);
    return done.value_or(Newest{});
  }
  Task<void> newest_one(std::size_t const c, Duration const patience, std::optional<Newest>& done) {
    done = co_await registers[c]->newest_revisions(clients[c]->now() + patience);
  }

  template <class F>
  Task<void> put_one(std::size_t const c, Register const reg, F newer, Duration const patience,
                     std::optional<Result<RegisterValue>>& done) {
    done = co_await registers[c]->change(reg, "", clients[c]->now() + patience, newer);
  }
  Task<void> get_one(std::size_t const c, Register const reg, Duration const patience,
                     std::optional<Result<RegisterValue>>& done) {
    RegisterValue const none{};
    done = co_await registers[c]->read(reg, none, clients[c]->now() + patience);
  }
  Task<void> confirm_one(std::size_t const c, Register const reg, RegisterValue const known, Duration const patience,
                         std::optional<Result<ConfirmedValue>>& done) {
    done = co_await registers[c]->confirm(reg, known, clients[c]->now() + patience);
  }

  Sim sim;
  SimNet net;
  std::uint32_t const losses;
  std::vector<Address> addresses, seeds;
  std::vector<SimDisk> disks;
  // The processes must outlive the objects that run on them, whose alarms deregister there on destruction.
  std::vector<std::shared_ptr<SimProcess>> all, clients;
  std::vector<std::shared_ptr<Membership<SimProcess, SimDisk>>> memberships;
  std::vector<std::shared_ptr<Acceptor<SimProcess, SimDisk>>> acceptors;
  std::vector<std::pair<std::shared_ptr<void>, std::shared_ptr<void>>> retired;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  std::vector<std::unique_ptr<RegisterClient<SimProcess>>> registers;
  std::uint64_t runs = 0;
};

}  // namespace banktide
