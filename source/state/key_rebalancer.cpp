// Moves rows one by one from the most to the least utilised backend of the moment. A backend starts
// to give up rows only when its load is far above the mean, by more than random variation explains,
// and then goes on until it is near the mean. So a load that merely fluctuates moves nothing.
#include "state/key_rebalancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace banktide {

namespace {

constexpr double all_keys = 65536;
constexpr double all_shares = 65535;
constexpr double rate_tolerance = 0.3;      // by which a row's rate may exceed the wanted shift of load
constexpr double min_useful_share = 0.1;    // of the wanted shift: the least that a moved row carries
constexpr double neighbour_gap = 0.15;      // a recipient without a neighbouring row may be this much more utilised
constexpr double donor_target_share = 0.5;  // of the gap that triggers moves: a donor gives up rows until it is below
constexpr double cool_share = 0.5;          // of the split threshold: the most that a merged row may carry
constexpr double narrow_share = 0.25;       // of a first row's width: narrower rows are merged
constexpr double room_share = 0.75;         // of the rows that a backend may hold: no row is moved for merging above it
constexpr std::size_t max_splits_at_once = 3;

}  // namespace

double width_of(KeyRow const& row) { return (row.to - row.from + 1) / all_keys; }

KeyRebalancer::KeyRebalancer(KeySettings const& settings, KeyService& service, KeyRates& rates, Revision const revision,
                             Instant const now)
    : settings_(settings),
      service_(service),
      rates_(rates),
      revision_(revision),
      now_(now),
      width_left_(settings.moving_width_limit) {
  for (KeyRow const& row : service.rows) width_left_ -= row.moving != 0 ? width_of(row) : 0;
}

void KeyRebalancer::add(LoadedBackend backend) { backends_.push_back(std::move(backend)); }

// Moving rows count for their recipients already.
void KeyRebalancer::sum_loads() {
  if (std::exchange(loads_summed_, true)) return;
  std::set<std::uint16_t> unknown;
  for (KeyRow const& row : service_.rows) {
    KeyRate const* const known = rates_.find(row);
    bool const moves = row.moving != 0;
    LoadedBackend* const holder = backend(row.holder);
    LoadedBackend* const carrier = moves ? backend(row.next) : holder;
    if (moves && holder != nullptr) ++holder->leaving;
    if (carrier != nullptr) ++carrier->rows;
    if (known == nullptr && !moves) unknown.insert(row.holder);
    if (known == nullptr || carrier == nullptr) continue;
    carrier->demand += known->rate;
    if (known->seconds > 0) carrier->variance += known->rate / known->seconds;
  }
  std::erase_if(backends_, [&](LoadedBackend const& backend) { return unknown.contains(backend.holder_index); });
}

LoadedBackend* KeyRebalancer::backend(std::uint16_t const holder_index) {
  for (LoadedBackend& backend : backends_)
    if (backend.holder_index == holder_index) return &backend;
  return nullptr;
}

double KeyRebalancer::rate_of(KeyRow const& row) const {
  KeyRate const* const known = rates_.find(row);
  return known == nullptr ? 0 : known->rate;
}

bool KeyRebalancer::movable(KeyRow const& row) const {
  if (row.moving != 0 || row.revoked != 0) return false;
  KeyRate const* const known = rates_.find(row);
  return known != nullptr && (known->moved_at == Instant{} || now_ - known->moved_at >= settings_.settle_time);
}

std::size_t KeyRebalancer::rows_limit() const {
  return std::min(settings_.rows_limit, settings_.held_rows_limit * backends_.size());
}

// A backend that a single key loads beyond the mean can give up nothing useful: it is left out of
// the mean, and the others are leveled among themselves.
void KeyRebalancer::find_means() {
  double demand = 0, capacity = 0;
  for (LoadedBackend const& backend : backends_) {
    demand += backend.demand;
    capacity += backend.capacity;
  }
  split_threshold_ = settings_.split_share * demand / static_cast<double>(backends_.size());
  mean_ = capacity > 0 ? demand / capacity : 0;
  std::vector<KeyRow const*> single;
  for (KeyRow const& row : service_.rows)
    if (row.from == row.to && rate_of(row) > split_threshold_) single.push_back(&row);
  std::sort(single.begin(), single.end(), [&](KeyRow const* a, KeyRow const* b) { return rate_of(*a) > rate_of(*b); });
  for (KeyRow const* const row : single) {
    LoadedBackend const* const holder = backend(row->next != no_holder ? row->next : row->holder);
    if (holder == nullptr || capacity <= holder->capacity) continue;
    double const rate = rate_of(*row);
    if (rate <= mean_ * holder->capacity) continue;
    demand -= rate;
    capacity -= holder->capacity;
    mean_ = std::max(demand, 0.0) / capacity;
  }
}

