// A set of identifiers that keeps only the latest ones, so that it stays small however many there are over time.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace banktide {

class RecentIds {
 public:
  static constexpr std::size_t default_limit = 64;

  explicit RecentIds(std::size_t const limit = default_limit) : limit_(limit) {}

  /// Adds an identifier, in place of the oldest one if the set is full. False if it was in the set already.
  bool insert(std::string const& id) {
    if (!ids_.insert(id).second) return false;
    order_.push_back(id);
    if (order_.size() <= limit_) return true;
    ids_.erase(order_.front());
    order_.pop_front();
    return true;
  }
  bool contains(std::string const& id) const { return ids_.contains(id); }
  std::size_t size() const { return order_.size(); }
  /// From the oldest to the latest.
  std::deque<std::string> const& in_order() const { return order_; }

 private:
  std::size_t limit_;
  std::set<std::string> ids_;
  std::deque<std::string> order_;
};

}  // namespace banktide
