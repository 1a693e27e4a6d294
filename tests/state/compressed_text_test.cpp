// Compressed texts are restored byte for byte, and corrupt bytes are refused with an error.
#include "state/compressed_text.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

std::string many_routes(std::size_t const count) {
  std::string text = "[";
  for (std::size_t i = 0; i < count; ++i)
    text += R"({"name":"route-)" + std::to_string(i) + R"(","host":"shop.example","prefix":"/p)" +
            std::to_string(i * 7919 % 100003) + R"(/","service":"orders","timeout":2.5,"attempts":2},)";
  return text + "]";
}

TEST(CompressedText, restores_any_text_byte_for_byte) {
  std::mt19937_64 random(11);
  for (std::size_t const length : {0u, 1u, 2u, 100u, 4096u, 70000u, 300000u}) {
    std::string text(length, '\0');
    for (char& c : text) c = static_cast<char>(random() % (length % 3 == 0 ? 4 : 256));
    Result<std::string> const back = decompress(compress(text));
    ASSERT_TRUE(back) << back.error().reason;
    EXPECT_EQ(*back, text);
  }
}

TEST(CompressedText, takes_a_tenth_of_a_configuration_of_many_routes) {
  std::string const text = many_routes(1000);
  EXPECT_LT(compress(text).size(), text.size() / 10);
}

TEST(CompressedText, refuses_bytes_that_were_cut_changed_or_extended) {
  std::string const text = many_routes(40);
  std::string const bytes = compress(text);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    Result<std::string> const cut = decompress(std::string_view(bytes).substr(0, length));
    ASSERT_FALSE(cut) << length;
    EXPECT_EQ(cut.error().step, "decompress");
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ 0x20);
    Result<std::string> const read = decompress(changed);
    // Some bits of zlib's header don't affect the text.
    if (read) {
      EXPECT_EQ(*read, text) << at;
    }
  }
  EXPECT_FALSE(decompress(bytes + "x"));
}

TEST(CompressedText, refuses_texts_over_the_limit_and_impossible_lengths) {
  std::string const text(100000, 'a');
  EXPECT_FALSE(decompress(compress(text), 99999));
  EXPECT_TRUE(decompress(compress(text), 100000));
  std::string false_length = compress("short");
  false_length[3] = 3;  // claims 48 MiB
  Result<std::string> const read = decompress(false_length);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().reason, "declared length is impossible for this many bytes");
}

}  // namespace
}  // namespace banktide
