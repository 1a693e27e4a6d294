// The voter set: quorum sizes, bootstrapping from seeds, joining and removal, and
// changes that run concurrently, are interrupted or coincide with lost disks.
#include "tests/coordination/store_trial.hpp"

namespace banktide {
namespace {

// Exhaustive: every quorum, every set of lost disks, every group of voters from which
// a recovering voter may receive answers.
TEST(VoterSet, a_recovery_quorum_intersects_every_quorum_and_never_needs_more_voters_than_are_left) {
  struct SetSize {
    std::size_t voters, losses;
  };
  for (SetSize const core :
       {SetSize{3, 1}, SetSize{4, 1}, SetSize{5, 2}, SetSize{6, 2}, SetSize{7, 3}, SetSize{3, 2}}) {
    std::size_t const quorum = quorum_size(core.voters, core.losses);
    std::size_t const enough = recovery_quorum_size(core.voters, core.losses);
    EXPECT_LE(enough, core.voters - core.losses);
    unsigned const subsets = 1u << core.voters;
    bool fewer_would_miss = false;
    for (unsigned held = 0; held < subsets; ++held) {
      if (static_cast<std::size_t>(__builtin_popcount(held)) != quorum) continue;
      for (unsigned lost = 0; lost < subsets; ++lost) {
        if (static_cast<std::size_t>(__builtin_popcount(lost)) > core.losses) continue;
        EXPECT_NE(held & ~lost, 0u);
        for (unsigned answered = 0; answered < subsets; ++answered) {
          if ((answered & lost) != 0) continue;
          std::size_t const n = static_cast<std::size_t>(__builtin_popcount(answered));
          if (n == enough) {
            EXPECT_NE(answered & held, 0u);
          }
          if (n + 1 == enough) fewer_would_miss = fewer_would_miss || (answered & held) == 0;
        }
      }
    }
    EXPECT_TRUE(fewer_would_miss) << core.voters << " voters: the rule asks for more than is needed";
  }
}

// Single voters that are sent requests directly.
struct SingleVoters {
  SingleVoters() : trial(1, 3, 1), client(*trial.clients[0]) {
    before = initial_set({"store-0:1", "a:1", "b:1"}, 1);
    after = with_voter_added(before, VoterEntry{"store-1:1", 77});
    trial.disks[0].durable.phase = BootstrapPhase::voting;
    trial.disks[0].durable.bootstrap_id = 9;
    trial.disks[0].durable.set = before;
    trial.disks[0].durable.disk = 5;
    trial.disks[1].durable.disk = 76;
    for (std::size_t i = 0; i < 2; ++i) serve(i);
  }
  void serve(std::size_t const i) {
    std::shared_ptr<SimProcess> p =
        std::make_shared<SimProcess>(trial.sim, trial.net, "core", trial.addresses[i], i + 1);
    trial.net.at[trial.addresses[i]] = p;
    trial.net.machine_of[trial.addresses[i]] = p->machine;
    trial.all.push_back(p);
    trial.disks[i].process = p.get();
    trial.acceptors[i] = std::make_shared<Acceptor<SimProcess, SimDisk>>(*p, trial.disks[i], trial.addresses[i]);
    EXPECT_TRUE(trial.acceptors[i]->load());
    trial.dispatchers.push_back(std::make_unique<Dispatcher>());
    trial.acceptors[i]->attach(*trial.dispatchers.back());
    p->serve(*trial.dispatchers.back());
  }
  template <class Q>
  static Task<void> ask_one(SimProcess& env, Address const peer, Q const q, std::optional<typename Q::Reply>& out) {
    Result<typename Q::Reply> const r = co_await ask<Q>(env, peer, q, env.now() + 1s);
    if (r) out = *r;
  }
  template <class Q>
  typename Q::Reply reply_to(std::size_t const store, Q const q) {
    std::optional<typename Q::Reply> out;
    spawn(client, ask_one<Q>(client, trial.addresses[store], q, out));
    trial.run_for(2s);
    EXPECT_TRUE(out);
    return out.value_or(typename Q::Reply{});
  }
  static Accept value(std::uint64_t const epoch, std::uint64_t const round, std::string const& bytes) {
    Accept q;
    q.reg = Register::keys;
    q.ballot.epoch = epoch;
    q.ballot.round = round;
    q.held.revision = round;
    q.held.bytes = bytes;
    return q;
  }
  Seal seal() const {
    Seal q;
    q.set = after;
    return q;
  }
  Activate activate() const {
    Activate q;
    q.set = after;
    q.bootstrap_id = 9;
    q.slots[2].accepted.round = 3;
    q.slots[2].held.bytes = "copied";
    return q;
  }

