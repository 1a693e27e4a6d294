// Truncated or corrupted payloads must be rejected without excessive allocations.
#include "protocol/archive.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

TEST(Archive, truncated_or_corrupted_payloads_are_rejected_or_decoded_but_never_crash) {
  using Pairs = std::vector<std::pair<std::string, std::optional<std::uint64_t>>>;
  Pairs const value{{"payments", 7}, {"", std::nullopt}, {std::string(300, 'x'), 1}};
  Bytes const packed = pack(value);
  EXPECT_EQ(*unpack<Pairs>(packed), value);
  for (std::size_t n = 0; n < packed.size(); ++n) EXPECT_FALSE(unpack<Pairs>(packed.substr(0, n)));
  EXPECT_FALSE(unpack<Pairs>(packed + "x"));
  std::mt19937_64 random(1);
  std::size_t refused = 0;
  for (int i = 0; i < 20000; ++i) {
    Bytes corrupted = packed;
    corrupted[random() % corrupted.size()] = static_cast<char>(random());
    refused += !unpack<Pairs>(corrupted);
  }
  EXPECT_GT(refused, 500u);
  EXPECT_FALSE(unpack<std::string>(Bytes("\xff\xff\xff\xff", 4)));
}

}  // namespace
}  // namespace banktide
