// Picking among targets: two are drawn at random and the one with the lesser
// burden plus calls in flight is taken. A target that comes back or is new is
// drawn less often until its re-entry is over. Marks hold what this node has
// itself seen of each target; consecutive mishaps eject it for a while.
#pragma once

#include "transport/result.hpp"

#include <random>
#include <string>
#include <tsl/robin_map.h>
#include <vector>

namespace banktide {

struct Candidate {
  double burden = 0;  // reported burden plus own calls in flight
  double entry = 1;   // 0..1: share of its turns that it takes
};

// The index picked; `n` must not be empty.
inline std::size_t pick(std::vector<Candidate> const& n, std::mt19937_64& chance) {
  std::size_t best = n.size();
  std::uniform_real_distribution<double> unit(0, 1);
  for (int draw = 0, tries = 0; draw < 2; ++tries) {
    std::size_t const i = static_cast<std::size_t>(chance() % n.size());
    if (tries < 16 && unit(chance) >= n[i].entry) continue;
    if (best == n.size() || n[i].burden < n[best].burden) best = i;
    ++draw;
  }
  return best;
}

struct TargetHistory {
  std::uint32_t in_flight = 0;
  std::uint32_t mishaps = 0;  // in a row
  std::uint32_t ejections = 0;
  Instant ejected_until{};
  Instant entry_from{};
  Instant last_used{};
};

class TargetHistories {
 public:
  static constexpr std::uint32_t mishaps_to_eject = 3;
  static constexpr Duration entry_time = 5s;

  TargetHistory& at(std::string const& name, Instant const now) {
    auto it = marks_.find(name);
    if (it == marks_.end()) {
      if (marks_.size() >= 4096) prune(now);
      it = marks_.emplace(name, TargetHistory{}).first;
      it.value().entry_from = now;
    }
    it.value().last_used = now;
    return it.value();
  }
  bool ejected(std::string const& name, Instant const now) { return now < at(name, now).ejected_until; }
  double entry(std::string const& name, Instant const now) {
    TargetHistory const& m = at(name, now);
    if (m.ejections == 0) return 1;
    double const share = std::chrono::duration<double>(now - m.entry_from) / std::chrono::duration<double>(entry_time);
    return std::min(1.0, std::max(0.1, share));
  }
  void fine(std::string const& name, Instant const now) { at(name, now).mishaps = 0; }
  // A refusal to connect ejects at once; others in a row. Says whether it did.
  bool bad(std::string const& name, Instant const now, bool const at_once) {
    TargetHistory& m = at(name, now);
    ++m.mishaps;
    if (!at_once && m.mishaps < mishaps_to_eject) return false;
    m.mishaps = 0;
    m.ejections = std::min<std::uint32_t>(m.ejections + 1, 4);
    m.ejected_until = now + std::chrono::milliseconds(500) * (1u << m.ejections) / 2;
    m.entry_from = m.ejected_until;
    return true;
  }
  void prune(Instant const now) {
    for (auto it = marks_.begin(); it != marks_.end();)
      if (it->second.in_flight == 0 && now - it->second.last_used > 60s)
        it = marks_.erase(it);
      else
        ++it;
  }

 private:
  tsl::robin_map<std::string, TargetHistory> marks_;
};

}  // namespace banktide