  StoreTrial trial;
  SimProcess& client;
  VoterSet before, after;
};

TEST(VoterSet, a_sealed_voter_reports_its_slots_and_votes_in_neither_set_until_it_is_activated) {
  SingleVoters v;
  EXPECT_TRUE(v.reply_to(0, SingleVoters::value(0, 4, "own")).accepted);
  SealReply const sealed = v.reply_to(0, v.seal());
  EXPECT_TRUE(sealed.sealed);
  EXPECT_EQ(sealed.slots[2].held.bytes, "own");
  AcceptReply const old = v.reply_to(0, SingleVoters::value(0, 5, "late"));
  EXPECT_FALSE(old.voting);
  ASSERT_TRUE(old.newer);
  EXPECT_EQ(*old.newer, v.after);
  ReadRegister look;
  look.reg = Register::keys;
  EXPECT_FALSE(v.reply_to(0, look).voting);
  EXPECT_FALSE(v.reply_to(0, SingleVoters::value(1, 5, "early")).voting);
  EXPECT_EQ(v.trial.disks[0].durable.set, v.after);  // stored, to survive a restart
  EXPECT_TRUE(v.reply_to(0, v.activate()).active);
  look.epoch = 1;
  ReadRegisterReply const now = v.reply_to(0, look);
  EXPECT_TRUE(now.voting);
  EXPECT_EQ(now.revision, 4u);  // its own value was newer than the one received
  EXPECT_TRUE(v.reply_to(0, SingleVoters::value(1, 5, "next")).accepted);
}

TEST(VoterSet, only_the_empty_disk_that_was_added_is_activated_and_it_adopts_the_received_slots) {
  SingleVoters v;
  EXPECT_FALSE(v.reply_to(1, v.activate()).active);
  EXPECT_FALSE(v.reply_to(1, v.seal()).sealed);
  v.trial.disks[1].durable.disk = 77;
  v.trial.power_off(1);
  v.serve(1);
  EXPECT_TRUE(v.reply_to(1, v.activate()).active);
  EXPECT_EQ(v.trial.disks[1].durable.slots[2].held.bytes, "copied");
}

TEST(VoterSet, rounds_increase_from_one_set_to_the_next) {
  Ballot promised;
  promised.round = 8;
  Ballot next;
  next.epoch = 1;
  next.round = 8;
  EXPECT_FALSE(next.may_follow(promised));
  next.round = 9;
  EXPECT_TRUE(next.may_follow(promised));
}

// Slots copied on activation don't count as agreement: a voter that was unreachable
// may hold a newer value of the previous epoch.
TEST(VoterSet, a_read_does_not_rely_on_ballots_of_an_older_set) {
  StoreTrial t(8, 3, 1);
  VoterSet const before = initial_set({"store-0:1", "store-1:1"}, 0);
  for (std::size_t i = 0; i < 3; ++i) {
    t.disks[i].durable.phase = BootstrapPhase::voting;
    t.disks[i].durable.bootstrap_id = 9;
    t.disks[i].durable.disk = i + 1;
    t.disks[i].durable.set = with_voter_added(before, VoterEntry{"store-2:1", 3});
    t.disks[i].durable.active_epoch = 1;
    t.disks[i].durable.slots[2].accepted.round = 4;
    t.disks[i].durable.slots[2].held.revision = 4;
    t.start(i, false);
  }
  EXPECT_FALSE(t.confirm(0, Register::keys, RegisterValue{}, 1s));
  EXPECT_EQ(t.get(0, Register::keys)->revision, 4u);  // writes it back in the new set
  EXPECT_TRUE(t.confirm(0, Register::keys, RegisterValue{}, 1s));
}

TEST(VoterSet, three_seeds_bootstrap_the_register_and_every_other_store_is_added) {
  for (std::size_t const stores : {3u, 4u, 5u, 7u}) {
    StoreTrial t(stores, stores, stores >= 5 ? 2 : 1);
    t.start_all(true);
    ASSERT_TRUE(t.run_until([&] { return t.all_vote(stores); }, 30s)) << stores;
    EXPECT_EQ(t.acceptors[0]->set().epoch, stores - 3);
    for (std::size_t i = 1; i < stores; ++i) EXPECT_EQ(t.acceptors[i]->set(), t.acceptors[0]->set());
    ASSERT_TRUE(t.put(0, Register::keys, 1, "one"));
    EXPECT_EQ(t.registers[0]->set().voters.size(), stores);
  }
}

TEST(VoterSet, stores_without_the_initial_start_setting_bootstrap_nothing) {
  StoreTrial t(1, 4, 1);
  t.start_all(false);
  t.run_for(10s);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_FALSE(t.acceptors[i]->voting());
}

TEST(VoterSet, bootstrapping_continues_after_a_power_loss) {
  for (int ms = 20; ms <= 400; ms += 20) {
    StoreTrial t(static_cast<std::uint64_t>(ms), 5, 2);
    t.start_all(true);
    t.run_for(std::chrono::milliseconds(ms));
    for (std::size_t i = 0; i < 5; ++i) t.power_off(i);
    for (std::size_t i = 0; i < 5; ++i) t.start(i, false);
    EXPECT_TRUE(t.run_until([&] { return t.all_vote(5); }, 40s)) << ms;
  }
}

TEST(VoterSet, a_failed_store_is_removed_and_added_again_when_it_returns) {
  StoreTrial t(5, 4, 1);
  t.start_all(true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  t.power_off(1);
  ASSERT_TRUE(t.put(0, Register::routing, 4, "four"));
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(3); }, 60s));
  ASSERT_TRUE(t.put(0, Register::routing, 5, "five"));
  t.power_off(2);
  t.run_for(60s);
  EXPECT_EQ(t.acceptors[0]->set().voters.size(), 3u);
  t.start(2, false);
  t.start(1, false);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  EXPECT_EQ(t.get(1, Register::routing)->bytes, "five");
}

