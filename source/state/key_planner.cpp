// The steps of a plan, in order: revoke rows of silent holders and restore those of returned
// ones; free rows that nobody can hold any more, or assign them to the next incarnation on the
// same node; finish moves; assign free rows; begin moves away from draining backends, to new
// backends, and from overloaded to idle ones.
#include "state/key_planner.hpp"

#include "state/key_rebalancer.hpp"

#include <algorithm>
#include <limits>

namespace banktide {

namespace {

constexpr Duration stall_threshold = 500ms;    // a longer gap between ticks means that this process was stalled
constexpr Duration growth_quiet_time = 500ms;  // no new backend for this long: all have reported
constexpr Duration ended_retention = 120s;
constexpr double neighbour_cost = 0.1;   // cost of holding a neighbouring row, when a recipient is picked
constexpr double width_weight = 0.25;    // weight of the share of keys held, next to that of the load
constexpr double newcomer_share = 0.75;  // of the mean share, up to which a new backend is given rows
constexpr double least_capacity_weight = 0.15;
constexpr double min_measurable_busy = 0.05;  // below this, run times say little about the capacity

KeyHolderRecord record_of(KeyReport const& report) {
  return KeyHolderRecord{report.instance, report.node, report.address, report.zone};
}

void assign(KeyRow& row, std::uint16_t const holder, std::uint32_t const fence, std::string handover) {
  row.holder = holder;
  row.next = no_holder;
  row.fence = fence;
  row.moving = 0;
  row.revoked = 0;
  row.handover = std::move(handover);
}

}  // namespace

void KeyPlanner::on_report(Instant const now, KeyReport report) {
  for (KeyEnd const& end : report.ended) ended_[end.instance] = now;
  if (report.instance.empty() || ended(report.instance)) return;
  ServiceState& service = services_[report.service];
  if (service.first_report == Instant{}) service.first_report = now;
  Backend& backend = backends_[report.instance];
  if (backend.last_report == Instant{}) {
    ++service.known_backends;
    service.last_new_backend = now;
    backend.first_report = now;
  }
  backend.last_report = now;
  service.rates.update(now, report);
  backend.report = std::move(report);
  update_capacity(backend);
}

// Uses the capacity that its node derives from run times; without one, the request rate of its
// rows divided by its busy share.
void KeyPlanner::update_capacity(Backend& backend) {
  if (backend.report.busy < min_measurable_busy) return;
  double demand = 0;
  for (KeyRowLoad const& load : backend.report.held) demand += std::max(0.0F, load.rate);
  if (demand <= 0) return;
  double const measured_capacity = backend.report.capacity > 0 ? backend.report.capacity : demand / backend.report.busy;
  ++backend.capacity_samples;
  double const weight = std::max(least_capacity_weight, 1.0 / static_cast<double>(backend.capacity_samples));
  backend.capacity += (measured_capacity - backend.capacity) * weight;
}

void KeyPlanner::on_table(Instant const now, KeyTable table) {
  if (table.revision <= table_.revision) return;
  table_ = std::move(table);
  std::map<Revision, Instant> standing;
  for (KeyService const& service : table_.services)
    for (KeyRow const& row : service.rows) {
      if (row.revoked == 0) continue;
      std::map<Revision, Instant>::const_iterator const known = revocations_.find(row.revoked);
      standing.emplace(row.revoked, known == revocations_.end() ? now : known->second);
    }
  revocations_ = std::move(standing);
}

void KeyPlanner::tick(Instant const now) {
  if (now - last_tick_ > stall_threshold) observing_since_ = now;
  last_tick_ = now;
}

KeyPlanner::Backend* KeyPlanner::backend_of(std::string const& instance) {
  std::map<std::string, Backend>::iterator const found = backends_.find(instance);
  return found == backends_.end() ? nullptr : &found->second;
}

bool KeyPlanner::is_serving(Backend const& backend, Instant const now) const {
  return backend.report.state == KeyHolderState::serving && backend.report.leased &&
         now - backend.last_report <= settings_.report_valid_for && !ended(backend.report.instance);
}

bool KeyPlanner::is_eligible(Backend const& backend, Instant const now) const {
  return is_serving(backend, now) && !is_vacated(backend.report.zone);
}

// Vacates no zone if no backend elsewhere can hold the service's keys.
void KeyPlanner::find_zones_to_vacate(std::string const& service, Instant const now) {
  bool const others = std::any_of(backends_.begin(), backends_.end(), [&](auto const& known) {
    KeyReport const& report = known.second.report;
    return report.service == service && !withheld_zones_.contains(report.zone) && is_serving(known.second, now);
  });
  zones_to_vacate_ = others ? withheld_zones_ : std::set<std::string>{};
}

Duration KeyPlanner::silent_for(std::string const& instance, Instant const now) const {
  std::map<std::string, Backend>::const_iterator const found = backends_.find(instance);
  Instant const last_report =
      found == backends_.end() ? observing_since_ : std::max(found->second.last_report, observing_since_);
  return now - last_report;
}

// A node that confirmed its lease by a table without the revocation asked before the revocation
// was chosen, so its lease ends at most one term after this process saw it chosen.
bool KeyPlanner::revocation_elapsed(Revision const revoked, Instant const now) const {
  std::map<Revision, Instant>::const_iterator const seen = revocations_.find(revoked);
  if (seen == revocations_.end()) return false;
  Duration const drift =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings_.term) * settings_.clock_drift);
  return now - seen->second >= settings_.term + drift + settings_.revoke_slack;
}

