// How many voters of a set must agree. One number serves every round; with it
// an acknowledged value outlives the loss of any `losses` disks at once, also
// when all the other voters lose power at that moment.
//
// N voters, f losses, Q = max(majority, f + 1). A value is acknowledged once Q
// voters have synced it: f lost disks leave a copy at least (Q > f), and any two
// rounds have a voter in common (2Q > N).
//
// A voter that lost its disk must hear N - Q + 1 others that still vote. Let L
// be the lost ones (|L| <= f). Of the N - |L| that kept their disks, at least
// Q - |L| hold the value or the promise that a round of Q has left, and
// (N - Q + 1) + (Q - |L|) > N - |L|, so that one of those heard does. Fewer
// others could miss it; more is never needed, as N - Q + 1 <= N - f, the number
// of those that are surely left. (5 voters, 2 losses: 3, that is all the others.)
#pragma once

#include "protocol/messages.hpp"

namespace banktide {

/// A removal never leaves fewer voters than this.
inline constexpr std::size_t min_voters = 3;

/// How many voters of `count` a round needs when `losses` disks may go at once.
std::size_t quorum_size(std::size_t const count, std::size_t const losses);
std::size_t quorum_size(VoterSet const& s);

/// How many voters that kept their disks meet every quorum of `count`.
std::size_t recovery_quorum_size(std::size_t const count, std::size_t const losses);
std::size_t recovery_quorum_size(VoterSet const& s);

std::vector<std::string> addresses_of(VoterSet const& s);

/// The entry of that address; none: nullptr.
VoterEntry const* find_entry(VoterSet const& s, std::string const& address);

/// The set of epoch 0.
VoterSet initial_set(std::vector<std::string> const& addresses, std::uint32_t const losses);

/// The next epoch with one voter more.
VoterSet with_voter_added(VoterSet const& s, VoterEntry const& added);

/// The next epoch with one voter less.
VoterSet with_voter_removed(VoterSet const& s, std::string const& removed);

/// The next epoch with `added` in the place of `removed`.
VoterSet with_voter_replaced(VoterSet const& s, std::string const& removed, VoterEntry const& added);

/// Takes into `mine` what `told` has promised or accepted beyond it.
void merge_newer(RegisterSlot& mine, RegisterSlot const& told);

}  // namespace banktide
