// The latest deltas of a register's value, for receivers that missed some of them.
#pragma once

#include "transport/result.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace banktide {

/// A chain of deltas, limited by count and by bytes. A delta has the fields `from` and `to` (revisions) and `bytes`.
template <class Delta>
class DeltaHistory {
 public:
  /// Adds a delta. One that doesn't begin at the revision where the last ends replaces the whole chain.
  void add(Delta delta) {
    if (!deltas_.empty() && deltas_.back().to != delta.from) clear();
    bytes_ += delta.bytes.size();
    deltas_.push_back(std::move(delta));
    while (deltas_.size() > max_deltas || bytes_ > max_bytes) {
      bytes_ -= deltas_.front().bytes.size();
      deltas_.pop_front();
    }
  }

  /// To be called at a change without a delta, which breaks the chain.
  void clear() {
    deltas_.clear();
    bytes_ = 0;
  }

  void add_or_clear(std::optional<Delta> delta) {
    if (delta) {
      add(std::move(*delta));
    } else {
      clear();
    }
  }

  /// Returns the chain from a revision to the newest; none if it isn't kept or isn't smaller than the limit.
  std::optional<std::vector<Delta>> since(std::uint64_t const from, std::size_t const bytes_limit) const {
    auto const first =
        std::find_if(deltas_.begin(), deltas_.end(), [from](Delta const& delta) { return delta.from == from; });
    if (first == deltas_.end()) return std::nullopt;
    std::vector<Delta> const chain(first, deltas_.end());
    std::size_t bytes = 0;
    for (Delta const& delta : chain) bytes += delta.bytes.size() + delta_overhead_bytes;
    if (bytes >= bytes_limit) return std::nullopt;
    return chain;
  }

  /// The last one added.
  Delta const* newest() const { return deltas_.empty() ? nullptr : &deltas_.back(); }

 private:
  static constexpr std::size_t max_deltas = 64;
  static constexpr std::size_t max_bytes = 256 * 1024;
  static constexpr std::size_t delta_overhead_bytes = 28;  // the encoded size of a delta without its bytes

  std::deque<Delta> deltas_;
  std::size_t bytes_ = 0;
};

}  // namespace banktide
