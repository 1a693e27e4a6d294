// Quorum sizes of a voter set. All rounds use the same quorum, chosen so that an
// acknowledged value survives the loss of any `losses` disks at once, even if all
// the other voters lose power at that moment.
//
// With N voters and f losses, Q = max(majority, f + 1). A value is acknowledged
// once Q voters have synced it: at least one copy survives f lost disks (Q > f),
// and any two quorums intersect (2Q > N).
//
// A voter that lost its disk must hear from N - Q + 1 others that still vote (the
// recovery quorum). Let L be the voters that lost their disks (|L| <= f). Of the
// N - |L| others, at least Q - |L| hold the value or the promise of a round that
// reached Q voters, and (N - Q + 1) + (Q - |L|) > N - |L|, so at least one of those
// heard holds it. Fewer could miss it. More are never needed, as N - Q + 1 <= N - f,
// the number of voters certain to be left. (5 voters, 2 losses: 3, all the others.)
#pragma once

#include "protocol/messages.hpp"

namespace banktide {

/// No removal leaves fewer voters than this.
inline constexpr std::size_t min_voters = 3;

/// The quorum of a round with `count` voters of which `losses` may lose their disks at once.
std::size_t quorum_size(std::size_t const count, std::size_t const losses);
std::size_t quorum_size(VoterSet const& s);

/// How many voters with intact disks intersect every quorum of `count` voters.
std::size_t recovery_quorum_size(std::size_t const count, std::size_t const losses);
std::size_t recovery_quorum_size(VoterSet const& s);

std::vector<std::string> addresses_of(VoterSet const& s);

/// The entry with that address, or nullptr.
VoterEntry const* find_entry(VoterSet const& s, std::string const& address);

/// The set of epoch 0.
VoterSet initial_set(std::vector<std::string> const& addresses, std::uint32_t const losses);

/// The set of the next epoch, with `added` as a further voter.
VoterSet with_voter_added(VoterSet const& s, VoterEntry const& added);

/// The set of the next epoch, without the voter `removed`.
VoterSet with_voter_removed(VoterSet const& s, std::string const& removed);

/// The set of the next epoch, with `added` in place of `removed`.
VoterSet with_voter_replaced(VoterSet const& s, std::string const& removed, VoterEntry const& added);

/// Updates `local` with the promise and the accepted value of `received` where these have higher ballots.
void merge_newer(RegisterSlot& local, RegisterSlot const& received);

}  // namespace banktide
