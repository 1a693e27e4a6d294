// Deltas of operators' texts give exactly the later text or are refused with an error, and are small.
#include "state/text_delta.hpp"

#include "tests/state/compressed_values.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

std::string text_of_routes(std::size_t const count, std::size_t const changed_route, std::string const& change) {
  std::mt19937_64 random(5);
  std::string text = R"({"version":)" + change + R"(,"routes":[)";
  for (std::size_t i = 0; i < count; ++i)
    text += R"({"name":"route-)" + std::to_string(random()) + R"(","host":"shop.example","prefix":"/p)" +
            std::to_string(random() % 100003) + R"(/","service":"orders","timeout":)" +
            (i == changed_route ? change : "2500") + "},";
  return text + "]}";
}

TEST(TextDelta, gives_the_later_text_byte_for_byte) {
  for (std::size_t const routes : {1u, 20u, 300u, 3000u}) {
    RegisterValue const before = compressed_value(7, text_of_routes(routes, 0, "1000"));
    std::string const text = text_of_routes(routes + 1, routes / 2, "1001");
    std::optional<TextDelta> const delta = make_text_delta(before, compressed_value(9, text));
    ASSERT_TRUE(delta) << routes;
    Result<RegisterValue> const after = apply_text_deltas(before, {*delta});
    ASSERT_TRUE(after) << after.error().reason;
    EXPECT_EQ(after->revision, 9u);
    EXPECT_EQ(text_of(*after), text);
    EXPECT_EQ(after->digest, digest_of(after->bytes));
  }
}

// Guards against CONFIG: whole configurations of many routes saturated the links that they are sent on.
TEST(TextDelta, of_one_changed_route_takes_a_hundredth_of_the_whole) {
  RegisterValue const before = compressed_value(7, text_of_routes(1500, 0, "1000"));
  RegisterValue const after = compressed_value(8, text_of_routes(1500, 700, "1001"));
  std::optional<TextDelta> const delta = make_text_delta(before, after);
  ASSERT_TRUE(delta);
  EXPECT_LT(delta->bytes.size() * 100, after.bytes.size());
}

TEST(TextDelta, a_chain_continues_from_the_result_of_another_and_skips_old_deltas) {
  std::vector<RegisterValue> versions;
  std::vector<TextDelta> deltas;
  for (Revision n = 1; n <= 6; ++n) {
    versions.push_back(compressed_value(n, text_of_routes(100, n * 10, std::to_string(n))));
    if (n > 1) deltas.push_back(*make_text_delta(versions[n - 2], versions[n - 1]));
  }
  Result<RegisterValue> const third = apply_text_deltas(versions[0], {deltas[0], deltas[1]});
  ASSERT_TRUE(third);
  Result<RegisterValue> const last = apply_text_deltas(*third, deltas);
  ASSERT_TRUE(last);
  EXPECT_EQ(last->revision, 6u);
  EXPECT_EQ(text_of(*last), text_of(versions[5]));
}

TEST(TextDelta, is_refused_with_its_step_where_it_does_not_fit) {
  RegisterValue const first = compressed_value(1, text_of_routes(50, 1, "10"));
  RegisterValue const second = compressed_value(2, text_of_routes(50, 2, "20"));
  TextDelta const delta = *make_text_delta(first, second);
  auto const refused = [](RegisterValue const& base, std::vector<TextDelta> const& deltas) {
    Result<RegisterValue> const result = apply_text_deltas(base, deltas);
    return !result && result.error().step == "text delta";
  };
  EXPECT_TRUE(refused(second, {delta})) << "no newer delta";
  EXPECT_TRUE(refused(RegisterValue{}, {delta})) << "from another base revision";
  RegisterValue const other_text = compressed_value(1, text_of_routes(60, 3, "30"));
  EXPECT_TRUE(refused(other_text, {delta})) << "the same number with another text";
  EXPECT_TRUE(refused(first, {delta, delta})) << "out of order";
}

TEST(TextDelta, corrupt_bytes_never_give_another_text) {
  RegisterValue const first = compressed_value(1, text_of_routes(30, 1, "10"));
  RegisterValue const second = compressed_value(2, text_of_routes(30, 2, "20"));
  TextDelta const delta = *make_text_delta(first, second);
  for (std::size_t at = 0; at < delta.bytes.size(); ++at) {
    TextDelta changed = delta;
    changed.bytes[at] = static_cast<char>(changed.bytes[at] ^ 0x10);
    Result<RegisterValue> const result = apply_text_deltas(first, {changed});
    if (result) {
      EXPECT_EQ(text_of(*result), text_of(second)) << at;
    }
    TextDelta cut = delta;
    cut.bytes.resize(at);
    EXPECT_FALSE(apply_text_deltas(first, {cut})) << at;
  }
}

TEST(TextDelta, none_is_made_from_bytes_that_are_no_compressed_text) {
  RegisterValue const text = compressed_value(1, text_of_routes(30, 1, "10"));
  RegisterValue other;
  other.revision = 2;
  other.bytes = "plain";
  EXPECT_FALSE(make_text_delta(text, other));
  EXPECT_FALSE(make_text_delta(RegisterValue{}, text));
  EXPECT_FALSE(make_text_delta(compressed_value(2, "x"), text)) << "older";
}

}  // namespace
}  // namespace banktide
