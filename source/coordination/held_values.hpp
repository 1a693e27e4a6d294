// The newest known value of each register in a process that doesn't vote: accepts newer values and deltas, tells
// whether others have newer revisions, and builds the request for the missing ones.
#pragma once

#include "protocol/zone_messages.hpp"

namespace banktide {

class HeldValues {
 public:
  RegisterValue const& of(Register const r) const { return held_.at(static_cast<std::size_t>(r)); }
  Revisions revisions() const;
  /// Whether one of these revisions is newer than the one held here.
  bool is_behind(Revisions const& others) const;

  /// Accepts the values that are newer and match their digest; returns their registers.
  std::vector<Register> accept(std::vector<std::pair<Register, RegisterValue>> const& newer);
  /// Applies deltas to the key table, if they start at the held revision. If deltas that should apply fail, the next
  /// request asks for the whole table.
  std::vector<Register> accept_key_deltas(std::vector<KeyDelta> const& deltas);

  /// The same for the configuration.
  std::vector<Register> accept_routing_deltas(std::vector<TextDelta> const& deltas);

  /// Requests everything newer than what is held.
  RegisterValuesRequest request() const;
  /// Requests this register's value only.
  RegisterValuesRequest request_for(Register r) const;

 private:
  RegisterValue& slot(Register const r) { return held_[static_cast<std::size_t>(r)]; }
  /// Whether a delta starts at the held revision, so that it should have applied.
  template <class Delta>
  bool starts_at_held_revision(Register r, std::vector<Delta> const& deltas) const;

  std::array<RegisterValue, register_count> held_;
  std::array<bool, register_count> refetch_whole_{};  // a delta from the held revision failed to apply
};

}  // namespace banktide
