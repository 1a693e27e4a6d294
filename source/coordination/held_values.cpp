#include "coordination/held_values.hpp"

#include "protocol/digest.hpp"
#include "state/key_table_delta.hpp"
#include "transport/log.hpp"

#include <algorithm>

namespace banktide {

Revisions HeldValues::revisions() const {
  Revisions all{};
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = held_[i].revision;
  return all;
}

bool HeldValues::lack(Revisions const& told) const {
  for (std::size_t i = 0; i < told.size(); ++i)
    if (told[i] > held_[i].revision) return true;
  return false;
}

std::vector<Register> HeldValues::take(std::vector<std::pair<Register, Held>> const& newer) {
  std::vector<Register> taken;
  for (auto const& [r, h] : newer) {
    std::size_t const i = static_cast<std::size_t>(r);
    if (i >= held_.size()) continue;
    if (h.revision <= held_[i].revision || digest_of(h.bytes) != h.digest) continue;
    held_[i] = h;
    if (r == Register::keys) keys_doubtful_ = false;
    taken.push_back(r);
  }
  return taken;
}

std::vector<Register> HeldValues::take_key_deltas(std::vector<KeyDelta> const& deltas) {
  Held const& keys = of(Register::keys);
  if (deltas.empty() || deltas.back().to <= keys.revision) return {};
  Result<Held> next = apply_key_deltas(keys, deltas);
  if (next) return take({{Register::keys, std::move(*next)}});
  bool const from_here =
      std::any_of(deltas.begin(), deltas.end(), [&](KeyDelta const& delta) { return delta.from == keys.revision; });
  if (!from_here) return {};
  log_warn("key_delta_refused", {{"reason", next.error().reason}});
  keys_doubtful_ = true;
  return {};
}

LayoutsAsk HeldValues::question() const {
  LayoutsAsk question;
  question.have = revisions();
  if (keys_doubtful_) question.have[static_cast<std::size_t>(Register::keys)] = 0;
  return question;
}

}  // namespace banktide
