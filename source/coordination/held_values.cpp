#include "coordination/held_values.hpp"

#include "protocol/digest.hpp"
#include "state/key_table_delta.hpp"
#include "state/text_delta.hpp"
#include "transport/log.hpp"

#include <algorithm>
#include <limits>

namespace banktide {

Revisions HeldValues::revisions() const {
  Revisions all{};
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = held_[i].revision;
  return all;
}

bool HeldValues::is_behind(Revisions const& others) const {
  for (std::size_t i = 0; i < others.size(); ++i)
    if (others[i] > held_[i].revision) return true;
  return false;
}

std::vector<Register> HeldValues::accept(std::vector<std::pair<Register, RegisterValue>> const& newer) {
  std::vector<Register> taken;
  for (auto const& [r, h] : newer) {
    std::size_t const i = static_cast<std::size_t>(r);
    if (i >= held_.size()) continue;
    if (h.revision <= held_[i].revision || digest_of(h.bytes) != h.digest) continue;
    held_[i] = h;
    refetch_whole_[i] = false;
    taken.push_back(r);
  }
  return taken;
}

template <class Delta>
bool HeldValues::starts_at_held_revision(Register const r, std::vector<Delta> const& deltas) const {
  return std::any_of(deltas.begin(), deltas.end(),
                     [here = of(r).revision](Delta const& delta) { return delta.from == here; });
}

std::vector<Register> HeldValues::accept_key_deltas(std::vector<KeyDelta> const& deltas) {
  if (deltas.empty() || deltas.back().to <= of(Register::keys).revision) return {};
  Result<RegisterValue> next = apply_key_deltas(of(Register::keys), deltas);
  if (next) return accept({{Register::keys, std::move(*next)}});
  if (!starts_at_held_revision(Register::keys, deltas)) return {};
  log_warn("key_delta_refused", {{"reason", next.error().reason}});
  refetch_whole_[static_cast<std::size_t>(Register::keys)] = true;
  return {};
}

std::vector<Register> HeldValues::accept_routing_deltas(std::vector<TextDelta> const& deltas) {
  if (deltas.empty() || deltas.back().to <= of(Register::routing).revision) return {};
  Result<RegisterValue> next = apply_text_deltas(of(Register::routing), deltas);
  if (next) {
    slot(Register::routing) = std::move(*next);
    return {Register::routing};
  }
  if (!starts_at_held_revision(Register::routing, deltas)) return {};
  log_warn("configuration_delta_refused", {{"reason", next.error().reason}});
  refetch_whole_[static_cast<std::size_t>(Register::routing)] = true;
  return {};
}

RegisterValuesRequest HeldValues::request_for(Register const r) const {
  RegisterValuesRequest request;
  request.have.fill(std::numeric_limits<Revision>::max());
  request.have[static_cast<std::size_t>(r)] = this->request().have[static_cast<std::size_t>(r)];
  return request;
}

RegisterValuesRequest HeldValues::request() const {
  RegisterValuesRequest request;
  request.have = revisions();
  for (std::size_t i = 0; i < held_.size(); ++i)
    if (refetch_whole_[i]) request.have[i] = 0;
  return request;
}

}  // namespace banktide