KeyRelease const* KeyPlanner::release_of(KeyTable const& table, KeyRow const& row) const {
  if (row.moving == 0 || row.holder == no_holder) return nullptr;
  std::map<std::string, Backend>::const_iterator const found = backends_.find(table.holders[row.holder].instance);
  if (found == backends_.end()) return nullptr;
  for (KeyRelease const& release : found->second.report.released)
    if (release.from == row.from && release.to == row.to && release.fence == row.fence && release.moving == row.moving)
      return &release;
  return nullptr;
}

std::optional<KeyTable> KeyPlanner::plan(Instant const now) {
  tick(now);
  remove_expired(now);
  KeyTable next = table_;
  next.revision = table_.revision + 1;
  for (std::pair<std::string const, ServiceState> const& known : services_) create_rows(next, known.first, now);
  for (KeyService& service : next.services) {
    if (service.rows.empty()) continue;
    find_zones_to_vacate(service.name, now);
    revoke_and_restore(next, service, now);
    free_rows(next, service, now);
    Recipients all = recipients(next, service, now);
    finish_moves(next, service, all);
    assign_free(service, all);
    move_rows_off_draining(next, service, all);
    fill_newcomers(next, service, all);
    rebalance(next, service, all, now);
  }
  KeyTable unchanged = table_;
  unchanged.revision = next.revision;
  if (next.services == unchanged.services) return std::nullopt;
  next.remove_unused_holders();
  return next;
}

