// A node's decisions about calls, for operators that watch them: events in a bounded journal, read
// from a position with a filter. The reply reports how many events a slow reader has missed, and
// whether its position is of an earlier incarnation of the node.
#pragma once

#include "protocol/messages.hpp"
#include "state/journal.hpp"

namespace banktide {

class DecisionLog {
 public:
  DecisionLog(std::string node, std::uint64_t const incarnation, std::size_t const limit)
      : node_(std::move(node)), incarnation_(incarnation), journal_(limit) {}

  void append(CallEvent e) {
    e.node = node_;
    e.number = journal_.last() + 1;
    journal_.append(std::move(e));
  }

  DecisionsReply since(DecisionsRequest const& q) const {
    DecisionsReply reply;
    std::uint64_t from = q.from_now ? journal_.last() : 0;
    auto const last_seen = q.after.find(node_);
    if (last_seen != q.after.end()) {
      from = last_seen->second.epoch == incarnation_ ? std::min(last_seen->second.seq, journal_.last()) : 0;
      if (last_seen->second.epoch != incarnation_) reply.gaps.push_back(Gap{node_, 0});
    }
    if (from < journal_.trimmed()) {
      if (last_seen != q.after.end()) reply.gaps.push_back(Gap{node_, journal_.trimmed() - from});
      from = journal_.trimmed();
    }
    std::uint64_t last_read = from;
    std::vector<CallEvent> const events = *journal_.since(from, 4096);
    for (CallEvent const& e : events) {
      if (reply.events.size() >= q.max_events) break;
      last_read = e.number;
      if (q.filter.matches(e)) reply.events.push_back(e);
    }
    reply.next[node_] = Position{incarnation_, last_read};
    return reply;
  }

 private:
  std::string const node_;
  std::uint64_t const incarnation_;
  Journal<CallEvent> journal_;
};

}  // namespace banktide
