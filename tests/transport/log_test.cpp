// Log lines.
#include "transport/log.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(Log, a_line_stays_a_line_whatever_a_peer_sent) {
  EXPECT_EQ(log_line("carry", {{"peer", "127.0.0.1:1"}, {"reason", "bad\n\"x\""}}),
            "event=carry peer=127.0.0.1:1 reason=\"bad?\\\"x\\\"\"");
  EXPECT_EQ(log_value(""), "\"\"");
}

}  // namespace
}  // namespace banktide