bool KeyRebalancer::overloaded() const {
  return std::any_of(backends_.begin(), backends_.end(), [&](LoadedBackend const& backend) {
    return backend.busy > settings_.overload_threshold || backend.utilisation() > settings_.overload_threshold;
  });
}

double KeyRebalancer::gap(LoadedBackend const& backend) const { return backend.utilisation() / mean_ - 1; }

double KeyRebalancer::gap_with_noise(LoadedBackend const& backend, double const gap) const {
  return gap + (backend.demand > 0 ? std::sqrt(backend.variance) / backend.demand : 0);
}

bool KeyRebalancer::exceeds_gap(double const limit) const {
  return std::any_of(backends_.begin(), backends_.end(),
                     [&](LoadedBackend const& backend) { return gap(backend) > gap_with_noise(backend, limit); });
}

LoadedBackend* KeyRebalancer::most_utilised(bool const coarse) {
  LoadedBackend* most = nullptr;
  for (LoadedBackend& backend : backends_) {
    if (backend.done || (!coarse && backend.settling)) continue;
    if (gap(backend) <= gap_with_noise(backend, settings_.load_gap)) continue;
    if (most == nullptr || backend.utilisation() > most->utilisation()) most = &backend;
  }
  return most;
}

LoadedBackend* KeyRebalancer::least_utilised(bool const coarse, KeyRow const* const apart_from) {
  LoadedBackend* least = nullptr;
  std::size_t const row =
      apart_from == nullptr ? service_.rows.size() : static_cast<std::size_t>(apart_from - service_.rows.data());
  for (LoadedBackend& backend : backends_) {
    if (backend.rows >= settings_.held_rows_limit || backend.utilisation() >= mean_) continue;
    if (!coarse && (backend.settling || backend.done)) continue;
    if (apart_from != nullptr && holds_neighbour(backend, row)) continue;
    if (least == nullptr || backend.utilisation() < least->utilisation()) least = &backend;
  }
  return least;
}

bool KeyRebalancer::holds_neighbour(LoadedBackend const& backend, std::size_t const row) const {
  auto const holds = [&](KeyRow const& r) { return (r.next != no_holder ? r.next : r.holder) == backend.holder_index; };
  return (row > 0 && holds(service_.rows[row - 1])) ||
         (row + 1 < service_.rows.size() && holds(service_.rows[row + 1]));
}

// Groups the reported parts of a row into at most `parts` parts, none above the rate `most` if possible.
std::vector<KeyCut> KeyRebalancer::group_cuts(KeyRate const& known, double const most, std::size_t const parts) const {
  double rest = all_shares;
  for (KeyCut const& part : known.cuts) rest -= part.share;
  for (double limit = most;; limit *= 1.25) {
    std::vector<KeyCut> cuts;
    double collected = std::max(rest, 0.0);
    for (KeyCut const& part : known.cuts) {
      if ((collected + part.share) / all_shares * known.rate > limit) {
        cuts.push_back(part);
        collected = 0;
      } else if (!cuts.empty()) {
        cuts.back().share = static_cast<std::uint16_t>(std::min<double>(cuts.back().share + part.share, all_shares));
      }
      collected += part.share;
    }
    if (cuts.size() < parts || limit > known.rate) return cuts.size() < parts ? cuts : std::vector<KeyCut>{};
  }
}

// The parts' rates are derived from the reported shares, so they can be moved in the same step.
void KeyRebalancer::split(std::size_t const row, std::vector<KeyCut> const& cuts) {
  KeyRow const whole = service_.rows[row];
  KeyRate const known = *rates_.find(whole);
  std::vector<KeyRow> parts(cuts.size() + 1, whole);
  double left = all_shares;
  for (std::size_t i = 0; i < cuts.size(); ++i) {
    parts[i].to = static_cast<std::uint16_t>(cuts[i].at - 1);
    parts[i + 1].from = cuts[i].at;
    left -= cuts[i].share;
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    KeyRate part;
    part.rate = known.rate * std::max(0.0, i == 0 ? left : cuts[i - 1].share) / all_shares;
    part.seconds = known.seconds;
    part.reported_at = now_;
    rates_.set(parts[i], std::move(part));
  }
  std::vector<KeyRow>::iterator const at = service_.rows.begin() + static_cast<std::ptrdiff_t>(row);
  *at = parts.front();
  service_.rows.insert(at + 1, parts.begin() + 1, parts.end());
}

