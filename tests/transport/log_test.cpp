// Quoting of values in log lines.
#include "transport/log.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(Log, values_from_peers_are_quoted_and_stay_on_one_line) {
  EXPECT_EQ(log_line("carry", {{"peer", "127.0.0.1:1"}, {"reason", "bad\n\"x\""}}),
            "event=carry peer=127.0.0.1:1 reason=\"bad?\\\"x\\\"\"");
  EXPECT_EQ(log_value(""), "\"\"");
}

}  // namespace
}  // namespace banktide
