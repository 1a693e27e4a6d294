// The register compared with a reference list of changes under partitions, crashes, disk stalls and lost disks.
#include "coordination/register_client.hpp"

#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

// Four voters and three concurrent clients under partitions, crashes, disk stalls
// and lost disks. The value is the list of all changes. Every acknowledged change
// must occur in it exactly once and in order, no change reported as not executed may
// occur, and no read may be older than a change acknowledged before it.
struct RegisterTrial {
  explicit RegisterTrial(std::uint64_t const seed) : sim(seed), net(sim), disks(4) {
    for (int i = 0; i < 4; ++i) voters.push_back("store-" + std::to_string(i) + ":1");
    for (std::size_t i = 0; i < 4; ++i) start(i);
    for (int i = 0; i < 3; ++i) {
      Address const a = "client-" + std::to_string(i) + ":1";
      clients.push_back(std::make_shared<SimProcess>(sim, net, "client-" + std::to_string(i), a, 1));
      net.at[a] = clients.back();
      net.machine_of[a] = clients.back()->machine;
      coordinators.push_back(std::make_unique<RegisterClient<SimProcess>>(*clients.back(), voters));
    }
  }
  ~RegisterTrial() {
    for (std::shared_ptr<SimProcess> const& p : all) p->kill();
    for (std::shared_ptr<SimProcess> const& p : clients) p->kill();
    sim.clear();
  }

  void start(std::size_t const i) {
    std::shared_ptr<SimProcess> p =
        std::make_shared<SimProcess>(sim, net, "core-" + std::to_string(i), voters[i], ++runs);
    if (net.at.contains(voters[i])) net.at[voters[i]]->kill();
    net.at[voters[i]] = p;
    net.machine_of[voters[i]] = p->machine;
    all.push_back(p);
    disks[i].process = p.get();
    acceptors.push_back(std::make_unique<Acceptor<SimProcess, SimDisk>>(*p, disks[i], voters, i));
    EXPECT_TRUE(acceptors.back()->load());
    dispatchers.push_back(std::make_unique<Dispatcher>());
    acceptors.back()->attach(*dispatchers.back());
    p->serve(*dispatchers.back());
    spawn(*p, acceptors.back()->run_until_voting());
  }

  Task<void> keep_changing(std::size_t const c) {
    while (!over) {
      std::string const id = std::to_string(c) + "." + std::to_string(++made) + ";";
      auto const append = [id](RegisterValue const& now) -> Result<RegisterValue> {
        RegisterValue next = now;
        ++next.revision;
        next.bytes += id;
        return next;
      };
      std::size_t const known = acked.size();
      Result<RegisterValue> const r =
          co_await coordinators[c]->change(Register::routing, id, clients[c]->now() + 3s, append);
      if (r)
        acked.push_back(id);
      else if (r.error().proof == Proof::not_run)
        refused.push_back(id);
      RegisterValue const none{};
      Result<RegisterValue> const seen =
          co_await coordinators[c]->read(Register::routing, none, clients[c]->now() + 3s);
      if (seen) {
        for (std::size_t i = 0; i < known; ++i)
          EXPECT_NE((";" + seen->bytes).find(";" + acked[i]), std::string::npos) << "stale reading";
        EXPECT_EQ(static_cast<std::size_t>(std::count(seen->bytes.begin(), seen->bytes.end(), ';')), seen->revision);
        last =
            std::max(last, seen->bytes, [](std::string const& a, std::string const& b) { return a.size() < b.size(); });
        EXPECT_TRUE(last.starts_with(seen->bytes)) << "histories differ";
      }
      co_await sleep_for(*clients[c], std::chrono::milliseconds(sim.chance() % 60));
    }
  }

  static Result<RegisterValue> kept(RegisterValue const& now) {
    RegisterValue next = now;
    next.revision = 1;
    next.bytes = "kept";
    return next;
  }
  Task<void> write_once() {
    written = co_await coordinators[0]->change(Register::routing, "r", clients[0]->now() + 3s, &kept);
  }
  Task<void> read_once() {
    RegisterValue const none{};
    seen = co_await coordinators[1]->read(Register::routing, none, clients[1]->now() + 3s);
  }

