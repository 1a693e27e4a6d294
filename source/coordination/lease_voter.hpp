// One registry's vote on who may act on which key slice. Memory only: after a
// start it abstains for one whole term, so that no grant it has forgotten can
// still be in force. Epochs rise with every change of holder.
#pragma once

#include "protocol/messages.hpp"
#include "transport/surroundings.hpp"

#include <map>

namespace banktide {

inline constexpr Duration lease_term = 4s;

template <Clock W>
class LeaseVoter {
 public:
  explicit LeaseVoter(W& w) : w_(w), from_(w.now() + lease_term) {}

  LeaseReply ask(LeaseAsk const& q) {
    Instant const now = w_.now();
    LeaseReply reply;
    for (SliceClaim const& c : q.release) {
      auto const it = grants_.find({c.service, c.slice});
      if (it != grants_.end() && it->second.holder == q.holder) it->second.until = now;
    }
    if (now < from_ || q.want.size() > 4096) return reply;
    reply.voting = true;
    for (SliceClaim const& c : q.want) {
      Grant& g = grants_[{c.service, c.slice}];
      bool const free = g.until <= now || g.holder == q.holder;
      bool const ok = free && c.epoch >= g.epoch;
      if (ok) {
        g.holder = q.holder;
        g.epoch = c.epoch;
        g.until = now + lease_term;
      }
      reply.granted.push_back(ok);
      reply.epochs.push_back(g.epoch);
    }
    return reply;
  }

 private:
  struct Grant {
    std::string holder;
    std::uint64_t epoch = 0;
    Instant until{};
  };
  W& w_;
  Instant const from_;
  std::map<std::pair<std::string, std::uint32_t>, Grant> grants_;
};

}  // namespace banktide
