// Slice leases: when a voter abstains, and when it grants a slice to a new holder.
#include "coordination/lease_voter.hpp"

#include "simulation/sim_world.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

struct LeaseVoterTest : testing::Test {
  Sim sim{1};
  SimNet net{sim};
  std::shared_ptr<SimProcess> p = std::make_shared<SimProcess>(sim, net, "m", "a:1", 1);
  LeaseVoter<SimProcess> v{*p};
  bool grants(std::string const& holder, Slice const& s, std::uint64_t const epoch) {
    LeaseReply const r = v.ask(LeaseRequest{holder, {SliceClaim{s, epoch}}, {}});
    return r.voting && r.granted[0];
  }
  void release(std::string const& holder, Slice const& s, std::uint64_t const epoch) {
    v.ask(LeaseRequest{holder, {}, {SliceClaim{s, epoch}}});
  }
};

TEST_F(LeaseVoterTest, abstains_for_a_term_and_until_it_has_an_epoch_floor) {
  Slice const s{"till", 1, 3};
  v.set_floor(100);
  EXPECT_FALSE(grants("a", s, 101));
  sim.run_until(sim.now + lease_term);
  EXPECT_FALSE(grants("a", s, 100));
  EXPECT_TRUE(grants("a", s, 101));
  LeaseVoter<SimProcess> blank(*p);
  sim.run_until(sim.now + lease_term);
  EXPECT_FALSE(blank.ask(LeaseRequest{"a", {SliceClaim{s, 5}}, {}}).voting);
}

TEST_F(LeaseVoterTest, a_new_holder_needs_a_greater_epoch_and_a_free_slice) {
  Slice const s{"till", 1, 3};
  v.set_floor(1);
  sim.run_until(sim.now + lease_term);
  EXPECT_TRUE(grants("a", s, 5));
  EXPECT_TRUE(grants("a", s, 5));
  EXPECT_FALSE(grants("b", s, 6));
  release("b", s, 5);
  EXPECT_FALSE(grants("b", s, 6));
  release("a", s, 4);  // a delayed release of a lease that has been renewed since
  EXPECT_FALSE(grants("b", s, 6));
  release("a", s, 5);
  EXPECT_FALSE(grants("b", s, 5));
  EXPECT_TRUE(grants("b", s, 6));
}

TEST_F(LeaseVoterTest, another_mapping_waits_for_every_lease_of_the_previous_one) {
  v.set_floor(1);
  sim.run_until(sim.now + lease_term);
  EXPECT_TRUE(grants("a", Slice{"till", 32, 3}, 2));
  EXPECT_TRUE(grants("b", Slice{"till", 32, 4}, 2));
  EXPECT_FALSE(grants("c", Slice{"till", 64, 9}, 2));
  EXPECT_TRUE(grants("c", Slice{"rates", 64, 9}, 2));
  release("a", Slice{"till", 32, 3}, 2);
  EXPECT_FALSE(grants("c", Slice{"till", 64, 9}, 2));
  sim.run_until(sim.now + lease_term);
  EXPECT_FALSE(grants("c", Slice{"till", 64, 9}, 2));  // epochs increase across mappings too
  EXPECT_TRUE(grants("c", Slice{"till", 64, 9}, 3));
  EXPECT_FALSE(grants("b", Slice{"till", 32, 4}, 4));
}

}  // namespace
}  // namespace banktide
