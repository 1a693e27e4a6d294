// The values of the registers as a process that doesn't vote has them: the newest that it was
// given of each, what it lacks by what others tell, and the question that brings the rest.
#pragma once

#include "protocol/zone_messages.hpp"

namespace banktide {

class HeldValues {
 public:
  Held const& of(Register const r) const { return held_.at(static_cast<std::size_t>(r)); }
  Revisions revisions() const;
  /// Whether one of these revisions is newer than what is here.
  bool lack(Revisions const& told) const;

  /// Takes up those that are newer and whose digest is right; says which.
  std::vector<Register> take(std::vector<std::pair<Register, Held>> const& newer);
  /// The table of keys after these deltas, if they begin at the one here. After deltas that should fit
  /// and don't the whole table is asked for.
  std::vector<Register> take_key_deltas(std::vector<KeyDelta> const& deltas);

  /// For all that is newer than here.
  LayoutsAsk question() const;

 private:
  std::array<Held, register_count> held_;
  bool keys_doubtful_ = false;  // a delta from this very version didn't fit
};

}  // namespace banktide
