// A row counts as released when the backend names it as released, or when a heartbeat after the first one whose reply
// omitted the row no longer lists it.
#include "coordination/key_granter.hpp"

#include <algorithm>

namespace banktide {

namespace {

constexpr std::size_t released_limit = 256;
constexpr std::size_t ended_limit = 8;
constexpr std::size_t replaced_limit = 16;
constexpr std::size_t pending_leases_limit = 8;
constexpr Duration suspension_gap = 1s;  // no report for longer than this: the process was suspended
constexpr float hot_row_share = 0.15F;   // of the capacity, or else of the load: the cuts of rows above it are reported
constexpr float parts_of_coolest_hot_row = 4;  // the least hot of these rows is cut into this many parts
constexpr float reported_parts = 64;           // approximate number for all hot rows together
constexpr std::size_t cuts_limit = 96;         // including those next to very hot keys

template <class A, class B>
bool overlap(A const& a, B const& b) {
  return a.from <= b.to && b.from <= a.to;
}

template <class A, class B>
bool covers(A const& outer, B const& inner) {
  return outer.from <= inner.from && outer.to >= inner.to;
}

Duration scaled(Duration const d, double const factor) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(d) * factor);
}

}  // namespace

KeyGranter::KeyGranter(std::string service, std::string node, std::string address, std::string zone,
                       KeySettings settings, Instant const started)
    : service_(std::move(service)),
      node_(std::move(node)),
      address_(std::move(address)),
      zone_(std::move(zone)),
      settings_(settings),
      previous_process_grants_end_(started +
                                   scaled(std::min(settings_.term, settings_.hold_limit), 1 + settings_.clock_drift)) {}

void KeyGranter::start_instance(std::string const& instance) {
  if (signed_off_) add_signed_off_other(SignedOffInstance{instance_, granted_until_});
  if (!instance_.empty() && !signed_off_) add_replaced(ReplacedInstance{instance_, granted_until_});
  Instant const may_hold_until = held_until(instance);
  reset_instance();
  instance_ = instance;
  granted_until_ = may_hold_until;
  std::erase_if(replaced_, [&](ReplacedInstance const& replaced) { return replaced.instance == instance; });
  urgent_report_ = true;
  add_instances_replaced_in_table();
  update_moving_rows();
}

// An instance that this process granted nothing to may still hold what the previous process granted.
Instant KeyGranter::held_until(std::string const& instance) const {
  if (instance == instance_) return granted_until_;
  ReplacedInstance const* const replaced = find_replaced(instance);
  return replaced == nullptr ? previous_process_grants_end_ : replaced->held_until;
}

void KeyGranter::reset_instance() {
  instance_.clear();
  sequence_ = 0;
  heartbeats_ = 0;
  unreachable_ = false;
  signed_off_ = false;
  granted_until_ = Instant{};
  holder_state_ = KeyHolderState::serving;
  held_.clear();
  released_.clear();
  served_.clear();
  moving_away_.clear();
}

void KeyGranter::end_instance(std::string const& instance, std::string const& reason) {
  if (!ended_ids_.insert(instance)) return;
  std::erase_if(replaced_, [&](ReplacedInstance const& replaced) { return replaced.instance == instance; });
  std::erase_if(signed_off_others_, [&](SignedOffInstance const& other) { return other.instance == instance; });
  ended_.push_back(KeyEnd{instance, reason});
  if (ended_.size() > ended_limit) ended_.erase(ended_.begin());
  urgent_report_ = true;
  if (instance == instance_) reset_instance();
}

KeyGranter::ReplacedInstance const* KeyGranter::find_replaced(std::string const& instance) const {
  std::vector<ReplacedInstance>::const_iterator const found =
      std::find_if(replaced_.begin(), replaced_.end(),
                   [&](ReplacedInstance const& replaced) { return replaced.instance == instance; });
  return found == replaced_.end() ? nullptr : &*found;
}

void KeyGranter::add_replaced(ReplacedInstance replaced) {
  if (find_replaced(replaced.instance) != nullptr || ended_ids_.contains(replaced.instance)) return;
  replaced_.push_back(std::move(replaced));
  if (replaced_.size() > replaced_limit) replaced_.erase(replaced_.begin());
}