  void inject_fault() {
    std::size_t const i = sim.chance() % 4;
    Duration const duration = std::chrono::milliseconds(100 + sim.chance() % 1500);
    switch (sim.chance() % 5) {
      case 0:
      case 1:
        if (voter_down) break;
        voter_down = true;
        net.at[voters[i]]->kill();
        if (sim.chance() % 2 == 0) disks[i].durable = VoterRecord{};
        sim.after(duration, [this, i] { start(i); });
        sim.after(duration + 3s, [this] { voter_down = false; });
        break;
      case 2:
        disks[i].stalled_until = sim.now + duration;
        break;
      case 3: {
        std::string const m = sim.chance() % 2 ? "core-" + std::to_string(i) : "client-" + std::to_string(i % 3);
        for (auto const& [address, other] : net.machine_of) {
          if (sim.chance() % 2) sim.cut(m, other);
          if (sim.chance() % 2) sim.cut(other, m);
        }
        sim.after(duration, [this] { sim.heal(); });
        break;
      }
      default:
        break;
    }
    if (!over) sim.after(std::chrono::milliseconds(200 + sim.chance() % 800), [this] { inject_fault(); });
  }

  Sim sim;
  SimNet net;
  std::vector<Address> voters;
  std::vector<SimDisk> disks;
  std::vector<std::shared_ptr<SimProcess>> all, clients;
  std::vector<std::unique_ptr<Acceptor<SimProcess, SimDisk>>> acceptors;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  std::vector<std::unique_ptr<RegisterClient<SimProcess>>> coordinators;
  std::vector<std::string> acked, refused;
  Result<RegisterValue> written = make_error("", "", ""), seen = make_error("", "", "");
  std::string last;
  std::uint64_t runs = 0, made = 0;
  bool over = false, voter_down = false;
};

TEST(RegisterClient, matches_the_reference_list_of_changes_under_faults) {
  std::size_t acked = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    RegisterTrial t(seed);
    t.sim.run_until(t.sim.now + 3s);
    for (std::size_t c = 0; c < 3; ++c) spawn(*t.clients[c], t.keep_changing(c));
    t.sim.after(500ms, [&] { t.inject_fault(); });
    t.sim.run_until(t.sim.now + 20s);
    t.over = true;
    t.sim.heal();
    t.sim.run_until(t.sim.now + 12s);
    std::string const all = ";" + t.last;
    for (std::string const& id : t.acked) {
      std::size_t const at = all.find(";" + id);
      EXPECT_NE(at, std::string::npos) << "seed " << seed << " lost " << id;
      EXPECT_EQ(all.find(";" + id, at + 1), std::string::npos) << "seed " << seed << " twice " << id;
    }
    for (std::string const& id : t.refused)
      EXPECT_EQ(all.find(";" + id), std::string::npos) << "seed " << seed << " took " << id;
    acked += t.acked.size();
  }
  EXPECT_GT(acked, 1000u);
}

// A voter that lost its disk must recover a value that only two others hold before
// it votes again. Otherwise the next lost disk would lose the value.
TEST(RegisterClient, a_voter_that_lost_its_disk_recovers_its_values_before_it_votes) {
  for (std::string const name : {"", "votes_blank"}) {
    mutant_name = name;
    RegisterTrial t(3);
    auto const lose = [&](std::size_t const i) {
      t.net.at[t.voters[i]]->kill();
      t.disks[i].durable = VoterRecord{};
      t.start(i);
    };
    t.sim.run_until(t.sim.now + 3s);
    t.net.at[t.voters[3]]->kill();
    spawn(*t.clients[0], t.write_once());
    t.sim.run_until(t.sim.now + 4s);
    ASSERT_TRUE(t.written) << t.written.error().reason;
    lose(2);
    t.sim.run_until(t.sim.now + 6s);
    t.net.at[t.voters[0]]->kill();
    t.start(3);
    t.sim.run_until(t.sim.now + 6s);
    lose(1);
    t.sim.run_until(t.sim.now + 6s);
    spawn(*t.clients[1], t.read_once());
    t.sim.run_until(t.sim.now + 4s);
    ASSERT_TRUE(t.seen);
    EXPECT_EQ(t.seen->bytes, name.empty() ? "kept" : "");
    mutant_name.clear();
  }
}

}  // namespace
}  // namespace banktide
