// Load balancing by two random choices: two targets are drawn at random, and the one with the lower
// burden plus calls in flight is picked. A target that returns after an ejection is drawn less often
// during its slow start. `TargetHistories` records what this node has observed of each target;
// consecutive failures eject it for a while.
#pragma once

#include "transport/result.hpp"

#include <random>
#include <string>
#include <tsl/robin_map.h>
#include <vector>

namespace banktide {

struct Candidate {
  double burden = 0;            // reported burden plus own calls in flight
  double slow_start_share = 1;  // 0..1: the probability that it is accepted when drawn
};

// Returns the index picked; `n` must not be empty.
inline std::size_t pick(std::vector<Candidate> const& n, std::mt19937_64& chance) {
  std::size_t best = n.size();
  std::uniform_real_distribution<double> unit(0, 1);
  for (int draw = 0, tries = 0; draw < 2; ++tries) {
    std::size_t const i = static_cast<std::size_t>(chance() % n.size());
    if (tries < 16 && unit(chance) >= n[i].slow_start_share) continue;
    if (best == n.size() || n[i].burden < n[best].burden) best = i;
    ++draw;
  }
  return best;
}

struct TargetHistory {
  std::uint32_t in_flight = 0;
  std::uint32_t consecutive_failures = 0;  // since the last success
  std::uint32_t ejections = 0;
  Instant ejected_until{};
  Instant slow_start_from{};
  Instant last_used{};
};

class TargetHistories {
 public:
  static constexpr std::uint32_t failures_to_eject = 3;
  static constexpr Duration slow_start_time = 5s;

  TargetHistory& at(std::string const& name, Instant const now) {
    auto it = targets_.find(name);
    if (it == targets_.end()) {
      if (targets_.size() >= 4096) prune(now);
      it = targets_.emplace(name, TargetHistory{}).first;
      it.value().slow_start_from = now;
    }
    it.value().last_used = now;
    return it.value();
  }
  bool ejected(std::string const& name, Instant const now) { return now < at(name, now).ejected_until; }
  double slow_start_share(std::string const& name, Instant const now) {
    TargetHistory const& m = at(name, now);
    if (m.ejections == 0) return 1;
    double const share =
        std::chrono::duration<double>(now - m.slow_start_from) / std::chrono::duration<double>(slow_start_time);
    return std::min(1.0, std::max(0.1, share));
  }
  void record_success(std::string const& name, Instant const now) { at(name, now).consecutive_failures = 0; }
  // Ejects the target at once if `at_once` (a refused connection), else after several consecutive failures. Returns
  // whether it did.
  bool record_failure(std::string const& name, Instant const now, bool const at_once) {
    TargetHistory& m = at(name, now);
    ++m.consecutive_failures;
    if (!at_once && m.consecutive_failures < failures_to_eject) return false;
    m.consecutive_failures = 0;
    m.ejections = std::min<std::uint32_t>(m.ejections + 1, 4);
    m.ejected_until = now + std::chrono::milliseconds(500) * (1u << m.ejections) / 2;
    m.slow_start_from = m.ejected_until;
    return true;
  }
  void prune(Instant const now) {
    for (auto it = targets_.begin(); it != targets_.end();)
      if (it->second.in_flight == 0 && now - it->second.last_used > 60s)
        it = targets_.erase(it);
      else
        ++it;
  }

 private:
  tsl::robin_map<std::string, TargetHistory> targets_;
};

}  // namespace banktide
