// All sequences of faults up to a given length, each within what the voter set must
// tolerate: no acknowledged value is lost, and the register stays available.
#include "tests/coordination/voter_replacement_trial.hpp"

namespace banktide {
namespace {

struct SequenceParameters {
  std::size_t voters;
  std::uint32_t losses;
  Fault first;
};

std::string name_of_sequence(testing::TestParamInfo<SequenceParameters> const& info) {
  SequenceParameters const& p = info.param;
  return std::to_string(p.voters) + "_voters_" + std::to_string(p.losses) + "_losses_first_" + name_of(p.first);
}

std::string describe(std::vector<FaultStep> const& steps) {
  std::ostringstream out;
  for (FaultStep const& s : steps) out << s << " ";
  return out.str();
}

constexpr std::array all_faults{Fault::replace,   Fault::replace_planned, Fault::lose_disk, Fault::lose_power,
                                Fault::stay_away, Fault::interrupted,     Fault::closing};
void expect_sequence_is_tolerated(SequenceParameters const& core, std::vector<FaultStep> const& steps) {
  SCOPED_TRACE(describe(steps));
  ReplacementTrial trial(11, core.voters, core.losses, steps.size());
  ASSERT_TRUE(trial.formed());
  EXPECT_TRUE(trial.run_steps(steps));
}

class VoterReplacement : public testing::TestWithParam<SequenceParameters> {};

TEST_P(VoterReplacement, every_pair_of_faults_is_tolerated) {
  for (Fault const second : all_faults)
    for (bool const first_oldest : {true, false})
      for (bool const second_oldest : {true, false})
        expect_sequence_is_tolerated(GetParam(),
                                     {FaultStep{GetParam().first, first_oldest}, FaultStep{second, second_oldest}});
}

std::vector<SequenceParameters> sets_and_first_faults() {
  std::vector<SequenceParameters> all;
  for (SequenceParameters const core :
       {SequenceParameters{3, 1, {}}, SequenceParameters{4, 1, {}}, SequenceParameters{5, 2, {}},
        SequenceParameters{6, 2, {}}, SequenceParameters{7, 3, {}}})
    for (Fault const first : all_faults) all.push_back(SequenceParameters{core.voters, core.losses, first});
  return all;
}
INSTANTIATE_TEST_SUITE_P(Pairs, VoterReplacement, testing::ValuesIn(sets_and_first_faults()), name_of_sequence);

class VoterReplacementTriples : public testing::TestWithParam<SequenceParameters> {};

TEST_P(VoterReplacementTriples, every_sequence_of_three_is_tolerated) {
  for (Fault const second : all_faults)
    for (Fault const third : all_faults)
      for (bool const second_oldest : {true, false})
        for (bool const third_oldest : {true, false})
          expect_sequence_is_tolerated(GetParam(), {FaultStep{GetParam().first, true}, FaultStep{second, second_oldest},
                                                    FaultStep{third, third_oldest}});
}
INSTANTIATE_TEST_SUITE_P(Threes, VoterReplacementTriples, testing::ValuesIn(sets_and_first_faults()), name_of_sequence);

// Two machines fail permanently at the same moment, twice in a row.
TEST(VoterReplacementCases, two_voters_that_fail_at_once_are_both_replaced_in_time) {
  for (std::size_t const voters : {5u, 6u, 7u}) {
    StoreTrial t(3, voters + 4, 2);
    for (std::size_t i = 0; i < voters; ++i) t.start(i, true);
    ASSERT_TRUE(t.run_until([&] { return t.all_vote(voters); }, 30s));
    for (std::size_t round = 0; round < 2; ++round) {
      for (std::size_t const failed : {2 * round, 2 * round + 1}) {
        t.power_off(failed);
        t.net.unpowered.insert("core-" + std::to_string(failed));
      }
      t.run_for(1s);
      t.seeds = {t.addresses[4], t.addresses[voters], t.addresses[voters + 1]};
      for (std::size_t k = 0; k < 2; ++k) t.start(voters + 2 * round + k, false);
      t.run_for(ReplacementTrial::catch_up);
      EXPECT_TRUE(t.all_vote(voters)) << voters << " voters, round " << round << "\n" << t.describe();
      EXPECT_TRUE(t.put(0, Register::routing, 1 + round, "value", 2s));
    }
  }
}

// A voter that was removed while it was without power must not reuse its old state: it
// joins under a new disk identifier and receives the values written meanwhile.
TEST(VoterReplacementCases, a_voter_that_was_replaced_while_without_power_returns_as_a_newcomer) {
  StoreTrial t(4, 5, 1);
  for (std::size_t i = 0; i < 4; ++i) t.start(i, true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  ASSERT_TRUE(t.put(0, Register::routing, 1, "one"));
  t.power_off(1);
  t.net.unpowered.insert("core-1");
  t.run_for(1s);
  t.start(4, false);
  ASSERT_TRUE(t.run_until([&] { return t.acceptors[4]->voting(); }, 4s));
  EXPECT_EQ(find_entry(t.acceptors[4]->set(), "store-1:1"), nullptr);
  ASSERT_TRUE(t.put(0, Register::routing, 2, "two"));
  std::uint64_t const old_disk = t.disks[1].durable.disk;
  t.net.unpowered.erase("core-1");
  t.start(1, false);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(5); }, 4s));
  EXPECT_NE(t.disks[1].durable.disk, old_disk);
  EXPECT_EQ(t.disks[1].durable.slots[0].held.bytes, "two");
}

