// The state machine of a request in the node that accepted it.
#pragma once

#include <cstdint>

namespace banktide {

enum class RequestPhase : std::uint8_t { admitted, selecting, forwarded, answered, given_up };

inline char const* phase_name(RequestPhase const phase) {
  switch (phase) {
    case RequestPhase::admitted:
      return "admitted";
    case RequestPhase::selecting:
      return "selecting";
    case RequestPhase::forwarded:
      return "forwarded";
    case RequestPhase::answered:
      return "answered";
    case RequestPhase::given_up:
      return "given-up";
  }
  return "unknown";
}

class RequestState {
 public:
  RequestPhase phase() const { return phase_; }

  /** Moves to the phase if the transition is allowed; returns whether it is. */
  bool transition(RequestPhase const to) {
    if (!allowed(phase_, to)) return false;
    phase_ = to;
    return true;
  }

 private:
  static bool allowed(RequestPhase const from, RequestPhase const to) {
    switch (from) {
      case RequestPhase::admitted:
        return to == RequestPhase::selecting || to == RequestPhase::given_up;
      case RequestPhase::selecting:
        return to == RequestPhase::forwarded || to == RequestPhase::answered || to == RequestPhase::given_up;
      case RequestPhase::forwarded:
        return to != RequestPhase::admitted && to != RequestPhase::forwarded;
      case RequestPhase::answered:
      case RequestPhase::given_up:
        return false;
    }
    return false;
  }

  RequestPhase phase_ = RequestPhase::admitted;
};

}  // namespace banktide
