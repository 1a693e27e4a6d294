// Compares the retry budget with a list of every try.
#include "state/retry_budget.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

TEST(RetryBudget, agrees_with_a_list_of_every_try_and_never_exceeds_the_share) {
  RetryBudget b;
  std::deque<std::pair<std::int64_t, bool>> model;  // tick, extra
  std::mt19937_64 r(3);
  std::int64_t ms = 1000;
  for (int i = 0; i < 50000; ++i) {
    ms += static_cast<std::int64_t>(r() % 40) * (r() % 500 == 0 ? 1000 : 1);
    while (!model.empty() && model.front().first <= ms / 100 - 100) model.pop_front();
    std::uint64_t first_tries = 0, extra_tries = 0;
    for (auto const& [t, e] : model) (e ? extra_tries : first_tries) += 1;
    Instant const now{std::chrono::milliseconds(ms)};
    if (r() % 3 != 0) {
      b.record_first(now);
      model.emplace_back(ms / 100, false);
    } else {
      bool const may = extra_tries + 1 <= first_tries / 5 + RetryBudget::margin;
      ASSERT_EQ(b.try_extra(now), may);
      if (may) model.emplace_back(ms / 100, true);
    }
  }
}

}  // namespace
}  // namespace banktide
