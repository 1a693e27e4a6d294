// Plans the assignment of keys to backends: computes the next key table from the newest table
// and the nodes' reports, or none if nothing changes. A row gets a new holder only after its
// holder has released it, is proved to have ended, or has had no lease for a whole lease term
// after the revocation. Pure state: the coordinator passes in reports, tables and the time.
#pragma once

#include "protocol/key_messages.hpp"
#include "state/key_rates.hpp"
#include "state/key_table.hpp"

#include <map>
#include <optional>
#include <set>

namespace banktide {

class KeyPlanner {
 public:
  explicit KeyPlanner(KeySettings settings) : settings_(settings) {}

  void on_report(Instant now, KeyReport report);
  /// Takes a table that the register has chosen; tables older than the known one are ignored.
  void on_table(Instant now, KeyTable table);
  /// Must be called several times a second, also while another coordinator is active. After a gap
  /// between calls the silence of backends is counted anew, as this process may have been frozen.
  void tick(Instant now);
  /// Moves keys away from backends in these zones, if their service has backends elsewhere.
  void withhold_zones(std::set<std::string> zones) { withheld_zones_ = std::move(zones); }
  /// Returns the table to write next, one revision above the newest known.
  std::optional<KeyTable> plan(Instant now);

  KeyTable const& table() const { return table_; }

 private:
  struct Backend {
    KeyReport report;
    Instant first_report{};
    Instant last_report{};
    Instant settling_until{};          // it takes no part in fine rebalancing until then
    double capacity = 0;               // requests per second, smoothed over its reports; 0: unknown
    std::size_t capacity_samples = 0;  // reports that gave its capacity
    bool filling = false;              // new: it is being given its first share
  };
  struct ServiceState {
    Instant first_report{};
    Instant next_rebalance{};
    std::size_t known_backends = 0;
    Instant last_new_backend{};
    KeyRates rates;
    Instant leveling_until{};  // leveling goes on until then, once a backend was overloaded
  };
  // A backend that may receive rows, and what it holds so far in this plan.
  struct Recipient {
    Backend* backend = nullptr;
    std::uint16_t holder_index = no_holder;
    std::size_t rows = 0;     // held, and moving to it
    double cost = 0;          // its busy share, plus that of the rows assigned to it in this plan
    double width = 0;         // its share of all keys
    std::size_t leaving = 0;  // rows moving away from it
    std::size_t arriving = 0;
  };
  using Recipients = std::vector<Recipient>;

  Backend* backend_of(std::string const& instance);
  bool ended(std::string const& instance) const { return ended_.contains(instance); }
  bool is_serving(Backend const& backend, Instant now) const;
  bool is_eligible(Backend const& backend, Instant now) const;
  void find_zones_to_vacate(std::string const& service, Instant now);
  bool is_vacated(std::string const& zone) const { return zones_to_vacate_.contains(zone); }
  Duration silent_for(std::string const& instance, Instant now) const;
  bool revocation_elapsed(Revision revoked, Instant now) const;
  KeyRelease const* release_of(KeyTable const& table, KeyRow const& row) const;

  Recipients recipients(KeyTable& table, KeyService const& service, Instant now);
  static Recipient* pick(Recipients& recipients, KeyService const& service, std::size_t row, std::size_t rows_limit);
  double row_cost(KeyTable const& table, KeyRow const& row) const;

  void create_rows(KeyTable& table, std::string const& name, Instant now);
  void revoke_and_restore(KeyTable& table, KeyService& service, Instant now);
  void free_rows(KeyTable& table, KeyService& service, Instant now);
  Backend const* successor_of(KeyHolderRecord const& ended_holder, std::string const& service, Instant now) const;
  void finish_moves(KeyTable& table, KeyService& service, Recipients& recipients);
  void assign_free(KeyService& service, Recipients& recipients);
  void move_rows_off_draining(KeyTable& table, KeyService& service, Recipients& recipients);
  void fill_newcomers(KeyTable& table, KeyService& service, Recipients& recipients);
  static void update_capacity(Backend& backend);
  static double capacity_of_slot(Recipients const& recipients);
  void rebalance(KeyTable const& table, KeyService& service, Recipients const& recipients, Instant now);
  void begin_move(KeyTable& table, KeyService& service, std::size_t row, Recipient& recipient);
  static void merge_free(KeyService& service, std::size_t room);
  void remove_expired(Instant now);

  KeySettings const settings_;
  KeyTable table_;
  std::map<std::string, Backend> backends_;  // by instance
  std::map<std::string, ServiceState> services_;
  std::map<std::string, Instant> ended_;     // and when each was last reported
  std::map<Revision, Instant> revocations_;  // when this process first saw each in a chosen table
  std::set<std::string> withheld_zones_;
  std::set<std::string> zones_to_vacate_;  // those of them that the service being planned can do without
  Instant observing_since_{};
  Instant last_tick_{};
};

}  // namespace banktide
