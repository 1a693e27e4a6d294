// The known registries, their zones, and when each was last heard from. Replies say how long ago their sender heard
// from each other registry, so that no process has to ask all of them. A registry that is silent for a while is no
// longer used, and later forgotten. From the same directory every process selects the same registry for a zone: the
// first live one of the zone's own, or else the one that adopts the zone.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <map>

namespace banktide {

class RegistryDirectory {
 public:
  /// Registries not heard from for this long are not used.
  static constexpr Duration usable_for = 8s;
  /// Registries not heard from for this long are forgotten, unless their address is a seed's.
  static constexpr Duration kept_for = 60s;
  static constexpr std::size_t entry_limit = 256;

  explicit RegistryDirectory(std::vector<Address> seeds);

  /// Sets the entry of the registry that owns this directory; it is always alive.
  void set_own(RegistryEntry own);
  /// Merges the entries of the reply to a request sent at `asked`.
  void learn_answer(std::vector<RegistryEntry> const& reported, Instant asked, Instant now);
  /// Merges entries from an unsolicited message: only the addresses, as the message may have been delayed.
  void learn_addresses(std::vector<RegistryEntry> const& reported, Instant now);
  /// Records direct contact with a registry.
  void record_contact(Address const& address, Instant now);
  void record_contact(RegistryEntry const& entry, Instant now);
  void forget_silent(Instant now);

  /// All known registries, including silent ones.
  std::vector<RegistryEntry> const& entries() const { return entries_; }
  /// The same entries, each with the time since its registry was heard from.
  std::vector<RegistryEntry> entries_with_ages(Instant now) const;
  bool alive(Address const& address, Instant now, Duration within = usable_for) const;
  /// Addresses of the registries heard from within that time, in order.
  std::vector<Address> live(Instant now, Duration within = usable_for) const;
  /// The registry in charge of the zone; if none is alive, the one that would be.
  Address registry_of(std::string const& zone, Instant now) const;
  /// The zone of the registry at the address.
  std::string zone_of(Address const& address) const;

 private:
  RegistryEntry* find(Address const& address);
  bool add(RegistryEntry const& entry, Instant heard_at);
  template <class Usable>
  RegistryEntry const* first_of_zone(std::string const& zone, Usable const& usable) const;
  template <class Usable>
  RegistryEntry const* adopter_of(std::string const& zone, Usable const& usable) const;

  std::vector<Address> const seeds_;
  Address own_;
  std::vector<RegistryEntry> entries_;  // by address
  std::map<Address, Instant> last_heard_;
};

}  // namespace banktide