// Creates the first rows of a service, assigned in turn in proportion to the backends' slots, so
// that no two neighbouring rows have the same holder.
void KeyPlanner::create_rows(KeyTable& table, std::string const& name, Instant const now) {
  if (table.service(name) != nullptr) return;
  ServiceState const& state = services_[name];
  Duration const gathered = now - state.first_report;
  bool const quiet = gathered >= settings_.gather_time && now - state.last_new_backend >= growth_quiet_time;
  if (!quiet && gathered < settings_.gather_time_limit) return;
  KeyService service;
  service.name = name;
  find_zones_to_vacate(name, now);
  Recipients all = recipients(table, service, now);
  if (all.empty()) return;
  std::size_t const rows = std::min(settings_.first_rows_limit, settings_.rows_per_backend * all.size());
  double slots = 0;
  for (Recipient const& recipient : all) slots += recipient.backend->report.slots;
  std::vector<double> credit(all.size(), 0);
  for (std::size_t i = 0; i < rows; ++i) {
    std::size_t best = all.size();
    for (std::size_t t = 0; t < all.size(); ++t) {
      credit[t] += all[t].backend->report.slots / slots;
      bool const is_neighbour = i > 0 && all.size() > 1 && service.rows[i - 1].holder == all[t].holder_index;
      if (!is_neighbour && (best == all.size() || credit[t] > credit[best])) best = t;
    }
    credit[best] -= 1;
    KeyRow row;
    row.from = static_cast<std::uint16_t>(i * 65536 / rows);
    row.to = static_cast<std::uint16_t>((i + 1) * 65536 / rows - 1);
    assign(row, all[best].holder_index, 1, "");
    service.rows.push_back(std::move(row));
  }
  table.services.push_back(std::move(service));
}

void KeyPlanner::revoke_and_restore(KeyTable& table, KeyService& service, Instant const now) {
  std::set<std::uint16_t> holders, silent;
  for (KeyRow const& row : service.rows) {
    if (row.holder == no_holder) continue;
    holders.insert(row.holder);
    if (silent_for(table.holders[row.holder].instance, now) > settings_.revoke_after) silent.insert(row.holder);
  }
  // If most are silent, it is more likely that this process receives nothing.
  bool const most_are_silent = silent.size() * 2 > holders.size();
  Duration const patience = most_are_silent ? 2 * settings_.revoke_after : settings_.revoke_after;
  for (KeyRow& row : service.rows) {
    if (row.holder == no_holder) continue;
    std::string const& instance = table.holders[row.holder].instance;
    if (ended(instance)) continue;
    Backend const* const backend = backend_of(instance);
    bool const has_returned =
        backend != nullptr && backend->report.leased && now - backend->last_report <= settings_.report_valid_for;
    if (row.revoked == 0 && silent_for(instance, now) > patience) row.revoked = table.revision;
    if (row.revoked != 0 && has_returned) row.revoked = 0;
  }
}

// Finds the next incarnation on the node of an ended backend. It may inherit rows at once, also
// for a while after its start, when its node has no lease yet.
KeyPlanner::Backend const* KeyPlanner::successor_of(KeyHolderRecord const& ended_holder, std::string const& service,
                                                    Instant const now) const {
  for (std::pair<std::string const, Backend> const& known : backends_) {
    Backend const& backend = known.second;
    KeyReport const& report = backend.report;
    if (report.node != ended_holder.node || report.service != service || ended(report.instance)) continue;
    if (is_vacated(report.zone)) continue;
    bool const may_hold = report.leased || now - backend.first_report <= settings_.successor_grace;
    bool const is_recent = now - backend.last_report <= settings_.report_valid_for;
    if (may_hold && is_recent && report.state == KeyHolderState::serving) return &backend;
  }
  return nullptr;
}

// Frees rows that nobody can hold any more: the holder has ended, or the whole lease term has
// passed since the revocation. The rows of an ended incarnation go to the next one on its node,
// if there is one, with their boundaries unchanged.
void KeyPlanner::free_rows(KeyTable& table, KeyService& service, Instant const now) {
  std::uint32_t const fence = service.highest_fence() + 1;
  for (KeyRow& row : service.rows) {
    if (row.next != no_holder && ended(table.holders[row.next].instance)) row.next = no_holder;
    if (row.holder == no_holder) continue;
    bool const gone = ended(table.holders[row.holder].instance);
    if (!gone && !(row.revoked != 0 && revocation_elapsed(row.revoked, now))) continue;
    Backend const* const successor = gone ? successor_of(table.holders[row.holder], service.name, now) : nullptr;
    if (successor != nullptr) {
      assign(row, table.add_holder(record_of(successor->report)), fence, "");
      continue;
    }
    row.holder = no_holder;
    row.moving = 0;
    row.revoked = 0;
    row.handover.clear();
  }
}

