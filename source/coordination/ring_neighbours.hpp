// A member's neighbours on the ring and in the relay tree, cached until the membership changes.
#pragma once

#include "coordination/ring.hpp"
#include "state/zone_view.hpp"

#include <set>

namespace banktide {

/// The neighbours of one member (or registry) of a zone. Leaving and suspected nodes come last in the relay tree:
/// they still get the updates, but no other node depends on them.
class RingNeighbours {
 public:
  explicit RingNeighbours(std::string id) : id_(std::move(id)) {}

  /// To be called before the accessors; does nothing if the membership hasn't changed.
  void follow(ZoneView const& view) {
    if (known_ && seen_ == view.membership_version()) return;
    known_ = true;
    seen_ = view.membership_version();
    std::vector<std::string> all, fit, others;
    for (auto const& [id, m] : view.members) {
      all.push_back(id);
      if (m.role != Role::registry) (m.liveness == Liveness::alive ? fit : others).push_back(id);
    }
    std::vector<std::string> const order = ring_order(std::move(all));
    nodes_ = ring_order(std::move(fit));
    std::vector<std::string> const last = ring_order(std::move(others));
    nodes_.insert(nodes_.end(), last.begin(), last.end());
    watchers_ = watchers_of(id_, order);
    watched_.clear();
    auto const me = std::find(order.begin(), order.end(), id_);
    if (me == order.end()) return;
    std::size_t const at = static_cast<std::size_t>(me - order.begin());
    for (std::size_t k = 1; k <= watcher_count && k < order.size(); ++k)
      watched_.insert(order[(at + order.size() - k) % order.size()]);
  }

  /// The members to which this one sends heartbeats.
  std::vector<std::string> const& watchers() const { return watchers_; }
  /// The members from which it expects heartbeats.
  std::set<std::string> const& watched() const { return watched_; }
  /// The nodes to which it forwards updates.
  std::vector<std::string> relays() const { return relays_below(id_, nodes_); }
  /// The nodes to which the registry sends updates.
  std::vector<std::string> first_relays() const { return relays_below("", nodes_); }
  std::size_t nodes() const { return nodes_.size(); }

 private:
  std::string const id_;
  bool known_ = false;
  std::uint64_t seen_ = 0;
  std::vector<std::string> nodes_, watchers_;
  std::set<std::string> watched_;
};

}  // namespace banktide
