// Measurement of a backend's share of failures, and outlier detection.
#include "data_path/failure_share.hpp"
#include "data_path/outliers.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

Instant const start{1000s};

TEST(FailureShare, approximates_the_share_of_failures_of_many_requests) {
  FailureShare share;
  std::mt19937_64 random(3);
  Instant now = start;
  for (int i = 0; i < 4000; ++i, now += 5ms) share.add(now, random() % 100 < 38);
  EXPECT_NEAR(share.percent(now), 38, 6);
}

TEST(FailureShare, is_low_for_few_requests_and_decays) {
  FailureShare share;
  EXPECT_EQ(share.percent(start), 0u);
  share.add(start, true);
  EXPECT_EQ(share.percent(start), 20u);
  for (int i = 0; i < 50; ++i) share.add(start, true);
  EXPECT_GT(share.percent(start), 90u);
  EXPECT_LT(share.percent(start + 16s), 12u);
  share.add(start - 1s, false);  // a time before the last one causes no decay
  EXPECT_GT(share.percent(start), 85u);
}

TEST(Outliers, a_backend_that_fails_far_more_than_the_others_is_one) {
  EXPECT_EQ(find_outliers({0, 40, 1, 0, 2, 0}), std::vector<bool>({false, true, false, false, false, false}));
}

TEST(Outliers, there_are_none_if_all_fail_alike_or_rarely) {
  std::vector<bool> const none(6, false);
  EXPECT_EQ(find_outliers({40, 45, 38, 60, 41, 39}), none);
  EXPECT_EQ(find_outliers({0, 12, 0, 5, 0, 0}), none);
  EXPECT_EQ(find_outliers({}), std::vector<bool>());
  EXPECT_EQ(find_outliers({90, 0}), std::vector<bool>({false, false}));
}

TEST(Outliers, at_most_a_third_and_the_worst_of_them) {
  std::mt19937_64 random(9);
  for (int i = 0; i < 2000; ++i) {
    std::vector<std::uint32_t> failed(random() % 12);
    for (std::uint32_t& f : failed) f = random() % 2 == 0 ? 0 : static_cast<std::uint32_t>(random() % 101);
    std::vector<bool> const outlier = find_outliers(failed);
    ASSERT_LE(static_cast<std::size_t>(std::count(outlier.begin(), outlier.end(), true)), failed.size() / 3);
    for (std::size_t a = 0; a < failed.size(); ++a)
      for (std::size_t b = 0; b < failed.size(); ++b) ASSERT_FALSE(outlier[a] && !outlier[b] && failed[b] > failed[a]);
  }
}

}  // namespace
}  // namespace banktide
