// Claims of version numbers, compared with a map of all claims.
#include "state/version_claims.hpp"

#include "protocol/digest.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace banktide {
namespace {

TEST(VersionClaims, a_number_has_one_content_whether_it_is_current_or_outdated) {
  RegisterValue value;
  value = claim_version(value, 7, "first", "kept first");
  EXPECT_EQ(value.revision, 7u);
  EXPECT_EQ(value.bytes, "kept first");
  EXPECT_EQ(find_claim(value, 7, "first"), VersionClaim::same_content);
  EXPECT_EQ(find_claim(value, 7, "second"), VersionClaim::other_content);
  EXPECT_EQ(find_claim(value, 8, "first"), VersionClaim::free);

  RegisterValue const refused = claim_version(value, 7, "second", "kept second");
  EXPECT_EQ(refused, value);

  RegisterValue const outdated = claim_version(value, 5, "late", "kept late");
  EXPECT_EQ(outdated.revision, 7u);
  EXPECT_EQ(outdated.bytes, "kept first");
  EXPECT_EQ(find_claim(outdated, 5, "late"), VersionClaim::same_content);
  EXPECT_EQ(find_claim(outdated, 5, "other"), VersionClaim::other_content);
}

TEST(VersionClaims, a_value_written_before_claims_were_recorded_keeps_its_number) {
  RegisterValue value;
  value.revision = 7;
  value.bytes = "kept first";
  value.digest = digest_of(value.bytes);
  RegisterValue const again = claim_version(value, 7, "first", "kept first");
  EXPECT_EQ(find_claim(again, 7, "first"), VersionClaim::same_content);
  RegisterValue const other = claim_version(value, 7, "second", "kept second");
  EXPECT_EQ(other.bytes, "kept first");
  EXPECT_EQ(find_claim(other, 7, "second"), VersionClaim::other_content);
}

TEST(VersionClaims, agrees_with_a_map_and_drops_only_the_oldest) {
  std::mt19937_64 chance(5);
  RegisterValue value;
  std::map<Revision, std::string> first;
  std::vector<Revision> order;
  for (int n = 0; n < 2000; ++n) {
    Revision const version = 1 + chance() % (10 + static_cast<std::uint64_t>(n));
    std::string const content = "content " + std::to_string(chance() % 3);
    value = claim_version(value, version, content, "kept " + content);
    bool const remembered = std::find(order.begin(), order.end(), version) != order.end();
    if (!remembered) {
      first[version] = content;
      order.push_back(version);
      if (order.size() > max_claims) order.erase(order.begin());
    }
    ASSERT_EQ(value.requests.size(), order.size());
    for (Revision const known : order) {
      ASSERT_EQ(find_claim(value, known, first[known]), VersionClaim::same_content);
      ASSERT_EQ(find_claim(value, known, "none of them"), VersionClaim::other_content);
    }
  }
  EXPECT_EQ(order.size(), max_claims);
}

}  // namespace
}  // namespace banktide
