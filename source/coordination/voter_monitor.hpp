// A voter's view of the other voters: which of them answered its latest probes, and
// how many further losses the set tolerates. Silence is counted in missed probes,
// not in time, so that a process that was itself suspended suspects nobody.
#pragma once

#include "coordination/voter_set.hpp"

#include <map>
#include <optional>

namespace banktide {

/// The state of a voter set as reported to operators.
struct VoterSetHealth {
  std::uint64_t epoch = 0;
  std::size_t voters = 0;
  std::size_t voting = 0;  // answering and voting in this epoch
  std::size_t tolerable_losses = 0;
  bool operator==(VoterSetHealth const&) const = default;
};

/// The health of `set` when `voting` of its voters answer and vote.
VoterSetHealth health_of(VoterSet const& set, std::size_t const voting);

/// Whether a set of `count` voters tolerates `losses` while all of them vote.
bool tolerates_losses(std::size_t const count, std::size_t const losses);

/// Whether the set stays large enough after one failed voter is removed.
bool can_remove_voter(VoterSet const& s);

/// Whether a voter that shuts down should be removed: while it remains a member the
/// set tolerates fewer losses than configured, and the set is large enough without it.
bool should_remove_leaver(VoterSet const& s);

class VoterMonitor {
 public:
  /// Records one probe: `answered` holds for each of `peers` whether it answered.
  void record_probe(std::vector<std::string> const& peers, std::vector<bool> const& answered);

  /// How many of the latest probes in a row this peer has not answered.
  std::uint64_t missed_probes(std::string const& peer) const;

  /// The peer with the most missed probes, if any peer has missed one.
  std::optional<std::string> least_responsive() const;

 private:
  std::map<std::string, std::uint64_t> missed_;
};

}  // namespace banktide
