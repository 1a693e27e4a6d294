// Frames that were cut or spoilt on their way.
#include "protocol/archive.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

TEST(Archive, any_cut_or_flip_of_a_frame_is_a_mishap_or_a_value_never_more) {
  using Shape = std::vector<std::pair<std::string, std::optional<std::uint64_t>>>;
  Shape const v{{"payments", 7}, {"", std::nullopt}, {std::string(300, 'x'), 1}};
  Bytes const whole = pack(v);
  EXPECT_EQ(*unpack<Shape>(whole), v);
  for (std::size_t n = 0; n < whole.size(); ++n) EXPECT_FALSE(unpack<Shape>(whole.substr(0, n)));
  EXPECT_FALSE(unpack<Shape>(whole + "x"));
  std::mt19937_64 r(1);
  std::size_t refused = 0;
  for (int i = 0; i < 20000; ++i) {
    Bytes b = whole;
    b[r() % b.size()] = static_cast<char>(r());
    refused += !unpack<Shape>(b);
  }
  EXPECT_GT(refused, 500u);
  EXPECT_FALSE(unpack<std::string>(Bytes("\xff\xff\xff\xff", 4)));
}

}  // namespace
}  // namespace banktide
