// The ring orders members by the digest of their ids. A member's watchers are the next few members after it, so any
// two processes with the same member list compute the same watchers without coordination. The relay tree uses the
// same order: the registry is the root, and each node forwards updates to a few nodes whose positions are computed
// from its own.
#pragma once

#include "protocol/digest.hpp"
#include "protocol/messages.hpp"

#include <algorithm>

namespace banktide {

inline constexpr std::size_t watcher_count = 3;
inline constexpr std::size_t relay_fanout = 3;

inline std::vector<std::string> ring_order(std::vector<std::string> ids) {
  std::sort(ids.begin(), ids.end(), [](std::string const& a, std::string const& b) {
    return std::pair(digest_of(a), a) < std::pair(digest_of(b), b);
  });
  return ids;
}

inline std::vector<std::string> watchers_of(std::string const& id, std::vector<std::string> const& order) {
  std::vector<std::string> out;
  auto const it = std::find(order.begin(), order.end(), id);
  if (it == order.end()) return out;
  std::size_t const at = static_cast<std::size_t>(it - order.begin());
  for (std::size_t k = 1; k <= watcher_count && k < order.size(); ++k) out.push_back(order[(at + k) % order.size()]);
  return out;
}

// The nodes to which `from` forwards; empty means the root. `order` doesn't contain the root.
inline std::vector<std::string> relays_below(std::string const& from, std::vector<std::string> const& order) {
  std::size_t first = 0;
  if (!from.empty()) {
    auto const it = std::find(order.begin(), order.end(), from);
    if (it == order.end()) return {};
    first = (static_cast<std::size_t>(it - order.begin()) + 1) * relay_fanout;
  }
  std::vector<std::string> out;
  for (std::size_t i = first; i < first + relay_fanout && i < order.size(); ++i) out.push_back(order[i]);
  return out;
}

}  // namespace banktide
