// The events that a reader of decisions gets, and the gaps that are reported.
#include "state/decision_log.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

TEST(DecisionLog, a_reader_gets_every_event_once_or_a_gap_is_reported) {
  DecisionLog d("n", 7, 100);
  DecisionsRequest q;
  q.max_events = 10;
  std::uint64_t seen = 0, lost = 0, made = 0;
  std::mt19937_64 r(4);
  for (int i = 0; i < 3000; ++i) {
    for (std::uint64_t k = r() % 8; k > 0; --k)
      d.append(CallEvent{"", 0, 0, ++made, "", made % 3 ? "stay" : "drop", "", "", "", "", "", false, 0, 0, 0});
    if (r() % 50 == 0) made += 0, i += 20;
    DecisionsReply const reply = d.since(q);
    for (Gap const& g : reply.gaps) lost += g.lost, seen += g.lost;
    for (CallEvent const& e : reply.events) ASSERT_EQ(e.number, ++seen);
    q.after = reply.next;
  }
  EXPECT_GT(seen, 5000u);
  while (seen < made) {
    DecisionsReply const reply = d.since(q);
    for (Gap const& g : reply.gaps) seen += g.lost;
    for (CallEvent const& e : reply.events) ASSERT_EQ(e.number, ++seen);
    q.after = reply.next;
  }
  EXPECT_EQ(seen, made);
  for (int i = 0; i < 150; ++i) d.append(CallEvent{});
  ASSERT_EQ(d.since(q).gaps.size(), 1u);
  EXPECT_EQ(d.since(q).gaps[0].lost, 50u);
  q.filter.decision = "drop";
  EXPECT_TRUE(d.since(q).events.empty());
  DecisionLog again("n", 8, 100);
  again.append(CallEvent{});
  DecisionsReply const after_restart = again.since(q);
  ASSERT_EQ(after_restart.gaps.size(), 1u);
  EXPECT_EQ(after_restart.gaps[0].lost, 0u);
}

}  // namespace
}  // namespace banktide
