// Which registries there are, in which zones, and when each was last heard of.
// Whoever answers a question says how long ago it heard of each other registry,
// so nobody needs to ask all of them. Who is silent for a while is not used, and
// later forgotten. From the same directory everyone comes to the same registry
// for a zone: the first of its own that is alive, or else one that adopts it.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <map>

namespace banktide {

class RegistryDirectory {
 public:
  /// Registries not heard for so long are not used.
  static constexpr Duration usable_for = 8s;
  /// Registries not heard for so long are forgotten, unless their address is a seed's.
  static constexpr Duration kept_for = 60s;
  static constexpr std::size_t entry_limit = 256;

  explicit RegistryDirectory(std::vector<Address> seeds);

  /// A registry's own entry: always alive.
  void set_own(RegistryEntry own);
  /// What the answer to a question sent at `asked` told.
  void learn_answer(std::vector<RegistryEntry> const& told, Instant asked, Instant now);
  /// What came unasked: only names count, as it may have been long on its way.
  void learn_addresses(std::vector<RegistryEntry> const& told, Instant now);
  /// A registry was heard itself.
  void heard(Address const& address, Instant now);
  void heard(RegistryEntry const& entry, Instant now);
  void forget_silent(Instant now);

  /// All that are known, also those that are silent.
  std::vector<RegistryEntry> const& entries() const { return entries_; }
  /// The same with their ages.
  std::vector<RegistryEntry> entries_with_ages(Instant now) const;
  bool alive(Address const& address, Instant now, Duration within = usable_for) const;
  /// Addresses of those heard lately, in order.
  std::vector<Address> live(Instant now, Duration within = usable_for) const;
  /// The registry that keeps the zone; if none is alive, the one that would.
  Address registry_of(std::string const& zone, Instant now) const;
  /// The zone in which the registry at the address stands.
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