KeyPlanner::Recipients KeyPlanner::recipients(KeyTable& table, KeyService const& service, Instant const now) {
  Recipients all;
  for (std::pair<std::string const, Backend>& known : backends_) {
    Backend& backend = known.second;
    if (backend.report.service != service.name || !is_eligible(backend, now)) continue;
    Recipient recipient;
    recipient.backend = &backend;
    recipient.holder_index = table.add_holder(record_of(backend.report));
    recipient.cost = backend.report.busy;
    for (KeyRow const& row : service.rows) {
      bool const is_leaving = row.holder == recipient.holder_index && row.moving != 0;
      bool const is_arriving = row.next == recipient.holder_index;
      recipient.leaving += is_leaving;
      recipient.arriving += is_arriving;
      if ((row.holder != recipient.holder_index || is_leaving) && !is_arriving) continue;
      ++recipient.rows;
      recipient.width += width_of(row);
    }
    all.push_back(recipient);
  }
  return all;
}

KeyPlanner::Recipient* KeyPlanner::pick(Recipients& recipients, KeyService const& service, std::size_t const row,
                                        std::size_t const rows_limit) {
  Recipient* best = nullptr;
  double least = std::numeric_limits<double>::max();
  for (Recipient& recipient : recipients) {
    if (recipient.rows >= rows_limit || recipient.holder_index == service.rows[row].holder) continue;
    auto const holds = [&](KeyRow const& r) {
      return r.next == recipient.holder_index || r.holder == recipient.holder_index;
    };
    bool const is_neighbour =
        (row > 0 && holds(service.rows[row - 1])) || (row + 1 < service.rows.size() && holds(service.rows[row + 1]));
    double const mean = recipients.empty() ? 1 : 1.0 / static_cast<double>(recipients.size());
    double const cost = recipient.cost + width_weight * recipient.width / mean + (is_neighbour ? neighbour_cost : 0);
    if (cost >= least) continue;
    least = cost;
    best = &recipient;
  }
  return best;
}

// Returns the part of its holder's busy share that a row causes, by the holder's last report.
double KeyPlanner::row_cost(KeyTable const& table, KeyRow const& row) const {
  if (row.holder == no_holder) return 0;
  std::map<std::string, Backend>::const_iterator const found = backends_.find(table.holders[row.holder].instance);
  if (found == backends_.end()) return 0;
  double all = 0, mine = 0;
  for (KeyRowLoad const& load : found->second.report.held) {
    all += std::max(0.0F, load.rate);
    if (load.from <= row.from && load.to >= row.to) mine = std::max(0.0F, load.rate);
  }
  return all <= 0 ? 0 : found->second.report.busy * mine / all;
}

void KeyPlanner::finish_moves(KeyTable& table, KeyService& service, Recipients& recipients) {
  std::uint32_t const fence = service.highest_fence() + 1;
  for (std::size_t i = 0; i < service.rows.size(); ++i) {
    KeyRow& row = service.rows[i];
    KeyRelease const* const release = release_of(table, row);
    bool const wanted = std::any_of(recipients.begin(), recipients.end(),
                                    [&](Recipient const& r) { return r.holder_index == row.next; });
    if (row.moving != 0 && !wanted) {
      // The recipient is gone: choose another one, or cancel the move.
      Recipient* const other = pick(recipients, service, i, settings_.held_rows_limit);
      row.next = other == nullptr ? no_holder : other->holder_index;
      if (other != nullptr) {
        ++other->rows;
        other->width += width_of(row);
      } else {
        row.moving = 0;
      }
    }
    if (release != nullptr && row.next != no_holder) assign(row, row.next, fence, release->handover);
  }
}

