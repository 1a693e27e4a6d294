// The choice among candidates, and the ejection of targets that fail.
#include "state/pick.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(Pick, draws_as_often_as_an_exhaustive_model_predicts) {
  std::vector<Candidate> const n{{5, 1}, {1, 1}, {3, 0.25}, {1, 0.5}};
  double total = 0;
  for (Candidate const& c : n) total += c.slow_start_share;
  std::vector<double> model(n.size(), 0);  // every ordered pair, weighted
  for (std::size_t i = 0; i < n.size(); ++i)
    for (std::size_t k = 0; k < n.size(); ++k)
      model[n[k].burden < n[i].burden ? k : i] += n[i].slow_start_share / total * n[k].slow_start_share / total;
  std::mt19937_64 chance(11);
  std::vector<double> seen(n.size(), 0);
  int const rounds = 200000;
  for (int i = 0; i < rounds; ++i) seen[pick(n, chance)] += 1.0 / rounds;
  for (std::size_t i = 0; i < n.size(); ++i) EXPECT_NEAR(seen[i], model[i], 0.01) << i;
}

TEST(TargetHistories, three_consecutive_failures_eject_and_the_return_is_gradual) {
  TargetHistories m;
  Instant t{std::chrono::seconds(100)};
  m.record_failure("x", t, false);
  m.record_failure("x", t, false);
  m.record_success("x", t);
  m.record_failure("x", t, false);
  m.record_failure("x", t, false);
  EXPECT_FALSE(m.ejected("x", t));
  m.record_failure("x", t, false);
  EXPECT_TRUE(m.ejected("x", t));
  t += 2s;
  EXPECT_FALSE(m.ejected("x", t));
  EXPECT_LT(m.slow_start_share("x", t), 0.5);
  EXPECT_EQ(m.slow_start_share("x", t + 10s), 1.0);
}

}  // namespace
}  // namespace banktide