void KeyGranter::add_signed_off_other(SignedOffInstance other) {
  signed_off_others_.push_back(std::move(other));
  if (signed_off_others_.size() > replaced_limit) signed_off_others_.erase(signed_off_others_.begin());
}

bool KeyGranter::has_signed_off(std::string const& instance) const {
  if (instance == instance_) return signed_off_;
  return std::any_of(signed_off_others_.begin(), signed_off_others_.end(),
                     [&](SignedOffInstance const& other) { return other.instance == instance; });
}

std::vector<std::string> KeyGranter::instances_without_proved_end() const {
  std::vector<std::string> instances;
  for (ReplacedInstance const& replaced : replaced_) instances.push_back(replaced.instance);
  for (SignedOffInstance const& other : signed_off_others_) instances.push_back(other.instance);
  return instances;
}

void KeyGranter::take_heartbeat(Instant const now, KeyHeartbeat const& heartbeat) {
  if (has_signed_off(heartbeat.instance) || ended_ids_.contains(heartbeat.instance)) return;
  if (heartbeat.instance != instance_) {
    if (!instance_.empty() && !runs_steadily(now)) return;
    start_instance(heartbeat.instance);
  }
  if (heartbeat.sequence <= sequence_) return;
  sequence_ = heartbeat.sequence;
  ++heartbeats_;
  heartbeat_arrived_ = now;
  urgent_report_ = urgent_report_ || unreachable_;
  unreachable_ = false;
  slots_ = heartbeat.slots;
  urgent_report_ = urgent_report_ || heartbeat.state != holder_state_;
  holder_state_ = heartbeat.state;
  held_ = heartbeat.held;
  record_releases(heartbeat);
  detect_releases(heartbeat);
}

// Whether this process has been running for a while: right after a suspension, delayed heartbeats of a former
// instance may be read after those of a later one.
bool KeyGranter::runs_steadily(Instant const now) const {
  return now - last_report_ < suspension_gap && now - running_since_ > suspension_gap / 2;
}

void KeyGranter::record_releases(KeyHeartbeat const& heartbeat) {
  for (ReleasedRange const& range : heartbeat.released) {
    std::erase_if(released_, [&](ReleasedToken const& known) { return overlap(known, range); });
    released_.push_back(ReleasedToken{range.from, range.to, 0, range.handover});
  }
  // Rows that it holds again are no longer released.
  std::erase_if(released_, [&](ReleasedToken const& known) {
    return std::any_of(held_.begin(), held_.end(), [&](HeldRange const& h) { return overlap(h, known); });
  });
  if (released_.size() > released_limit) released_.erase(released_.begin(), released_.end() - released_limit);
  bind_releases_to_fences();
}

// A token is valid only for the fence under which it was issued.
void KeyGranter::bind_releases_to_fences() {
  if (table_revision_ == 0) return;
  std::erase_if(released_, [&](ReleasedToken& known) {
    for (AssignedRow const& assigned : assigned_) {
      if (assigned.instance != instance_ || !overlap(known, assigned.row)) continue;
      if (known.fence == 0) known.fence = assigned.row.fence;
      if (known.fence == assigned.row.fence) return false;
    }
    return true;
  });
}

std::string KeyGranter::released_token(KeyRow const& row) const {
  for (ReleasedToken const& known : released_)
    if (known.fence == row.fence && covers(known, row)) return known.handover;
  return "";
}

// A backend sends its heartbeats one after the other, so each one reflects all earlier replies: none of these can
// grant the row again later.
void KeyGranter::detect_releases(KeyHeartbeat const& heartbeat) {
  for (MovingRow& moving_away : moving_away_) {
    if (moving_away.released) continue;
    auto const on_row = [&](auto const& range) { return overlap(range, moving_away.row); };
    if (std::any_of(heartbeat.held.begin(), heartbeat.held.end(), on_row)) continue;
    bool const named = std::any_of(heartbeat.released.begin(), heartbeat.released.end(),
                                   [&](ReleasedRange const& range) { return covers(range, moving_away.row); });
    bool const later = moving_away.omitted_at != 0 && heartbeat.sequence > moving_away.omitted_at;
    if (!named && !later) continue;
    moving_away.released = true;
    moving_away.handover = released_token(moving_away.row);
    urgent_report_ = true;
  }
}

