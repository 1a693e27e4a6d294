// Reading of bounds from `name=value` texts.
#include "platform/timing_bounds_reader.hpp"

#include <gtest/gtest.h>

namespace banktide::platform {

TEST(TimingBoundsReader, ReadsBoundsAndKeepsOtherDefaults) {
  Result<TimingBounds> const read =
      read_timing_bounds({"drainS=3", "lossSlackS=0.45", "retryRatio=0.3", "retrySlack=224", "someday=true"});
  ASSERT_TRUE(read);
  EXPECT_EQ(read->drain_limit, 3s);
  EXPECT_EQ(read->loss_slack, 450ms);
  EXPECT_EQ(read->retry_ratio, 0.3);
  EXPECT_EQ(read->retry_slack, 224u);
  EXPECT_EQ(read->hold_limit, TimingBounds{}.hold_limit);
}

TEST(TimingBoundsReader, ReadsEachBoundIntoItsOwnField) {
  std::vector<std::string> const names = {
      "seedLagS",  "addressQuarantineS", "contactS",      "ackS",         "syncS",        "drainS",
      "graceS",    "lossSlackS",         "configEffectS", "revertSlackS", "coreStretchS", "retryWindowS",
      "recoveryS", "holdLimitS",         "thawSlackS"};
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < names.size(); ++i) texts.push_back(names[i] + "=" + std::to_string(100 + i));
  Result<TimingBounds> const read = read_timing_bounds(texts);
  ASSERT_TRUE(read);
  std::vector<Duration> const fields = {
      read->seed_list_lag,        read->address_reuse_after, read->contact_window,    read->acknowledgement_limit,
      read->replica_catch_up,     read->drain_limit,         read->shutdown_grace,    read->loss_slack,
      read->configuration_effect, read->revert_slack,        read->unsettled_stretch, read->retry_window,
      read->recovery_limit,       read->hold_limit,          read->thaw_slack};
  for (std::size_t i = 0; i < fields.size(); ++i) EXPECT_EQ(fields[i], std::chrono::seconds(100 + i)) << names[i];
}

TEST(TimingBoundsReader, RefusesKnownBoundsWithoutANumber) {
  for (std::string const text : {"drainS", "drainS=", "revocationGlobal=1", "revokeS=soon", "drainS=two", "drainS=2x",
                                 "drainS=-1", "retryRatio=nan"})
    EXPECT_FALSE(read_timing_bounds({text})) << text;
}

// Guards against losing bounds: values without names were once ignored as unknown bounds.
TEST(TimingBoundsReader, RefusesTextsWithoutAName) {
  for (std::string const text : {"3", "0.25", "true", "=3", ""}) EXPECT_FALSE(read_timing_bounds({text})) << text;
}

TEST(TimingBoundsReader, RevocationIsBoundedOnlyIfStated) {
  EXPECT_EQ(read_timing_bounds({"revocationGlobal=true", "revokeS=5"})->revocation_limit, 5s);
  EXPECT_EQ(read_timing_bounds({"revokeS=5", "revocationGlobal=true"})->revocation_limit, 5s);
  EXPECT_EQ(read_timing_bounds({"revokeS=5", "revocationGlobal=false"})->revocation_limit, std::nullopt);
  EXPECT_EQ(read_timing_bounds({"revokeS=5"})->revocation_limit, std::nullopt);
  EXPECT_EQ(read_timing_bounds({})->revocation_limit, std::nullopt);
}

}  // namespace banktide::platform
