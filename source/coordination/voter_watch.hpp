// What one voter knows of the others: who has answered its latest looks, and how
// many further losses the set can bear by that. Silence is counted in looks, not
// in time, so that a process that was frozen itself calls nobody silent.
#pragma once

#include "coordination/voter_set.hpp"

#include <map>
#include <optional>

namespace banktide {

/// How well a set of voters is manned, as its operators want to see it.
struct VoterSetHealth {
  std::uint64_t epoch = 0;
  std::size_t voters = 0;
  std::size_t voting = 0;  // that answer and vote in this epoch
  std::size_t tolerable_losses = 0;
  bool operator==(VoterSetHealth const&) const = default;
};

/// The health of `set` if `voting` of its voters answer and vote.
VoterSetHealth health_of(VoterSet const& set, std::size_t const voting);

/// Whether a set of `count` voters bears `losses` while all of them vote.
bool tolerates_losses(std::size_t const count, std::size_t const losses);

/// Whether removing one voter that is gone leaves a set that is still large enough.
bool can_remove_voter(VoterSet const& s);

/// Whether a set from which one voter goes for good bears fewer losses than it should
/// for as long as that voter stays in it, and could do without it.
bool should_remove_leaver(VoterSet const& s);

class VoterMonitor {
 public:
  /// Takes down one look: `answered` tells for each of `peers` whether it answered.
  void note(std::vector<std::string> const& peers, std::vector<bool> const& answered);

  /// The looks in a row, up to the latest, that this peer has not answered.
  std::uint64_t missed(std::string const& peer) const;

  /// The peer with the most missed looks, if it has missed any.
  std::optional<std::string> least_responsive() const;

 private:
  std::map<std::string, std::uint64_t> missed_;
};

}  // namespace banktide