// Splits the hottest rows first, as far as the limits of rows allow.
bool KeyRebalancer::split_hot_rows(LoadedBackend& holder) {
  bool any = false;
  for (std::size_t n = 0; n < max_splits_at_once; ++n) {
    std::size_t hottest = service_.rows.size();
    double most = split_threshold_ * (1 + rate_tolerance);
    for (std::size_t i = 0; i < service_.rows.size(); ++i) {
      KeyRow const& row = service_.rows[i];
      if (row.holder != holder.holder_index || row.moving != 0 || row.revoked != 0) continue;
      KeyRate const* const known = rates_.find(row);
      if (known == nullptr || known->cuts.empty() || known->rate <= most) continue;
      most = known->rate;
      hottest = i;
    }
    std::size_t const used = service_.rows.size();
    if (hottest == used || used >= settings_.rows_limit || holder.rows >= settings_.held_rows_limit) return any;
    std::size_t const room = std::min(settings_.rows_limit - used, settings_.held_rows_limit - holder.rows);
    std::vector<KeyCut> const cuts = group_cuts(*rates_.find(service_.rows[hottest]), split_threshold_, room + 1);
    if (cuts.empty()) return any;
    split(hottest, cuts);
    holder.rows += cuts.size();
    any = true;
  }
  return any;
}

// Returns the row whose rate is nearest to the wanted shift; narrow rows are preferred.
std::optional<KeyRebalancer::Move> KeyRebalancer::best_move(LoadedBackend const& donor, bool const coarse) {
  LoadedBackend* const idle = least_utilised(coarse, nullptr);
  if (idle == nullptr) return coarse ? move_of_hot_key(donor) : std::nullopt;
  double const target = mean_ * (1 + settings_.load_gap * donor_target_share);
  double const wanted = std::min(donor.demand - target * donor.capacity, mean_ * idle->capacity - idle->demand);
  std::optional<Move> best;
  double least = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < service_.rows.size(); ++i) {
    KeyRow const& row = service_.rows[i];
    if (row.holder != donor.holder_index || !movable(row) || width_of(row) > width_left_) continue;
    double const rate = rate_of(row);
    if (rate > wanted * (1 + rate_tolerance) || rate < wanted * min_useful_share) continue;
    double const cost = std::abs(wanted - rate) / wanted + width_of(row) / settings_.moving_width_limit;
    if (cost >= least) continue;
    least = cost;
    best = Move{i, idle, rate};
  }
  if (!best) return coarse ? move_of_hot_key(donor) : std::nullopt;
  if (holds_neighbour(*idle, best->row)) {
    LoadedBackend* const other = least_utilised(coarse, &service_.rows[best->row]);
    bool const good = other != nullptr && other->utilisation() <= idle->utilisation() + neighbour_gap * mean_ &&
                      other->demand + best->rate <= target * other->capacity;
    if (good) best->recipient = other;
  }
  return best;
}

// Returns the requests per second on the backend's hot rows of a single key, which can't be split.
double KeyRebalancer::hot_keys_of(LoadedBackend const& backend) const {
  double rate = 0;
  for (KeyRow const& row : service_.rows) {
    bool const there = row.next == backend.holder_index || (row.holder == backend.holder_index && row.moving == 0);
    if (there && row.from == row.to && rate_of(row) > split_threshold_) rate += rate_of(row);
  }
  return rate;
}

// For a backend that is overloaded although it has given up its other rows: one of its hot keys
// moves to the backend with the least load by hot keys, which gives up other rows in later steps.
// So hot keys are spread, and the hottest goes to a backend with more capacity for it.
std::optional<KeyRebalancer::Move> KeyRebalancer::move_of_hot_key(LoadedBackend const& donor) {
  std::optional<Move> best;
  double least = hot_keys_of(donor) / donor.capacity - settings_.load_gap_coarse * mean_;
  for (LoadedBackend& backend : backends_) {
    if (&backend == &donor || backend.done || backend.rows >= settings_.held_rows_limit) continue;
    double const hot = hot_keys_of(backend);
    for (std::size_t i = 0; i < service_.rows.size(); ++i) {
      KeyRow const& row = service_.rows[i];
      if (row.holder != donor.holder_index || row.from != row.to || !movable(row)) continue;
      double const rate = rate_of(row);
      double const utilisation_after = (hot + rate) / backend.capacity;
      if (utilisation_after >= least || rate <= split_threshold_) continue;
      least = utilisation_after;
      best = Move{i, &backend, rate};
    }
  }
  return best;
}

void KeyRebalancer::begin(Move const& move, LoadedBackend& donor) {
  KeyRow& row = service_.rows[move.row];
  row.next = move.recipient->holder_index;
  row.moving = revision_;
  rates_.note_move(row, now_);
  width_left_ -= width_of(row);
  donor.demand -= move.rate;
  --donor.rows;
  ++donor.leaving;
  move.recipient->demand += move.rate;
  ++move.recipient->rows;
}

