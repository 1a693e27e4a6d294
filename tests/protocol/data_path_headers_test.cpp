// Parsing of structured header values.
#include "protocol/data_path_headers.hpp"

#include <gtest/gtest.h>

namespace banktide {

TEST(DataPathHeaders, LoadLevelsAreThreeNumbers) {
  EXPECT_EQ(parse_load_level("5,0,12"), (LoadLevel{5, 0, 12}));
  EXPECT_EQ(parse_load_level("5, 0, 12"), (LoadLevel{5, 0, 12}));
  for (std::string_view const text : {"", "5", "5,0", "5,0,", "5,0,x", "5,0,12,1", "-5,0,12", "5,0,99999999999"})
    EXPECT_FALSE(parse_load_level(text)) << text;
}

TEST(DataPathHeaders, KeysAreNumbersUpToTheMaximum) {
  EXPECT_EQ(parse_key("0"), 0u);
  EXPECT_EQ(parse_key("65535"), 65535u);
  for (std::string_view const text : {"", "65536", "-1", "1x", " 1", "0x1"}) EXPECT_FALSE(parse_key(text)) << text;
}

}  // namespace banktide
