// One registry's vote on who may act on which key slice. Memory only: after a
// start it abstains for one whole term, so that no grant it has forgotten can
// still be in force, and until it has a floor for epochs from the register, so
// that they rise even when every registry has forgotten them. Epochs rise with
// every change of holder. Slices of one service under another mapping of its
// keys are granted only when no grant of the former mapping is left.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <map>

namespace banktide {

inline constexpr Duration lease_term = 4s;
// The holder stops this much earlier, as clocks differ in speed.
inline constexpr Duration lease_margin = 200ms;

template <Clock Env>
class LeaseVoter {
 public:
  explicit LeaseVoter(Env& env) : env_(env), from_(env.now() + lease_term) {}

  void set_floor(std::uint64_t const epoch) { floor_ = epoch; }
  bool has_floor() const { return floor_ > 0; }

  LeaseReply ask(LeaseAsk const& q) {
    Instant const now = env_.now();
    LeaseReply reply;
    for (SliceClaim const& c : q.release) {
      auto const it = grants_.find(c.slice);
      if (it != grants_.end() && it->second.holder == q.holder && it->second.epoch == c.epoch) it->second.until = now;
    }
    if (now < from_ || !has_floor() || q.want.size() > 4096) return reply;
    reply.voting = true;
    for (SliceClaim const& c : q.want) {
      Grant& g = grants_[c.slice];
      bool const free = g.until <= now || g.holder == q.holder;
      bool const newer = g.holder == q.holder ? c.epoch >= g.epoch : c.epoch > g.epoch;
      std::uint64_t const least = std::max(floor_, top_elsewhere(c.slice));
      bool const ok =
          broken_on_purpose("lease_to_all") || (free && newer && c.epoch > least && !other_mapping(c.slice, now));
      if (ok) {
        g.holder = q.holder;
        g.epoch = c.epoch;
        g.until = now + lease_term;
        Mapping& m = mappings_[{c.slice.service, c.slice.mapping}];
        m.last = std::max(m.last, g.until);
        m.top = std::max(m.top, g.epoch);
      }
      reply.granted.push_back(ok);
      reply.epochs.push_back(std::max(g.epoch, least));
    }
    return reply;
  }

  struct Grant {
    std::string holder;
    std::uint64_t epoch = 0;
    Instant until{};
  };
  std::map<Slice, Grant> const& grants() const { return grants_; }

 private:
  bool other_mapping(Slice const& s, Instant const now) {
    for (auto it = mappings_.lower_bound({s.service, 0}); it != mappings_.end() && it->first.first == s.service; ++it) {
      if (it->first.second == s.mapping || it->second.last <= now) continue;
      for (auto g = grants_.lower_bound(Slice{s.service, it->first.second, 0});
           g != grants_.end() && g->first.service == s.service && g->first.mapping == it->first.second; ++g)
        if (g->second.until > now) return true;
      it->second.last = now;
    }
    return false;
  }

  std::uint64_t top_elsewhere(Slice const& s) const {
    std::uint64_t top = 0;
    for (auto it = mappings_.lower_bound({s.service, 0}); it != mappings_.end() && it->first.first == s.service; ++it)
      if (it->first.second != s.mapping) top = std::max(top, it->second.top);
    return top;
  }

  Env& env_;
  Instant const from_;
  std::uint64_t floor_ = 0;
  std::map<Slice, Grant> grants_;
  struct Mapping {
    Instant last{};         // latest end of its grants
    std::uint64_t top = 0;  // greatest epoch granted
  };
  std::map<std::pair<std::string, std::uint64_t>, Mapping> mappings_;
};

}  // namespace banktide
