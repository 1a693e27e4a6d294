// What a member's place on the ring comes to, kept until the membership changes.
#pragma once

#include "coordination/ring.hpp"
#include "state/zone_view.hpp"

#include <set>

namespace banktide {

/// The places around one member (or registry) of a zone. Who leaves or is suspected stands last in the relay tree: it
/// still gets the news, and nobody depends on it for them.
class RingNeighbours {
 public:
  explicit RingNeighbours(std::string id) : id_(std::move(id)) {}

  /// To be called before the others; costs nothing if no member came or went.
  void follow(ZoneView const& view) {
    if (known_ && seen_ == view.membership_version()) return;
    known_ = true;
    seen_ = view.membership_version();
    std::vector<std::string> all, fit, others;
    for (auto const& [id, m] : view.members) {
      all.push_back(id);
      if (m.role != Role::registry) (m.liveness == Liveness::fit ? fit : others).push_back(id);
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

  /// Those that the member beats to.
  std::vector<std::string> const& watchers() const { return watchers_; }
  /// Those whose beats it should hear.
  std::set<std::string> const& watched() const { return watched_; }
  /// Those to which it passes news on.
  std::vector<std::string> relays() const { return relays_below(id_, nodes_); }
  /// Those to which a registry sends news first.
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
