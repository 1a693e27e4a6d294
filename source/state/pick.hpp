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

struct Mark {
  std::uint32_t in_flight = 0;
  std::uint32_t mishaps = 0;  // in a row
  std::uint32_t ejections = 0;
  Instant ejected_until{};
  Instant entry_from{};
  Instant last_used{};
};

class Marks {
 public:
  static constexpr std::uint32_t mishaps_to_eject = 3;
  static constexpr Duration entry_time = 5s;

  Mark& at(std::string const& name, Instant const now) {
    auto it = marks_.find(name);
    if (it == marks_.end()) {
      if (marks_.size() >= 4096) prune(now);
      it = marks_.emplace(name, Mark{}).first;
      it.value().entry_from = now;
    }
    it.value().last_used = now;
    return it.value();
  }
  bool ejected(std::string const& name, Instant const now) { return now < at(name, now).ejected_until; }
  double entry(std::string const& name, Instant const now) {
    Mark const& m = at(name, now);
    if (m.ejections == 0) return 1;
    double const share = std::chrono::duration<double>(now - m.entry_from) / std::chrono::duration<double>(entry_time);
    return std::min(1.0, std::max(0.1, share));
  }
  void fine(std::string const& name, Instant const now) { at(name, now).mishaps = 0; }
  // A refusal to connect ejects at once; others in a row. Says whether it did.
  bool bad(std::string const& name, Instant const now, bool const at_once) {
    Mark& m = at(name, now);
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
  tsl::robin_map<std::string, Mark> marks_;
};

}  // namespace banktide

#ifdef TESTS_OF_PICK
namespace banktide {
TEST(Pick, draws_as_often_as_the_slow_model_says) {
  std::vector<Candidate> const n{{5, 1}, {1, 1}, {3, 0.25}, {1, 0.5}};
  double total = 0;
  for (Candidate const& c : n) total += c.entry;
  std::vector<double> model(n.size(), 0);  // every ordered pair, weighted
  for (std::size_t i = 0; i < n.size(); ++i)
    for (std::size_t k = 0; k < n.size(); ++k)
      model[n[k].burden < n[i].burden ? k : i] += n[i].entry / total * n[k].entry / total;
  std::mt19937_64 chance(11);
  std::vector<double> seen(n.size(), 0);
  int const rounds = 200000;
  for (int i = 0; i < rounds; ++i) seen[pick(n, chance)] += 1.0 / rounds;
  for (std::size_t i = 0; i < n.size(); ++i) EXPECT_NEAR(seen[i], model[i], 0.01) << i;
}

TEST(Marks, three_mishaps_in_a_row_eject_and_the_way_back_is_gradual) {
  Marks m;
  Instant t{std::chrono::seconds(100)};
  m.bad("x", t, false);
  m.bad("x", t, false);
  m.fine("x", t);
  m.bad("x", t, false);
  m.bad("x", t, false);
  EXPECT_FALSE(m.ejected("x", t));
  m.bad("x", t, false);
  EXPECT_TRUE(m.ejected("x", t));
  t += 2s;
  EXPECT_FALSE(m.ejected("x", t));
  EXPECT_LT(m.entry("x", t), 0.5);
  EXPECT_EQ(m.entry("x", t + 10s), 1.0);
}
}  // namespace banktide
#endif