// Clients write continuously while stores join and machines lose power or, one at a
// time, their disk, at any moment of a set change.
struct FaultRun {
  explicit FaultRun(std::uint64_t const seed, std::size_t const stores) : t(seed, stores, 1) {
    for (std::size_t i = 0; i < 3; ++i) t.start(i, true);
  }
  Task<void> write_continuously(std::size_t const c) {
    while (!over) {
      Revision const revision_to_write = ++last_write * 3 + c;
      auto const newer = [revision_to_write](RegisterValue const& now) -> Result<RegisterValue> {
        RegisterValue next = now;
        if (revision_to_write <= now.revision) return next;
        next.revision = revision_to_write;
        next.bytes = std::to_string(revision_to_write);
        return next;
      };
      Result<RegisterValue> const r =
          co_await t.registers[c]->change(Register::keys, "", t.clients[c]->now() + 3s, newer);
      if (r) {
        acknowledged = std::max(acknowledged, r->revision);
        ++puts;
      }
      Revision const floor = acknowledged;
      RegisterValue const none{};
      Result<ConfirmedValue> const seen =
          co_await t.registers[c]->confirm(Register::keys, none, t.clients[c]->now() + 100ms);
      if (seen) {
        EXPECT_GE(seen->held.revision, floor);
        EXPECT_EQ(seen->held.bytes, seen->held.revision == 0 ? "" : std::to_string(seen->held.revision));
        ++confirmed;
      }
      co_await sleep_for(*t.clients[c], std::chrono::milliseconds(t.sim.chance() % 40));
    }
  }
  void inject_fault() {
    if (over) return;
    std::size_t const i = t.sim.chance() % t.addresses.size();
    Duration const duration = std::chrono::milliseconds(50 + t.sim.chance() % 900);
    bool const up = t.net.at.contains(t.addresses[i]) && t.net.at[t.addresses[i]]->alive;
    std::uint64_t const kind = t.sim.chance() % 4;
    if (up && kind <= 1 && !lost) {
      t.power_off(i);
      if (kind == 0 && t.all_vote_or_down()) {
        lost = true;
        t.wipe(i);
        watch_recovery(i);
      }
      t.sim.after(duration, [this, i] { t.start(i, false); });
    } else if (kind == 2) {
      for (std::size_t k = 0; k < t.addresses.size(); ++k)
        if (t.sim.chance() % 2) t.sim.cut("core-" + std::to_string(i), "core-" + std::to_string(k));
      t.sim.cut("core-" + std::to_string(i), "client-" + std::to_string(t.sim.chance() % 3));
      t.sim.after(duration, [this] { t.sim.heal(); });
    } else {
      t.disks[i].stalled_until = t.sim.now + duration;
    }
    t.sim.after(std::chrono::milliseconds(200 + t.sim.chance() % 900), [this] { inject_fault(); });
  }
  // Allows the next disk loss once the last affected store votes again.
  void watch_recovery(std::size_t const i) {
    t.sim.after(200ms, [this, i] {
      if (t.net.at[t.addresses[i]]->alive && t.acceptors[i]->voting())
        lost = false;
      else
        watch_recovery(i);
    });
  }

