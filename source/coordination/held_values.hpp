// The values of the registers as a process that doesn't vote has them: the newest that it was
// given of each, what it lacks by what others tell, and the question that brings the rest.
#pragma once

#include "protocol/zone_messages.hpp"

namespace banktide {

class HeldValues {
 public:
  RegisterValue const& of(Register const r) const { return held_.at(static_cast<std::size_t>(r)); }
  Revisions revisions() const;
  /// Whether one of these revisions is newer than what is here.
  bool is_behind(Revisions const& told) const;

  /// Takes up those that are newer and whose digest is right; says which.
  std::vector<Register> take(std::vector<std::pair<Register, RegisterValue>> const& newer);
  /// The table of keys after these deltas, if they begin at the one here. After deltas that should fit
  /// and don't the whole table is asked for.
  std::vector<Register> accept_key_deltas(std::vector<KeyDelta> const& deltas);

  /// The same of the configuration.
  std::vector<Register> accept_routing_deltas(std::vector<TextDelta> const& deltas);

  /// For all that is newer than here.
  RegisterValuesRequest request() const;
  /// For this register's value alone.
  RegisterValuesRequest request_for(Register r) const;

 private:
  RegisterValue& slot(Register const r) { return held_[static_cast<std::size_t>(r)]; }
  /// Whether a delta begins at the value here, so that it should have fitted.
  template <class Delta>
  bool starts_at_held_revision(Register r, std::vector<Delta> const& deltas) const;

  std::array<RegisterValue, register_count> held_;
  std::array<bool, register_count> refetch_whole_{};  // a delta from this very version didn't fit
};

}  // namespace banktide
