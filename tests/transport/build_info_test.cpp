// The programs tell which commit they were built from.
#include "transport/build_info.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <regex>
#include <string>

namespace banktide {
namespace {

TEST(BuildInfo, names_the_commit_of_a_checkout_and_else_says_that_it_is_unknown) {
  std::string const commit = source_commit();
  bool const in_checkout = std::filesystem::exists(BANKTIDE_SOURCE_FOLDER "/.git");
  if (!in_checkout) {
    EXPECT_EQ(commit, "unknown");
    return;
  }
  EXPECT_TRUE(std::regex_match(commit, std::regex("[0-9a-f]{12}"))) << commit;
}

}  // namespace
}  // namespace banktide
