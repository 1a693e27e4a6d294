// A node's decisions for those who watch them: events in a bounded journal, read
// from a position through a filter. A reader that was too slow is told how much
// it lost; one that had a former life of the node is told that, too.
#pragma once

#include "protocol/messages.hpp"
#include "state/journal.hpp"

namespace banktide {

class Decisions {
 public:
  Decisions(std::string node, std::uint64_t const life, std::size_t const limit)
      : node_(std::move(node)), life_(life), journal_(limit) {}

  void append(CallEvent e) {
    e.node = node_;
    e.n = journal_.last() + 1;
    journal_.append(std::move(e));
  }

  DecisionsReply since(DecisionsAsk const& q) const {
    DecisionsReply reply;
    std::uint64_t from = q.from_now ? journal_.last() : 0;
    auto const had = q.after.find(node_);
    if (had != q.after.end()) {
      from = had->second.epoch == life_ ? std::min(had->second.seq, journal_.last()) : 0;
      if (had->second.epoch != life_) reply.gaps.push_back(Gap{node_, 0});
    }
    if (from < journal_.trimmed()) {
      if (had != q.after.end()) reply.gaps.push_back(Gap{node_, journal_.trimmed() - from});
      from = journal_.trimmed();
    }
    std::uint64_t at = from;
    std::vector<CallEvent> const events = *journal_.since(from, 4096);
    for (CallEvent const& e : events) {
      if (reply.events.size() >= q.most) break;
      at = e.n;
      if (q.filter.passes(e)) reply.events.push_back(e);
    }
    reply.next[node_] = Position{life_, at};
    return reply;
  }

 private:
  std::string const node_;
  std::uint64_t const life_;
  Journal<CallEvent> journal_;
};

}  // namespace banktide

#ifdef TESTS_OF_DECISIONS
#include <random>
namespace banktide {
TEST(Decisions, a_reader_gets_every_event_once_or_is_told_of_the_gap) {
  Decisions d("n", 7, 100);
  DecisionsAsk q;
  q.most = 10;
  std::uint64_t seen = 0, lost = 0, made = 0;
  std::mt19937_64 r(4);
  for (int i = 0; i < 3000; ++i) {
    for (std::uint64_t k = r() % 8; k > 0; --k)
      d.append(CallEvent{"", 0, 0, ++made, "", made % 3 ? "stay" : "drop", "", "", "", "", "", false, 0, 0, 0});
    if (r() % 50 == 0) made += 0, i += 20;
    DecisionsReply const reply = d.since(q);
    for (Gap const& g : reply.gaps) lost += g.lost, seen += g.lost;
    for (CallEvent const& e : reply.events) ASSERT_EQ(e.n, ++seen);
    q.after = reply.next;
  }
  EXPECT_GT(seen, 5000u);
  while (seen < made) {
    DecisionsReply const reply = d.since(q);
    for (Gap const& g : reply.gaps) seen += g.lost;
    for (CallEvent const& e : reply.events) ASSERT_EQ(e.n, ++seen);
    q.after = reply.next;
  }
  EXPECT_EQ(seen, made);
  for (int i = 0; i < 150; ++i) d.append(CallEvent{});
  ASSERT_EQ(d.since(q).gaps.size(), 1u);
  EXPECT_EQ(d.since(q).gaps[0].lost, 50u);
  q.filter.decision = "drop";
  EXPECT_TRUE(d.since(q).events.empty());
  Decisions again("n", 8, 100);
  again.append(CallEvent{});
  DecisionsReply const reborn = again.since(q);
  ASSERT_EQ(reborn.gaps.size(), 1u);
  EXPECT_EQ(reborn.gaps[0].lost, 0u);
}
}  // namespace banktide
#endif
