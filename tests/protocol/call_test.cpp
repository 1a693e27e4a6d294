// The states of a call: it ends once, and it is forwarded only after a backend was selected.
#include "protocol/call.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(CallStateMachine, a_call_ends_once_and_is_forwarded_only_after_selection) {
  CallStateMachine c;
  EXPECT_FALSE(c.step(CallState::carrying));
  for (CallState const s : {CallState::admitted, CallState::picking, CallState::carrying, CallState::waiting,
                            CallState::picking, CallState::carrying, CallState::waiting, CallState::answered})
    EXPECT_TRUE(c.step(s)) << state_name(s);
  for (std::size_t s = 0; s < 7; ++s) EXPECT_FALSE(c.step(static_cast<CallState>(s)));
}

}  // namespace
}  // namespace banktide
