// The last deltas of a register's value, for those who missed some of them.
#pragma once

#include "transport/result.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace banktide {

/// Bounded by count and by bytes. A delta names the revision it was made from and the one it leads to.
template <class Delta>
class DeltaHistory {
 public:
  /// One that doesn't begin where the last ends makes the earlier ones useless.
  void add(Delta delta) {
    if (!deltas_.empty() && deltas_.back().to != delta.from) clear();
    bytes_ += delta.bytes.size();
    deltas_.push_back(std::move(delta));
    while (deltas_.size() > max_deltas || bytes_ > max_bytes) {
      bytes_ -= deltas_.front().bytes.size();
      deltas_.pop_front();
    }
  }

  /// A change without a delta: what came before leads nowhere.
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

  /// The chain from one revision to the newest; none if it isn't kept or its bytes are not below the limit.
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
  static constexpr std::size_t delta_overhead_bytes = 28;  // what the fields add to a delta's bytes

  std::deque<Delta> deltas_;
  std::size_t bytes_ = 0;
};

}  // namespace banktide