// Voters that were down during a replacement can't form a quorum of the replaced set
// together with a voter that lost its disk.
TEST(VoterReplacementCases, outdated_voters_and_an_empty_disk_form_no_quorum_of_a_replaced_set) {
  StoreTrial t(5, 5, 1);
  for (std::size_t i = 0; i < 4; ++i) t.start(i, true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(4); }, 20s));
  ASSERT_TRUE(t.put(0, Register::routing, 1, "old"));
  auto const cut_power = [&t](std::size_t const i) {
    t.power_off(i);
    t.net.unpowered.insert("core-" + std::to_string(i));
  };
  auto const restore_power = [&t](std::size_t const i) {
    t.net.unpowered.erase("core-" + std::to_string(i));
    t.start(i, false);
  };
  cut_power(0);
  t.run_for(1s);
  t.start(4, false);
  ASSERT_TRUE(t.run_until([&] { return t.acceptors[4]->voting(); }, 4s));
  // store-3 misses the newest value, store-1 loses its disk, and the other two lose power.
  cut_power(3);
  ASSERT_TRUE(t.put(0, Register::routing, 2, "new"));
  for (std::size_t const i : {1u, 2u, 4u}) cut_power(i);
  t.wipe(1);
  for (std::size_t const i : {0u, 1u, 3u}) restore_power(i);
  for (std::size_t look = 0; look < 10; ++look) {
    t.run_for(1s);
    Result<RegisterValue> const seen = t.get(1, Register::routing, 500ms);
    EXPECT_FALSE(seen && seen->bytes == "old");
  }
  for (std::size_t const i : {2u, 4u}) restore_power(i);
  Result<RegisterValue> const seen = t.get(1, Register::routing, 15s);
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->bytes, "new");
}

TEST(VoterReplacementCases, a_voter_that_lost_its_disk_votes_again_within_two_seconds_while_another_is_down) {
  StoreTrial t(6, 5, 2);
  t.start_all(true);
  ASSERT_TRUE(t.run_until([&] { return t.all_vote(5); }, 20s));
  ASSERT_TRUE(t.put(0, Register::routing, 1, "one"));
  t.power_off(4);
  t.net.unpowered.insert("core-4");
  t.power_off(0);
  t.wipe(0);
  t.run_for(300ms);
  t.start(0, false);
  EXPECT_TRUE(t.run_until([&] { return t.acceptors[0]->voting(); }, 2s));
}

}  // namespace
}  // namespace banktide