bool KeyRebalancer::level_load(bool const begun) {
  sum_loads();
  if (backends_.size() < 2) return false;
  find_means();
  if (mean_ <= 0 || !(begun || overloaded())) return false;
  uneven_ = exceeds_gap(settings_.load_gap);
  bool const coarse = exceeds_gap(settings_.load_gap_coarse);
  std::size_t const most_leaving = coarse ? settings_.coarse_moving_rows_limit : settings_.moving_rows_limit;
  bool changed = false;
  while (LoadedBackend* const donor = most_utilised(coarse)) {
    changed = split_hot_rows(*donor) || changed;
    // Once a backend gives up rows, it goes on until it is near the mean.
    while (!donor->done && gap(*donor) > settings_.load_gap * donor_target_share && donor->leaving < most_leaving) {
      std::optional<Move> const move = best_move(*donor, coarse);
      if (!move) break;
      begin(*move, *donor);
      changed = true;
      if (coarse) continue;
      donor->done = move->recipient->done = true;
      settling_.push_back(donor->holder_index);
      settling_.push_back(move->recipient->holder_index);
    }
    donor->done = true;
  }
  return changed;
}

// Whether two neighbouring rows are cool and narrow enough to be one. The merged row gets the higher
// of both fences: no fence of the two is above it, so the holder accepts the row as one it holds.
bool KeyRebalancer::mergeable(KeyRow const& left, KeyRow const& right) const {
  double const widest =
      1.0 / static_cast<double>(std::max<std::size_t>(1, settings_.rows_per_backend * backends_.size()));
  KeyRate const* const a = rates_.find(left);
  KeyRate const* const b = rates_.find(right);
  if (a == nullptr || b == nullptr || width_of(left) + width_of(right) > widest) return false;
  if (left.moving != 0 || right.moving != 0 || left.revoked != 0 || right.revoked != 0) return false;
  return a->rate + b->rate <= split_threshold_ * cool_share;
}

bool KeyRebalancer::merge_neighbours() {
  bool any = false;
  for (std::size_t i = 0; i + 1 < service_.rows.size();) {
    KeyRow& left = service_.rows[i];
    KeyRow const& right = service_.rows[i + 1];
    LoadedBackend* const holder = left.holder == right.holder ? backend(left.holder) : nullptr;
    // The holder has reported both rows, so their handovers have reached it.
    auto const shown = [&](KeyRow const& row) { return rates_.find(row)->last_reporter == holder->instance; };
    if (holder == nullptr || !mergeable(left, right) || !shown(left) || !shown(right)) {
      ++i;
      continue;
    }
    KeyRate merged = *rates_.find(left);
    KeyRate const& other = *rates_.find(right);
    merged.rate += other.rate;
    merged.seconds = std::min(merged.seconds, other.seconds);
    merged.moved_at = std::max(merged.moved_at, other.moved_at);
    merged.cuts.clear();
    merged.last_reporter.clear();
    left.to = right.to;
    left.fence = std::max(left.fence, right.fence);
    if (left.handover != right.handover) left.handover.clear();
    service_.rows.erase(service_.rows.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    rates_.set(left, std::move(merged));
    --holder->rows;
    any = true;
  }
  return any;
}

// Moves the cooler of two neighbouring rows to the other's holder; they are merged once it is there.
bool KeyRebalancer::move_neighbours_together() {
  double const narrow =
      narrow_share / static_cast<double>(std::max<std::size_t>(1, settings_.rows_per_backend * backends_.size()));
  std::size_t const room = static_cast<std::size_t>(static_cast<double>(settings_.held_rows_limit) * room_share);
  std::size_t begun = 0;
  for (std::size_t i = 0; i + 1 < service_.rows.size() && begun < settings_.merge_moves_limit; ++i) {
    bool const left_goes = rate_of(service_.rows[i]) < rate_of(service_.rows[i + 1]);
    std::size_t const row = left_goes ? i : i + 1;
    KeyRow const& moving_row = service_.rows[row];
    KeyRow const& staying_row = service_.rows[left_goes ? i + 1 : i];
    if (moving_row.holder == staying_row.holder || !mergeable(moving_row, staying_row) || !movable(moving_row))
      continue;
    if (width_of(moving_row) > narrow || width_of(moving_row) > width_left_) continue;
    LoadedBackend* const donor = backend(moving_row.holder);
    LoadedBackend* const recipient = backend(staying_row.holder);
    if (donor == nullptr || recipient == nullptr || recipient->rows >= room) continue;
    begin(Move{row, recipient, rate_of(moving_row)}, *donor);
    ++begun;
    ++i;  // the row that stays must not be moved by the next pair
  }
  return begun > 0;
}

bool KeyRebalancer::merge_cool_rows() {
  sum_loads();
  if (backends_.size() < 2) return false;
  std::size_t const many =
      static_cast<std::size_t>(static_cast<double>(rows_limit()) * settings_.merge_threshold_share);
  if (service_.rows.size() <= many) return false;
  find_means();
  if (mean_ <= 0) return false;
  bool const merged = merge_neighbours();
  return move_neighbours_together() || merged;
}

}  // namespace banktide