bool KeyGranter::leased(Instant const now) const { return lease_until_ && now < *lease_until_; }

// The rows of this instance, without those being moved. Beyond the limit, adjacent rows with the same fence are
// merged into one.
std::vector<KeyGrant> KeyGranter::rows_to_grant() const {
  std::vector<KeyGrant> rows;
  for (AssignedRow const& assigned : assigned_) {
    if (assigned.instance != instance_ || assigned.row.revoked != 0 || assigned.row.moving != 0) continue;
    std::string token = released_token(assigned.row);
    if (token.empty()) token = assigned.row.handover;
    rows.push_back(KeyGrant{assigned.row.from, assigned.row.to, assigned.row.fence, std::move(token)});
  }
  for (std::size_t i = 1; rows.size() > settings_.held_rows_limit && i < rows.size();) {
    KeyGrant& left = rows[i - 1];
    KeyGrant const& right = rows[i];
    bool const one = left.to + 1 == right.from && left.fence == right.fence && left.handover == right.handover;
    if (!one) {
      ++i;
      continue;
    }
    left.to = right.to;
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (rows.size() > settings_.held_rows_limit) rows.resize(settings_.held_rows_limit);
  return rows;
}

KeyHeartbeatReply KeyGranter::reply(Instant const now, std::string const& instance, std::uint64_t const sequence) {
  KeyHeartbeatReply reply;
  if (instance.empty() || instance != instance_ || sequence != sequence_ || signed_off_ || unreachable_) return reply;
  for (MovingRow& moving_away : moving_away_)
    if (moving_away.omitted_at == 0) moving_away.omitted_at = sequence;
  if (!leased(now)) return reply;
  // Counted from the heartbeat's arrival, which is never before its sending.
  Duration const within_lease =
      scaled(*lease_until_ - settings_.lease_margin - heartbeat_arrived_, 1 / (1 + settings_.clock_drift));
  Duration const hold = std::min(within_lease, settings_.hold_limit);
  if (hold <= settings_.hold_margin) return reply;
  reply.renews = true;
  reply.hold = hold;
  reply.rows = rows_to_grant();
  update_served(reply.rows, now);
  hold_end_ = heartbeat_arrived_ + hold - settings_.hold_margin;
  granted_until_ = std::max(granted_until_, heartbeat_arrived_ + scaled(hold, 1 + settings_.clock_drift));
  return reply;
}

KeyHeartbeatReply KeyGranter::handle_heartbeat(Instant const now, KeyHeartbeat const& heartbeat) {
  take_heartbeat(now, heartbeat);
  return reply(now, heartbeat.instance, heartbeat.sequence);
}

bool KeyGranter::reply_may_wait(Instant const now) const {
  if (!leased(now)) return true;
  std::vector<KeyGrant> const rows = rows_to_grant();
  if (rows.size() != held_.size()) return false;
  std::vector<HeldRange> held = held_;
  std::sort(held.begin(), held.end(), [](HeldRange const& a, HeldRange const& b) { return a.from < b.from; });
  return std::equal(rows.begin(), rows.end(), held.begin(), [](KeyGrant const& g, HeldRange const& h) {
    return g.from == h.from && g.to == h.to && g.fence == h.fence;
  });
}

// Keeps the load counts of rows that stay, also when rows are split or merged.
void KeyGranter::update_served(std::vector<KeyGrant> const& rows, Instant const now) {
  std::vector<ServedRow> served;
  served.reserve(rows.size());
  std::size_t first = 0;
  for (KeyGrant const& grant : rows) {
    while (first < served_.size() && served_[first].grant.to < grant.from) ++first;
    bool const same = first < served_.size() && served_[first].grant.from == grant.from &&
                      served_[first].grant.to == grant.to && served_[first].grant.fence == grant.fence;
    if (same) {
      served.push_back(ServedRow{grant, std::move(served_[first++].load)});
      continue;
    }
    KeyLoad load(grant.from, grant.to, now);
    for (std::size_t i = first; i < served_.size() && served_[i].grant.from <= grant.to; ++i)
      load.inherit(served_[i].load);
    served.push_back(ServedRow{grant, std::move(load)});
  }
  served_ = std::move(served);
}

void KeyGranter::on_table(KeyTable const& table) {
  if (table.revision <= table_revision_) return;
  table_revision_ = table.revision;
  assigned_.clear();
  if (KeyService const* const service = table.service(service_)) {
    for (KeyRow const& row : service->rows) {
      if (row.holder == no_holder || table.holders[row.holder].node != node_) continue;
      assigned_.push_back(AssignedRow{row, table.holders[row.holder].instance});
    }
  }
  add_instances_replaced_in_table();
  bind_releases_to_fences();
  update_moving_rows();
  start_pending_leases();
}

// The table may list a former instance, or a later one if the current one was known by a late heartbeat only: nothing
// here tells which.
void KeyGranter::add_instances_replaced_in_table() {
  if (instance_.empty()) return;
  for (AssignedRow const& assigned : assigned_)
    if (assigned.instance != instance_) add_replaced(ReplacedInstance{assigned.instance, previous_process_grants_end_});
}

void KeyGranter::update_moving_rows() {
  std::vector<MovingRow> moving_away;
  for (AssignedRow const& assigned : assigned_) {
    if (assigned.instance != instance_ || assigned.row.moving == 0) continue;
    MovingRow one;
    for (MovingRow const& known : moving_away_)
      if (known.row.from == assigned.row.from && known.row.to == assigned.row.to &&
          known.row.moving == assigned.row.moving)
        one = known;
    one.row = assigned.row;
    moving_away.push_back(std::move(one));
  }
  moving_away_ = std::move(moving_away);
}

// An unreachable instance may still hold what it was granted, but is granted nothing more.
void KeyGranter::release_expired_moving_rows(Instant const now) {
  if (!unreachable_ || now < granted_until_) return;
  for (MovingRow& moving_away : moving_away_) moving_away.released = true;
}

void KeyGranter::on_confirmed(Revision const revision, Instant const sent) {
  Instant const until = sent + settings_.term;
  if (revision <= table_revision_) return extend_lease(until);
  if (pending_leases_.size() >= pending_leases_limit) pending_leases_.erase(pending_leases_.begin());
  pending_leases_.push_back(PendingLease{revision, until});
}

void KeyGranter::extend_lease(Instant const until) {
  if (!lease_until_ || *lease_until_ < until) lease_until_ = until;
}

void KeyGranter::start_pending_leases() {
  std::erase_if(pending_leases_, [this](PendingLease const& pending) {
    if (pending.revision > table_revision_) return false;
    extend_lease(pending.until);
    return true;
  });
}

void KeyGranter::on_instance_unreachable(std::string const& instance) {
  if (instance != instance_ || unreachable_) return;
  unreachable_ = true;
  served_.clear();
  urgent_report_ = true;
}

void KeyGranter::on_instance_ended(std::string const& instance, std::string const& reason) {
  end_instance(instance, reason);
}

void KeyGranter::on_instance_signed_off(std::string const& instance, Instant const now) {
  bool const current = instance == instance_;
  bool const may_hold_on = now < held_until(instance) && !(current && holder_state_ == KeyHolderState::draining);
  if (has_signed_off(instance)) return;
  if (!may_hold_on) return end_instance(instance, "it signed off");
  if (!current) {
    add_signed_off_other(SignedOffInstance{instance, held_until(instance)});
    return;
  }
  signed_off_ = true;
  holder_state_ = KeyHolderState::draining;  // so that the coordinator chooses other holders for its rows meanwhile
  served_.clear();
  urgent_report_ = true;
}

// Only a sign-off makes an expired hold an end: another instance may hold keys again.
void KeyGranter::end_expired_holds(Instant const now) {
  static constexpr char const* reason = "its hold has expired since it signed off";
  if (signed_off_ && now >= granted_until_) end_instance(std::string(instance_), reason);
  std::vector<SignedOffInstance> const others = signed_off_others_;
  for (SignedOffInstance const& other : others)
    if (now >= other.held_until) end_instance(other.instance, reason);
  std::erase_if(replaced_, [&](ReplacedInstance const& replaced) {
    return now >= replaced.held_until && !is_in_table(replaced.instance);
  });
}

bool KeyGranter::is_in_table(std::string const& instance) const {
  return std::any_of(assigned_.begin(), assigned_.end(),
                     [&](AssignedRow const& assigned) { return assigned.instance == instance; });
}

KeyGranter::ServedRow const* KeyGranter::served_row(std::uint16_t const key) const {
  std::vector<ServedRow>::const_iterator const after = std::upper_bound(
      served_.begin(), served_.end(), key, [](std::uint16_t k, ServedRow const& s) { return k < s.grant.from; });
  if (after == served_.begin()) return nullptr;
  ServedRow const& row = *(after - 1);
  return key > row.grant.to ? nullptr : &row;
}

std::optional<std::uint32_t> KeyGranter::fence_to_run(std::uint16_t const key, Instant const now,
                                                      Duration const expected) const {
  if (now + expected >= hold_end_) return std::nullopt;
  ServedRow const* const row = served_row(key);
  return row == nullptr ? std::nullopt : std::optional<std::uint32_t>(row->grant.fence);
}

bool KeyGranter::is_assigned(std::uint16_t const key) const {
  return !instance_.empty() && std::any_of(assigned_.begin(), assigned_.end(), [&](AssignedRow const& assigned) {
    bool const stays = assigned.instance == instance_ && assigned.row.moving == 0 && assigned.row.revoked == 0;
    return stays && assigned.row.from <= key && key <= assigned.row.to;
  });
}

void KeyGranter::count(std::uint16_t const key) {
  ServedRow const* const row = served_row(key);
  if (row != nullptr) served_[static_cast<std::size_t>(row - served_.data())].load.count(key);
}

void KeyGranter::measure(Instant const now) {
  for (ServedRow& row : served_) row.load.measure(now);
}

// The cuts of the hottest rows, as far as the report's limit allows.
std::vector<KeyRowCuts> KeyGranter::cuts_of_hot_rows(float const capacity) const {
  std::vector<ServedRow const*> rows;
  float demand = 0;
  for (ServedRow const& row : served_) demand += std::max(0.0F, row.load.rate());
  float const hot = capacity > 0 ? hot_row_share * capacity : hot_row_share * demand;
  float hot_demand = 0;
  for (ServedRow const& row : served_) {
    if (row.grant.from == row.grant.to || row.load.rate() <= 0 || row.load.rate() < hot) continue;
    rows.push_back(&row);
    hot_demand += row.load.rate();
  }
  std::sort(rows.begin(), rows.end(),
            [](ServedRow const* a, ServedRow const* b) { return a->load.rate() > b->load.rate(); });
  float const part = std::max(hot / parts_of_coolest_hot_row, hot_demand / reported_parts);
  std::size_t cuts_left = cuts_limit;
  std::vector<KeyRowCuts> reported;
  for (ServedRow const* const row : rows) {
    KeyRowCuts one{row->grant.from, row->load.cuts(part, cuts_left)};
    cuts_left -= one.cuts.size();
    if (!one.cuts.empty()) reported.push_back(std::move(one));
  }
  return reported;
}

KeyReport KeyGranter::report(Instant const now, float const busy, float const capacity) {
  measure(now);
  end_expired_holds(now);
  release_expired_moving_rows(now);
  if (now - last_report_ > suspension_gap) running_since_ = now;
  last_report_ = now;
  urgent_report_ = false;
  KeyReport report;
  report.service = service_;
  report.instance = instance_;
  report.node = node_;
  report.address = address_;
  report.zone = zone_;
  report.state = unreachable_ ? KeyHolderState::draining : holder_state_;
  report.leased = leased(now);
  report.slots = slots_;
  report.busy = busy;
  report.capacity = capacity;
  report.table = table_revision_;
  for (ServedRow const& row : served_)
    report.held.push_back(
        KeyRowLoad{row.grant.from, row.grant.to, row.grant.fence, row.load.rate(), row.load.seconds()});
  report.hot = cuts_of_hot_rows(capacity);
  for (MovingRow const& moving_away : moving_away_)
    if (moving_away.released)
      report.released.push_back(KeyRelease{moving_away.row.from, moving_away.row.to, moving_away.row.fence,
                                           moving_away.row.moving, moving_away.handover});
  report.ended = ended_;
  return report;
}

}  // namespace banktide
