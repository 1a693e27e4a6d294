// One step of evening out the load of a keyed service: cuts hot rows where their
// load is, begins moves from the most utilised backends to the least, and gathers
// cool narrow rows again when there are many. It changes rows of the table in the
// making; whether and when a step is due is for the planner to say.
#pragma once

#include "state/key_rates.hpp"
#include "state/key_table.hpp"

#include <optional>
#include <vector>

namespace banktide {

/// The part of all keys that lies in a row.
double width_of(KeyRow const& row);

// A backend whose rows' rates are known, and what it can do.
struct LoadedBackend {
  std::string instance;
  std::uint16_t holder_index = no_holder;
  double capacity = 0;  // requests a second
  double busy = 0;
  bool settling = false;  // it took part in a fine step lately
  // Filled in from the rows:
  double demand = 0;    // requests a second on its rows, and on those on the move to it
  double variance = 0;  // of the demand, by how long the rates were taken
  std::size_t rows = 0;
  std::size_t leaving = 0;
  bool done = false;  // no more of this step
  double utilisation() const { return demand / capacity; }
};

class KeyRebalancer {
 public:
  KeyRebalancer(KeySettings const& settings, KeyService& service, KeyRates& rates, Revision revision, Instant now);

  /// A backend with a row of unknown rate is left out.
  void add(LoadedBackend backend);
  /// To be called once all are added; whether anything was changed. Nothing is while
  /// nobody is overloaded, but what was begun goes on until loads are even.
  bool level_load(bool begun);
  /// Whether a backend's load was so far above the mean that it should give.
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
  double mean_ = 0;             // utilisation, without backends that one key fills
  double split_threshold_ = 0;  // requests a second that a row may carry without being cut
  double width_left_ = 0;
};

}  // namespace banktide