// Merges neighbouring free rows in pairs until the recipients have room for all of them.
void KeyPlanner::merge_free(KeyService& service, std::size_t const room) {
  auto const is_free = [](KeyRow const& row) { return row.holder == no_holder; };
  std::size_t free = static_cast<std::size_t>(std::count_if(service.rows.begin(), service.rows.end(), is_free));
  for (bool merged = true; merged && free > room;) {
    merged = false;
    for (std::size_t i = 0; i + 1 < service.rows.size() && free > room; ++i) {
      KeyRow& left = service.rows[i];
      KeyRow const& right = service.rows[i + 1];
      if (!is_free(left) || !is_free(right)) continue;
      left.to = right.to;
      left.fence = std::max(left.fence, right.fence);
      service.rows.erase(service.rows.begin() + static_cast<std::ptrdiff_t>(i) + 1);
      --free;
      merged = true;
    }
  }
}

void KeyPlanner::assign_free(KeyService& service, Recipients& recipients) {
  if (recipients.empty()) return;
  std::uint32_t const fence = service.highest_fence() + 1;
  std::size_t const wanted = settings_.held_rows_limit * 3 / 4;  // the rest is room for moves
  std::size_t room = 0;
  for (Recipient const& recipient : recipients) room += wanted - std::min(wanted, recipient.rows);
  merge_free(service, std::max(room, recipients.size()));
  for (std::size_t i = 0; i < service.rows.size(); ++i) {
    KeyRow& row = service.rows[i];
    if (row.holder != no_holder) continue;
    Recipient* recipient = pick(recipients, service, i, settings_.held_rows_limit);
    if (recipient == nullptr) recipient = pick(recipients, service, i, std::numeric_limits<std::size_t>::max());
    assign(row, recipient->holder_index, fence, "");
    ++recipient->rows;
    recipient->width += width_of(row);
  }
}

void KeyPlanner::begin_move(KeyTable& table, KeyService& service, std::size_t const row, Recipient& recipient) {
  double const cost = row_cost(table, service.rows[row]);
  service.rows[row].next = recipient.holder_index;
  service.rows[row].moving = table.revision;
  ++recipient.rows;
  ++recipient.arriving;
  recipient.cost += cost;
  recipient.width += width_of(service.rows[row]);
}

// A draining backend ends soon and gives up all rows at once; a backend in a withheld zone has
// more time and gives up a few rows at a time.
void KeyPlanner::move_rows_off_draining(KeyTable& table, KeyService& service, Recipients& recipients) {
  std::map<std::uint16_t, std::size_t> leaving;
  for (KeyRow const& row : service.rows) leaving[row.holder] += row.moving != 0;
  for (std::size_t i = 0; i < service.rows.size(); ++i) {
    KeyRow const& row = service.rows[i];
    if (row.holder == no_holder || row.moving != 0) continue;
    Backend const* const holder = backend_of(table.holders[row.holder].instance);
    if (holder == nullptr) continue;
    bool const ends = holder->report.state == KeyHolderState::draining;
    bool const leaves = is_vacated(table.holders[row.holder].zone) && leaving[row.holder] < settings_.moving_rows_limit;
    if (!ends && !leaves) continue;
    Recipient* const recipient = pick(recipients, service, i, settings_.held_rows_limit);
    if (recipient == nullptr) continue;
    begin_move(table, service, i, *recipient);
    ++leaving[row.holder];
  }
}

