// The register: revisions set by operators, the confirmed reads on which leases
// depend, and durability under lost disks and lost power.
#include "tests/coordination/store_trial.hpp"

namespace banktide {
namespace {

struct SetSize {
  std::size_t voters;
  std::uint32_t losses;
};

TEST(Register, the_highest_revision_wins_and_an_older_one_is_acknowledged_without_effect) {
  StoreTrial t(1, 4, 1);
  t.start_all(true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  EXPECT_EQ(t.put(0, Register::routing, 12, "twelve")->revision, 12u);
  EXPECT_EQ(t.put(1, Register::routing, 900, "nine hundred")->revision, 900u);
  Result<RegisterValue> const older = t.put(2, Register::routing, 13, "thirteen");
  ASSERT_TRUE(older);
  EXPECT_EQ(older->revision, 900u);
  ASSERT_TRUE(t.put(2, Register::routing, 900, "another nine hundred"));
  for (std::size_t client = 0; client < 3; ++client) {
    Result<RegisterValue> const seen = t.get(client, Register::routing);
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen->revision, 900u);
    EXPECT_EQ(seen->bytes, "nine hundred");
  }
  EXPECT_EQ(t.get(0, Register::keys)->revision, 0u);
}

TEST(Register, concurrent_writes_leave_the_higher_revision_with_its_own_bytes) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    StoreTrial t(seed, 4, 1);
    t.start_all(true);
    ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
    std::array<std::optional<Result<RegisterValue>>, 2> done;
    for (std::size_t c = 0; c < 2; ++c) {
      Revision const revision = 20 + 10 * c;
      auto const newer = [revision](RegisterValue const& now) -> Result<RegisterValue> {
        RegisterValue next = now;
        if (revision <= now.revision) return next;
        next.revision = revision;
        next.bytes = std::to_string(revision);
        return next;
      };
      spawn(*t.clients[c], t.put_one(c, Register::catalogue, newer, 5s, done[c]));
    }
    ASSERT_TRUE(t.run_until([&] { return done[0] && done[1]; }, 10s));
    EXPECT_TRUE(*done[0]);
    EXPECT_TRUE(*done[1]);
    EXPECT_EQ(t.get(2, Register::catalogue)->bytes, "30");
  }
}

