// The decisions between a current instance and those that contend with it.
#include "state/instance_succession.hpp"

#include <algorithm>

namespace banktide {

HeartbeatVerdict InstanceSuccession::on_heartbeat(Instant const now, std::string const& id,
                                                  std::uint64_t const sequence) {
  if (ended_.contains(id)) return HeartbeatVerdict::ignored;
  Known& sender = known_[id];
  if (sequence < sender.newest_sequence) return HeartbeatVerdict::ignored;
  sender.newest_sequence = sequence;
  sender.last_heard = now;
  sender.overdue_at = now + settings_.overdue_without_reply;
  if (id == current_) {
    unreachable_ = false;
    for (auto& [other, known] : known_) known.contending_since.reset();
    return HeartbeatVerdict::current;
  }
  if (!current_.empty() && !may_replace_current(sender, now)) {
    if (!sender.contending_since) sender.contending_since = now;
    forget_oldest();
    return HeartbeatVerdict::contends;
  }
  make_current(id);
  forget_oldest();
  return HeartbeatVerdict::replaces;
}

bool InstanceSuccession::may_replace_current(Known const& contender, Instant const now) const {
  bool const overdue = unreachable_ || now > known_.at(current_).overdue_at;
  bool const confirmed = contender.contending_since && now - *contender.contending_since >= settings_.min_heartbeat_gap;
  return overdue || confirmed;
}

void InstanceSuccession::make_current(std::string const& id) {
  current_ = id;
  unreachable_ = false;
  for (auto& [other, known] : known_) known.contending_since.reset();
}

void InstanceSuccession::on_replied(Instant const now, std::string const& id, bool const releases_keys) {
  auto const found = known_.find(id);
  if (found == known_.end()) return;
  Duration const interval = releases_keys ? settings_.interval_after_release : settings_.heartbeat_interval;
  found->second.overdue_at = now + interval + settings_.max_lateness;
}

void InstanceSuccession::on_ended(std::string const& id) {
  ended_.insert(id);
  known_.erase(id);
  if (id == current_) current_.clear();
}

Instant InstanceSuccession::leaving_since(std::string const& id, Instant const now) {
  std::optional<Instant>& since = known_[id].leaving_since;
  if (!since) since = now;
  return *since;
}

std::optional<Instant> InstanceSuccession::known_leaving_since(std::string const& id) const {
  auto const found = known_.find(id);
  return found == known_.end() ? std::nullopt : found->second.leaving_since;
}

std::vector<std::string> InstanceSuccession::known() const {
  std::vector<std::string> ids;
  for (auto const& [id, known] : known_) ids.push_back(id);
  return ids;
}

void InstanceSuccession::forget_oldest() {
  while (known_.size() > known_limit) {
    auto oldest = known_.end();
    for (auto it = known_.begin(); it != known_.end(); ++it)
      if (it->first != current_ && (oldest == known_.end() || it->second.last_heard < oldest->second.last_heard))
        oldest = it;
    known_.erase(oldest);
  }
}

}  // namespace banktide