  struct Trial : StoreTrial {
    using StoreTrial::StoreTrial;
    bool all_vote_or_down() {
      for (std::size_t i = 0; i < addresses.size(); ++i)
        if (net.at.contains(addresses[i]) && net.at[addresses[i]]->alive && !acceptors[i]->voting()) return false;
      return true;
    }
  };
  Trial t;
  Revision acknowledged = 0;
  std::uint64_t last_write = 0, puts = 0, confirmed = 0;
  bool over = false, lost = false;
};

TEST(VoterSet, no_acknowledged_value_is_lost_and_no_confirmed_read_is_stale_during_set_changes_and_faults) {
  std::uint64_t puts = 0, confirmed = 0;
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    FaultRun s(seed, 6);
    ASSERT_TRUE(s.t.run_until([&] { return s.t.all_vote(3); }, 20s));
    for (std::size_t c = 0; c < 3; ++c) spawn(*s.t.clients[c], s.write_continuously(c));
    s.t.sim.after(300ms, [&] { s.inject_fault(); });
    for (std::size_t i = 3; i < 6; ++i) s.t.sim.after(1s * (i - 2), [&s, i] { s.t.start(i, false); });
    s.t.run_for(15s);
    s.over = true;
    s.t.sim.heal();
    s.t.run_for(3s);
    for (std::size_t i = 0; i < 6; ++i)
      if (!s.t.net.at.contains(s.t.addresses[i]) || !s.t.net.at[s.t.addresses[i]]->alive) s.t.start(i, false);
    EXPECT_TRUE(s.t.run_until([&] { return s.t.all_vote(6); }, 40s)) << "seed " << seed;
    Result<RegisterValue> const seen = s.t.get(0, Register::keys);
    ASSERT_TRUE(seen) << "seed " << seed;
    EXPECT_GE(seen->revision, s.acknowledged) << "seed " << seed;
    puts += s.puts;
    confirmed += s.confirmed;
  }
  EXPECT_GT(puts, 1000u);
  EXPECT_GT(confirmed, 1000u);
}

}  // namespace
}  // namespace banktide
