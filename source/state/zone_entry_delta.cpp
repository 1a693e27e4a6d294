// Making and applying deltas of zone entries.
#include "state/zone_entry_delta.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace banktide {

namespace {

constexpr std::size_t largest_index = std::numeric_limits<std::uint16_t>::max();

auto sort_key(ServiceOffer const& offer) { return std::tie(offer.service, offer.node); }

bool precedes(ServiceOffer const& a, ServiceOffer const& b) { return sort_key(a) < sort_key(b); }

bool member_precedes(Member const& a, Member const& b) { return a.id < b.id; }

bool differs_by_load_only(ServiceOffer const& a, ServiceOffer const& b) {
  bool const fits = b.running <= largest_index && b.waiting <= largest_index;
  return fits && a.address == b.address && a.slots == b.slots;
}

void compare_offer(ZoneEntryDelta& delta, std::size_t const index, ServiceOffer const& before,
                   ServiceOffer const& after) {
  if (before == after) return;
  if (differs_by_load_only(before, after)) {
    delta.loads.push_back({static_cast<std::uint16_t>(index), static_cast<std::uint16_t>(after.running),
                           static_cast<std::uint16_t>(after.waiting)});
  } else {
    delta.offers_set.push_back(after);
  }
}

void compare_offers(ZoneEntryDelta& delta, std::vector<ServiceOffer> const& before,
                    std::vector<ServiceOffer> const& after) {
  auto next = after.begin();
  for (std::size_t i = 0; i < before.size(); ++i) {
    while (next != after.end() && precedes(*next, before[i])) delta.offers_set.push_back(*next++);
    bool const stays = next != after.end() && !precedes(before[i], *next);
    if (stays) {
      compare_offer(delta, i, before[i], *next++);
    } else {
      delta.offers_removed.push_back(static_cast<std::uint16_t>(i));
    }
  }
  delta.offers_set.insert(delta.offers_set.end(), next, after.end());
}

void compare_gateways(ZoneEntryDelta& delta, std::vector<Member> const& before, std::vector<Member> const& after) {
  for (Member const& gateway : after)
    if (std::find(before.begin(), before.end(), gateway) == before.end()) delta.gateways_set.push_back(gateway);
  for (Member const& gateway : before) {
    bool const stays = std::any_of(after.begin(), after.end(), [&](Member const& m) { return m.id == gateway.id; });
    if (!stays) delta.gateways_removed.push_back(gateway.id);
  }
}

/// Inserts the item at its place in the sorted items, or replaces the item that is equal in order.
template <class Item, class Order>
void insert_or_replace(std::vector<Item>& items, Item const& item, Order const order) {
  auto const at = std::lower_bound(items.begin(), items.end(), item, order);
  if (at != items.end() && !order(item, *at)) {
    *at = item;
  } else {
    items.insert(at, item);
  }
}

}  // namespace

std::optional<ZoneEntryDelta> make_entry_delta(ZoneEntry const& before, ZoneEntry const& after) {
  if (before.services.size() > largest_index) return std::nullopt;
  ZoneEntryDelta delta;
  delta.zone = after.zone;
  compare_offers(delta, before.services, after.services);
  compare_gateways(delta, before.gateways, after.gateways);
  if (before.service_names != after.service_names) delta.service_names = after.service_names;
  // Entries that aren't sorted can't be expressed as a delta.
  ZoneEntry reached = before;
  apply_entry_delta(reached, delta);
  if (!(reached == after)) return std::nullopt;
  return delta;
}

bool changes_loads_only(ZoneEntryDelta const& delta) {
  ZoneEntryDelta loads;
  loads.zone = delta.zone;
  loads.loads = delta.loads;
  return loads == delta;
}

void apply_entry_delta(ZoneEntry& entry, ZoneEntryDelta const& delta) {
  for (OfferLoad const& load : delta.loads) {
    if (load.index >= entry.services.size()) continue;
    entry.services[load.index].running = load.running;
    entry.services[load.index].waiting = load.waiting;
  }
  for (auto index = delta.offers_removed.rbegin(); index != delta.offers_removed.rend(); ++index)
    if (*index < entry.services.size()) entry.services.erase(entry.services.begin() + *index);
  for (ServiceOffer const& offer : delta.offers_set) insert_or_replace(entry.services, offer, precedes);
  std::erase_if(entry.gateways, [&](Member const& gateway) {
    return std::find(delta.gateways_removed.begin(), delta.gateways_removed.end(), gateway.id) !=
           delta.gateways_removed.end();
  });
  for (Member const& gateway : delta.gateways_set) insert_or_replace(entry.gateways, gateway, member_precedes);
  if (delta.service_names) entry.service_names = *delta.service_names;
}

}  // namespace banktide
