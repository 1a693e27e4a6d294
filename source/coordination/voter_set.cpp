// Quorum sizes, and derivation of the next voter set.
#include "coordination/voter_set.hpp"

#include <algorithm>

namespace banktide {

std::size_t quorum_size(VoterSet const& s) { return quorum_size(s.voters.size(), s.tolerated_losses); }

std::size_t recovery_quorum_size(VoterSet const& s) {
  return recovery_quorum_size(s.voters.size(), s.tolerated_losses);
}

std::size_t quorum_size(std::size_t const count, std::size_t const losses) {
  std::size_t const majority = count / 2 + 1;
  return std::min(count, std::max(majority, losses + 1));
}

std::size_t recovery_quorum_size(std::size_t const count, std::size_t const losses) {
  return count - quorum_size(count, losses) + 1;
}

std::vector<std::string> addresses_of(VoterSet const& s) {
  std::vector<std::string> out;
  for (VoterEntry const& e : s.voters) out.push_back(e.address);
  return out;
}

VoterEntry const* find_entry(VoterSet const& s, std::string const& address) {
  auto const it =
      std::find_if(s.voters.begin(), s.voters.end(), [&](VoterEntry const& e) { return e.address == address; });
  return it == s.voters.end() ? nullptr : &*it;
}

VoterSet initial_set(std::vector<std::string> const& addresses, std::uint32_t const losses) {
  VoterSet s;
  s.tolerated_losses = losses;
  for (std::string const& a : addresses) s.voters.push_back(VoterEntry{a, 0});
  return s;
}

namespace {

VoterSet next_epoch_of(VoterSet const& s) {
  VoterSet next = s;
  ++next.epoch;
  next.previous_addresses = addresses_of(s);
  return next;
}

void erase_voter(VoterSet& s, std::string const& address) {
  std::erase_if(s.voters, [&](VoterEntry const& e) { return e.address == address; });
}

}  // namespace

VoterSet with_voter_added(VoterSet const& s, VoterEntry const& added) {
  VoterSet next = next_epoch_of(s);
  next.voters.push_back(added);
  return next;
}

VoterSet with_voter_removed(VoterSet const& s, std::string const& removed) {
  VoterSet next = next_epoch_of(s);
  erase_voter(next, removed);
  return next;
}

VoterSet with_voter_replaced(VoterSet const& s, std::string const& removed, VoterEntry const& added) {
  VoterSet next = next_epoch_of(s);
  erase_voter(next, removed);
  next.voters.push_back(added);
  return next;
}

void merge_newer(RegisterSlot& local, RegisterSlot const& received) {
  local.promised = std::max(local.promised, received.promised);
  if (received.accepted <= local.accepted) return;
  local.accepted = received.accepted;
  local.held = received.held;
}

}  // namespace banktide
