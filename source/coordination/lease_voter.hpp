// One registry's votes on the leases of key slices. Grants are kept in memory only:
// after a start the voter abstains for a full lease term, so that no forgotten grant
// can still be in force, and until it has a floor for epochs from the register, so
// that epochs increase even if every registry has forgotten them. The epoch of a slice
// increases with every change of holder. When a service's keys are mapped to slices
// differently, slices of the new mapping are granted only after every grant of the
// previous mapping has expired.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <map>

namespace banktide {

inline constexpr Duration lease_term = 4s;
// A holder stops this much before the end of its lease, to allow for clock drift.
inline constexpr Duration lease_margin = 200ms;

template <Clock Env>
class LeaseVoter {
 public:
  explicit LeaseVoter(Env& env) : env_(env), abstains_until_(env.now() + lease_term) {}

  void set_floor(std::uint64_t const epoch) { floor_ = epoch; }
  bool has_floor() const { return floor_ > 0; }

  LeaseReply ask(LeaseRequest const& request) {
    Instant const now = env_.now();
    LeaseReply reply;
    for (SliceClaim const& c : request.release) {
      auto const it = grants_.find(c.slice);
      if (it != grants_.end() && it->second.holder == request.holder && it->second.epoch == c.epoch)
        it->second.until = now;
    }
    if (now < abstains_until_ || !has_floor() || request.want.size() > 4096) return reply;
    reply.voting = true;
    for (SliceClaim const& c : request.want) {
      Grant& g = grants_[c.slice];
      bool const free = g.until <= now || g.holder == request.holder;
      bool const newer = g.holder == request.holder ? c.epoch >= g.epoch : c.epoch > g.epoch;
      std::uint64_t const least = std::max(floor_, highest_epoch_of_other_mappings(c.slice));
      bool const ok = broken_on_purpose("lease_to_all") ||
                      (free && newer && c.epoch > least && !other_mapping_in_force(c.slice, now));
      if (ok) {
        g.holder = request.holder;
        g.epoch = c.epoch;
        g.until = now + lease_term;
        Mapping& m = mappings_[{c.slice.service, c.slice.mapping}];
        m.last_expiry = std::max(m.last_expiry, g.until);
        m.highest_epoch = std::max(m.highest_epoch, g.epoch);
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
  bool other_mapping_in_force(Slice const& s, Instant const now) {
    for (auto it = mappings_.lower_bound({s.service, 0}); it != mappings_.end() && it->first.first == s.service; ++it) {
      if (it->first.second == s.mapping || it->second.last_expiry <= now) continue;
      for (auto g = grants_.lower_bound(Slice{s.service, it->first.second, 0});
           g != grants_.end() && g->first.service == s.service && g->first.mapping == it->first.second; ++g)
        if (g->second.until > now) return true;
      it->second.last_expiry = now;
    }
    return false;
  }

  std::uint64_t highest_epoch_of_other_mappings(Slice const& s) const {
    std::uint64_t highest_epoch = 0;
    for (auto it = mappings_.lower_bound({s.service, 0}); it != mappings_.end() && it->first.first == s.service; ++it)
      if (it->first.second != s.mapping) highest_epoch = std::max(highest_epoch, it->second.highest_epoch);
    return highest_epoch;
  }

  Env& env_;
  Instant const abstains_until_;
  std::uint64_t floor_ = 0;
  std::map<Slice, Grant> grants_;
  struct Mapping {
    Instant last_expiry{};            // latest expiry of its grants
    std::uint64_t highest_epoch = 0;  // highest epoch granted
  };
  std::map<std::pair<std::string, std::uint64_t>, Mapping> mappings_;
};

}  // namespace banktide