TEST(Register, a_confirmed_read_includes_every_change_completed_before_the_request) {
  StoreTrial t(2, 4, 1);
  t.start_all(true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  RegisterValue known;
  for (Revision n = 1; n <= 30; ++n) {
    t.net.sim.cut("core-" + std::to_string(n % 4), "client-0");
    ASSERT_TRUE(t.put(0, Register::keys, n, std::to_string(n)));
    t.sim.heal();
    Instant const before = t.clients[1]->now();
    Result<ConfirmedValue> const seen = t.confirm(1, Register::keys, known, 2s);
    if (!seen) continue;  // no agreement: a voter may still hold an older ballot
    EXPECT_EQ(seen->held.bytes, std::to_string(n));
    EXPECT_GE(seen->as_of, before);
    known = seen->held;
  }
  EXPECT_GT(known.revision, 20u);
}

TEST(Register, one_request_bounds_the_revisions_of_all_registers_from_above) {
  StoreTrial t(4, 4, 1);
  EXPECT_FALSE(t.newest_revisions(0, 1s));
  t.start_all(true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  for (Revision n = 1; n <= 20; ++n) {
    Register const changed = n % 2 == 0 ? Register::keys : Register::routing;
    // One voter misses the change, and the reader is cut off from another voter.
    t.net.sim.cut("core-" + std::to_string(n % 4), "client-0");
    t.net.sim.cut("client-1", "core-" + std::to_string((n + 1) % 4));
    ASSERT_TRUE(t.put(0, changed, n, std::to_string(n)));
    StoreTrial::Newest const newest = t.newest_revisions(1, 2s);
    ASSERT_TRUE(newest);
    EXPECT_GE((*newest)[static_cast<std::size_t>(changed)], n);
    EXPECT_EQ((*newest)[static_cast<std::size_t>(Register::maintenance)], 0u);
    t.sim.heal();
  }
  t.power_off(0);
  t.power_off(3);
  EXPECT_FALSE(t.newest_revisions(1, 1s));
}

TEST(Register, confirm_fails_without_a_majority_and_without_a_reported_voter_set) {
  StoreTrial t(3, 4, 1);
  EXPECT_FALSE(t.confirm(0, Register::keys, RegisterValue{}, 1s));
  EXPECT_FALSE(t.registers[0]->knows_voters());
  t.start_all(true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  ASSERT_TRUE(t.put(0, Register::keys, 1, "one"));
  t.power_off(0);
  t.power_off(3);
  EXPECT_FALSE(t.confirm(0, Register::keys, RegisterValue{}, 1s));
}

// For each set of up to `losses` disks: a value that was just acknowledged can be
// read after these disks are wiped while all the other voters lose power. The value
// is written while some voters are unreachable, so that it has the minimum of copies.
void wipe_every_subset(SetSize const size, std::uint64_t const seed, bool const recently_added) {
  std::size_t const subsets = std::size_t{1} << size.voters;
  for (std::size_t wiped = 0; wiped < subsets; ++wiped) {
    if (static_cast<std::uint32_t>(__builtin_popcountll(wiped)) > size.losses) continue;
    StoreTrial t(seed + wiped, size.voters, size.losses);
    std::size_t const first = recently_added ? size.voters - 1 : size.voters;
    for (std::size_t i = 0; i < first; ++i) t.start(i, true);
    ASSERT_TRUE(t.run_until([&] { return t.all_vote(first); }, 30s)) << "founding";
    if (recently_added) {
      ASSERT_TRUE(t.put(0, Register::routing, 5, "before the last was added"));
      t.start(first, false);
      ASSERT_TRUE(t.run_until([&] { return t.all_vote(size.voters); }, 30s)) << "adding";
    }
    ASSERT_TRUE(t.get(0, Register::routing)) << "a client that has learned the voters";
    std::size_t const copies = quorum_size(size.voters, size.losses);
    for (std::size_t k = 0, away = size.voters - copies; k < size.voters && away > 0; ++k) {
      if ((wiped >> k & 1) != 0) continue;  // the voters to be wiped hold a copy
      t.sim.cut("client-0", "core-" + std::to_string(k));
      --away;
    }
    ASSERT_TRUE(t.put(0, Register::routing, 77, "acknowledged")) << "wiped " << wiped;
    for (std::size_t i = 0; i < size.voters; ++i) t.power_off(i);
    t.sim.heal();
    for (std::size_t i = 0; i < size.voters; ++i) {
      if ((wiped >> i & 1) != 0) t.wipe(i);
      t.start(i, false);
    }
    Result<RegisterValue> const soon = t.get(1, Register::routing, 20s);
    ASSERT_TRUE(soon) << "wiped " << wiped << ": " << soon.error().reason;
    EXPECT_EQ(soon->bytes, "acknowledged") << "wiped " << wiped;
    ASSERT_TRUE(t.run_until([&] { return t.all_vote(size.voters); }, 20s)) << "rejoining, wiped " << wiped;
    EXPECT_EQ(t.get(2, Register::routing)->bytes, "acknowledged") << "wiped " << wiped;
  }
}

TEST(Register, an_acknowledged_value_survives_the_tolerated_disk_losses_and_a_power_loss_of_the_others) {
  for (SetSize const size : {SetSize{3, 1}, SetSize{4, 1}, SetSize{5, 2}}) wipe_every_subset(size, 100, false);
}
TEST(Register, the_same_holds_with_seven_voters_and_three_losses) { wipe_every_subset(SetSize{7, 3}, 1000, false); }
TEST(Register, the_same_holds_just_after_a_voter_was_added) {
  for (SetSize const size : {SetSize{4, 1}, SetSize{5, 2}}) wipe_every_subset(size, 5000, true);
}

}  // namespace
}  // namespace banktide
