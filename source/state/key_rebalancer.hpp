// One step of rebalancing the load of a keyed service: splits hot rows, begins moves from the
// most to the least utilised backends, and merges narrow rows with little load when there are many
// rows. It changes rows of the table being planned; the planner decides when a step is due.
#pragma once

#include "state/key_rates.hpp"
#include "state/key_table.hpp"

#include <optional>
#include <vector>

namespace banktide {

/// Returns the share of all keys that a row covers.
double width_of(KeyRow const& row);

// A backend whose rows' rates are known, with its capacity and load.
struct LoadedBackend {
  std::string instance;
  std::uint16_t holder_index = no_holder;
  double capacity = 0;  // requests per second
  double busy = 0;
  bool settling = false;  // it took part in a fine step recently
  // Filled in from the rows:
  double demand = 0;    // requests per second on its rows and on those moving to it
  double variance = 0;  // of the demand, given how long the rates were measured
  std::size_t rows = 0;
  std::size_t leaving = 0;
  bool done = false;  // takes no further part in this step
  double utilisation() const { return demand / capacity; }
};

class KeyRebalancer {
 public:
  KeyRebalancer(KeySettings const& settings, KeyService& service, KeyRates& rates, Revision revision, Instant now);

  /// Adds a backend. One with a row of unknown rate takes no part in the step.
  void add(LoadedBackend backend);
  /// Call once all backends are added. Begins to level the load only when a backend is overloaded;
  /// `begun`: leveling is under way and goes on until loads are even. Returns whether rows changed.
  bool level_load(bool begun);
  /// Whether a backend's load was so far above the mean that it should give up rows.
  bool uneven() const { return uneven_; }
  bool merge_cool_rows();
  /// The backends that took part in a fine step.
  std::vector<std::uint16_t> const& settling() const { return settling_; }

 private:
  struct Move {
    std::size_t row = 0;
    LoadedBackend* recipient = nullptr;
    double rate = 0;
  };

  void sum_loads();
  void find_means();
  double rate_of(KeyRow const& row) const;
  bool movable(KeyRow const& row) const;
  bool overloaded() const;
  double gap(LoadedBackend const& backend) const;
  double gap_with_noise(LoadedBackend const& backend, double gap) const;
  bool exceeds_gap(double gap) const;
  LoadedBackend* most_utilised(bool coarse);
  LoadedBackend* least_utilised(bool coarse, KeyRow const* apart_from);
  bool holds_neighbour(LoadedBackend const& backend, std::size_t row) const;
  bool split_hot_rows(LoadedBackend& holder);
  std::vector<KeyCut> group_cuts(KeyRate const& known, double most, std::size_t parts) const;
  void split(std::size_t row, std::vector<KeyCut> const& cuts);
  std::optional<Move> best_move(LoadedBackend const& donor, bool coarse);
  double hot_keys_of(LoadedBackend const& backend) const;
  std::optional<Move> move_of_hot_key(LoadedBackend const& donor);
  void begin(Move const& move, LoadedBackend& donor);
  bool mergeable(KeyRow const& left, KeyRow const& right) const;
  bool merge_neighbours();
  bool move_neighbours_together();
  LoadedBackend* backend(std::uint16_t holder_index);
  std::size_t rows_limit() const;

  KeySettings const& settings_;
  KeyService& service_;
  KeyRates& rates_;
  Revision const revision_;
  Instant const now_;
  std::vector<LoadedBackend> backends_;
  std::vector<std::uint16_t> settling_;
  bool loads_summed_ = false;
  bool uneven_ = false;
  double mean_ = 0;             // utilisation, without backends that a single key overloads
  double split_threshold_ = 0;  // requests per second above which a row is split
  double width_left_ = 0;
};

}  // namespace banktide