// A new backend with far less than its share by slots gets rows from the backends with the
// widest share, a few at a time. From then on its load decides.
void KeyPlanner::fill_newcomers(KeyTable& table, KeyService& service, Recipients& recipients) {
  double slots = 0;
  for (Recipient const& recipient : recipients) slots += recipient.backend->report.slots;
  for (Recipient& newcomer : recipients) {
    double const share = newcomer_share * newcomer.backend->report.slots / std::max(slots, 1.0);
    bool& filling = newcomer.backend->filling;
    filling = (filling || newcomer.rows == newcomer.arriving) && newcomer.width < share;
    if (!filling) continue;
    while (newcomer.width < share && newcomer.rows < settings_.held_rows_limit) {
      Recipient* widest = nullptr;
      for (Recipient& donor : recipients) {
        if (&donor == &newcomer || donor.leaving >= settings_.moving_rows_limit || donor.rows <= 1) continue;
        if (donor.width * slots / donor.backend->report.slots <=
            newcomer.width * slots / newcomer.backend->report.slots)
          continue;
        if (widest == nullptr ||
            donor.width / donor.backend->report.slots > widest->width / widest->backend->report.slots)
          widest = &donor;
      }
      if (widest == nullptr) break;
      std::size_t chosen = service.rows.size();
      for (std::size_t i = 0; i < service.rows.size(); ++i) {
        KeyRow const& row = service.rows[i];
        if (row.holder != widest->holder_index || row.moving != 0 || row.revoked != 0) continue;
        if (width_of(row) > 2 * share) continue;
        bool const hotter =
            chosen == service.rows.size() || row_cost(table, row) > row_cost(table, service.rows[chosen]);
        if (hotter) chosen = i;
      }
      if (chosen == service.rows.size()) break;
      begin_move(table, service, chosen, newcomer);
      ++widest->leaving;
      --widest->rows;
      widest->width -= width_of(service.rows[chosen]);
    }
  }
}

// Returns the requests per second that a slot finishes, averaged over the backends with a known
// capacity. It stands in for the capacity of backends that have had hardly any requests yet.
double KeyPlanner::capacity_of_slot(Recipients const& recipients) {
  double capacity = 0, slots = 0;
  for (Recipient const& recipient : recipients) {
    if (recipient.backend->capacity <= 0) continue;
    capacity += recipient.backend->capacity;
    slots += recipient.backend->report.slots;
  }
  return slots > 0 ? capacity / slots : 0;
}

// Only backends whose rows' rates are known take part.
void KeyPlanner::rebalance(KeyTable const& table, KeyService& service, Recipients const& recipients,
                           Instant const now) {
  ServiceState& state = services_[service.name];
  state.rates.remove_expired(service, now);
  if (now < state.next_rebalance) return;
  double const slot_capacity = capacity_of_slot(recipients);
  KeyRebalancer step(settings_, service, state.rates, table.revision, now);
  for (Recipient const& recipient : recipients) {
    Backend const& backend = *recipient.backend;
    double const capacity = backend.capacity > 0 ? backend.capacity : slot_capacity * backend.report.slots;
    if (backend.filling || capacity <= 0) continue;
    LoadedBackend loaded;
    loaded.instance = backend.report.instance;
    loaded.holder_index = recipient.holder_index;
    loaded.capacity = capacity;
    loaded.busy = backend.report.busy;
    loaded.settling = now < backend.settling_until;
    step.add(loaded);
  }
  bool const leveled = step.level_load(now < state.leveling_until);
  if (step.uneven()) state.leveling_until = now + settings_.leveling_time;
  bool const merged = step.merge_cool_rows();
  if (leveled || merged) state.next_rebalance = now + settings_.rebalance_every;
  for (Recipient const& recipient : recipients)
    if (std::count(step.settling().begin(), step.settling().end(), recipient.holder_index) > 0)
      recipient.backend->settling_until = now + settings_.settle_time;
}

void KeyPlanner::remove_expired(Instant const now) {
  std::erase_if(backends_, [&](std::pair<std::string const, Backend> const& known) {
    bool const old = now - known.second.last_report > ended_retention;
    return ended(known.first) || (old && table_.holder_index(known.first) == no_holder);
  });
  std::erase_if(ended_, [&](std::pair<std::string const, Instant> const& known) {
    return now - known.second > ended_retention && table_.holder_index(known.first) == no_holder;
  });
}

}  // namespace banktide
