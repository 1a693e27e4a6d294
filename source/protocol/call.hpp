// The state machine of a call in a node. Each transition is recorded in the
// node's journal.
#pragma once

#include "protocol/messages.hpp"

#include <array>
#include <cassert>

namespace banktide {

enum class CallState : std::uint8_t { read, admitted, picking, carrying, waiting, answered, dropped };

inline char const* state_name(CallState const s) {
  constexpr std::array<char const*, 7> names{"read",    "admitted", "picking", "carrying",
                                             "waiting", "answered", "dropped"};
  return names[static_cast<std::size_t>(s)];
}

inline bool is_valid_transition(CallState const from, CallState const to) {
  switch (from) {
    case CallState::read:
      return to == CallState::admitted || to == CallState::dropped;
    case CallState::admitted:
      return to == CallState::picking || to == CallState::dropped;
    case CallState::picking:
      return to == CallState::carrying || to == CallState::dropped;
    case CallState::carrying:
      return to == CallState::waiting;
    case CallState::waiting:
      return to == CallState::answered || to == CallState::picking || to == CallState::dropped;
    case CallState::answered:
    case CallState::dropped:
      return false;
  }
  return false;
}

class CallStateMachine {
 public:
  CallState state() const { return state_; }
  bool step(CallState const to) {
    if (!is_valid_transition(state_, to)) return false;
    state_ = to;
    return true;
  }

 private:
  CallState state_ = CallState::read;
};

}  // namespace banktide
