#include "coordination/registry_directory.hpp"

#include "protocol/digest.hpp"

#include <algorithm>

namespace banktide {

namespace {

bool by_address(RegistryEntry const& a, RegistryEntry const& b) { return a.address < b.address; }

}  // namespace

RegistryDirectory::RegistryDirectory(std::vector<Address> seeds) : seeds_(std::move(seeds)) {}

void RegistryDirectory::set_own(RegistryEntry own) {
  own_ = own.address;
  add(own, Instant{});
}

void RegistryDirectory::learn_answer(std::vector<RegistryEntry> const& reported, Instant const asked,
                                     Instant const now) {
  for (RegistryEntry const& e : reported) {
    // The age counts from when the request was sent, so it never gets smaller on the way.
    Instant const at = asked - std::chrono::milliseconds(e.age_ms);
    if (now - at < kept_for) add(e, at);
  }
}

void RegistryDirectory::learn_addresses(std::vector<RegistryEntry> const& reported, Instant const now) {
  for (RegistryEntry const& e : reported)
    if (std::chrono::milliseconds(e.age_ms) < kept_for && find(e.address) == nullptr) add(e, now - usable_for);
}

void RegistryDirectory::record_contact(Address const& address, Instant const now) {
  auto const it = last_heard_.find(address);
  if (it != last_heard_.end()) it->second = std::max(it->second, now);
}

void RegistryDirectory::record_contact(RegistryEntry const& entry, Instant const now) { add(entry, now); }

void RegistryDirectory::forget_silent(Instant const now) {
  std::erase_if(entries_, [&](RegistryEntry const& e) {
    if (e.address == own_ || now - last_heard_.at(e.address) < kept_for) return false;
    if (std::find(seeds_.begin(), seeds_.end(), e.address) != seeds_.end()) return false;
    last_heard_.erase(e.address);
    return true;
  });
}

std::vector<RegistryEntry> RegistryDirectory::entries_with_ages(Instant const now) const {
  std::vector<RegistryEntry> out = entries_;
  for (RegistryEntry& e : out) {
    Duration const age = e.address == own_ ? Duration::zero() : now - last_heard_.at(e.address);
    std::int64_t const capped = std::clamp<std::int64_t>(as_ms(age), 0, as_ms(kept_for));
    e.age_ms = static_cast<std::uint32_t>(capped);
  }
  return out;
}

bool RegistryDirectory::alive(Address const& address, Instant const now, Duration const within) const {
  if (address == own_ && !own_.empty()) return true;
  auto const it = last_heard_.find(address);
  return it != last_heard_.end() && now - it->second < within;
}

std::vector<Address> RegistryDirectory::live(Instant const now, Duration const within) const {
  std::vector<Address> out;
  for (RegistryEntry const& e : entries_)
    if (alive(e.address, now, within)) out.push_back(e.address);
  return out;
}

Address RegistryDirectory::registry_of(std::string const& zone, Instant const now) const {
  bool const any_alive =
      std::any_of(entries_.begin(), entries_.end(), [&](RegistryEntry const& e) { return alive(e.address, now); });
  auto const usable = [&](RegistryEntry const& e) { return !any_alive || alive(e.address, now); };
  RegistryEntry const* const own = first_of_zone(zone, usable);
  if (own != nullptr) return own->address;
  RegistryEntry const* const adopting = adopter_of(zone, usable);
  return adopting == nullptr ? "" : adopting->address;
}

std::string RegistryDirectory::zone_of(Address const& address) const {
  for (RegistryEntry const& e : entries_)
    if (e.address == address) return e.zone;
  return "";
}

RegistryEntry* RegistryDirectory::find(Address const& address) {
  auto const it =
      std::find_if(entries_.begin(), entries_.end(), [&](RegistryEntry const& e) { return e.address == address; });
  return it == entries_.end() ? nullptr : &*it;
}

bool RegistryDirectory::add(RegistryEntry const& entry, Instant const heard_at) {
  if (entry.address.empty()) return false;
  RegistryEntry* const known = find(entry.address);
  if (known == nullptr) {
    if (entries_.size() >= entry_limit) return false;
    entries_.insert(std::upper_bound(entries_.begin(), entries_.end(), entry, by_address), entry);
    last_heard_[entry.address] = heard_at;
    return true;
  }
  Instant& last = last_heard_[entry.address];
  if (heard_at <= last || entry.address == own_) return false;
  last = heard_at;
  known->zone = entry.zone;
  return true;
}

// Prefers the zone's own registry whose address has the smallest digest.
template <class Usable>
RegistryEntry const* RegistryDirectory::first_of_zone(std::string const& zone, Usable const& usable) const {
  RegistryEntry const* first = nullptr;
  for (RegistryEntry const& e : entries_) {
    if (e.zone != zone || !usable(e)) continue;
    if (first == nullptr || digest_of(e.address) < digest_of(first->address)) first = &e;
  }
  return first;
}

// A zone without a registry of its own is adopted by rendezvous hashing: the highest digest of zone name and address
// wins.
template <class Usable>
RegistryEntry const* RegistryDirectory::adopter_of(std::string const& zone, Usable const& usable) const {
  RegistryEntry const* best = nullptr;
  std::uint64_t top = 0;
  for (RegistryEntry const& e : entries_) {
    if (!usable(e)) continue;
    std::uint64_t const score = digest_of(zone + "/" + e.address);
    if (best == nullptr || score > top) {
      best = &e;
      top = score;
    }
  }
  return best;
}

}  // namespace banktide
