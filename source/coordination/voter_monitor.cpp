// Counts missed probes and computes how many losses a set tolerates.
#include "coordination/voter_monitor.hpp"

#include <algorithm>

namespace banktide {

VoterSetHealth health_of(VoterSet const& set, std::size_t const voting) {
  VoterSetHealth health;
  health.epoch = set.epoch;
  health.voters = set.voters.size();
  health.voting = voting;
  std::size_t const needed = quorum_size(set);
  std::size_t const spare = voting > needed ? voting - needed : 0;
  health.tolerable_losses = std::min<std::size_t>(spare, set.tolerated_losses);
  return health;
}

bool tolerates_losses(std::size_t const count, std::size_t const losses) {
  return count >= losses + quorum_size(count, losses);
}

bool can_remove_voter(VoterSet const& s) {
  std::size_t const left = s.voters.size() - 1;
  return left >= min_voters && tolerates_losses(left, s.tolerated_losses);
}

bool should_remove_leaver(VoterSet const& s) {
  std::size_t const others = s.voters.size() - 1;
  bool const bears_another_loss = others >= s.tolerated_losses + quorum_size(s);
  return !bears_another_loss && can_remove_voter(s);
}

void VoterMonitor::record_probe(std::vector<std::string> const& peers, std::vector<bool> const& answered) {
  std::map<std::string, std::uint64_t> missed;
  for (std::size_t i = 0; i < peers.size(); ++i) missed[peers[i]] = answered[i] ? 0 : missed_[peers[i]] + 1;
  missed_ = std::move(missed);
}

std::uint64_t VoterMonitor::missed_probes(std::string const& peer) const {
  auto const it = missed_.find(peer);
  return it == missed_.end() ? 0 : it->second;
}

std::optional<std::string> VoterMonitor::least_responsive() const {
  auto const most = std::max_element(missed_.begin(), missed_.end(),
                                     [](auto const& a, auto const& b) { return a.second < b.second; });
  if (most == missed_.end() || most->second == 0) return std::nullopt;
  return most->first;
}

}  // namespace banktide
