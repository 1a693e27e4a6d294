// Grants under a lease, and the proof that a row was let go: the backend names
// it as released, or a later beat than the first whose answer left the row out
// no longer shows it.
#include "coordination/key_holder.hpp"

#include <algorithm>

namespace banktide {

namespace {

constexpr std::size_t remembered_releases = 256;
constexpr std::size_t remembered_ends = 8;
constexpr std::size_t pending_leases_limit = 8;
constexpr Duration wake_gap = 1s;            // no report for longer than this: the process was frozen
constexpr float hot_row_share = 0.15F;       // of the capacity, or else of the load: such a row's cuts are told
constexpr float parts_of_least_hot_row = 4;  // into which such a row is cut
constexpr float parts_told = 64;             // of all hot rows together, about
constexpr std::size_t cuts_limit = 96;       // ... and with those beside very hot keys

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
      granted_before_until_(started +
                            scaled(std::min(settings_.term, settings_.hold_limit), 1 + settings_.clock_drift)) {}

void KeyGranter::begin_life(std::string const& instance) {
  if (!instance_.empty())
    end_later(PendingEnd{instance_, granted_until_, arrived_ + settings_.revoke_after,
                         "another instance beats beside the same node"});
  forget_life();
  instance_ = instance;
  granted_until_ = granted_before_until_;
  // One that was taken for gone by mistake.
  for (PendingEnd const& pending : pending_ends_)
    if (pending.instance == instance) granted_until_ = std::max(granted_until_, pending.held_until);
  std::erase_if(pending_ends_, [&](PendingEnd const& pending) { return pending.instance == instance; });
  news_ = true;
  find_ended_in_table();
  refresh_leaving();
}

void KeyGranter::forget_life() {
  instance_.clear();
  sequence_ = 0;
  beats_ = 0;
  signed_off_ = false;
  granted_until_ = Instant{};
  holder_state_ = KeyHolderState::serving;
  held_.clear();
  released_.clear();
  serving_.clear();
  leaving_.clear();
}

void KeyGranter::end_life(std::string const& instance, std::string const& reason) {
  if (!ended_ids_.insert(instance).second) return;
  std::erase_if(pending_ends_, [&](PendingEnd const& pending) { return pending.instance == instance; });
  ended_.push_back(KeyEnd{instance, reason});
  if (ended_.size() > remembered_ends) ended_.erase(ended_.begin());
  news_ = true;
  if (instance == instance_) forget_life();
}

bool KeyGranter::is_pending(std::string const& instance) const {
  return std::any_of(pending_ends_.begin(), pending_ends_.end(),
                     [&](PendingEnd const& pending) { return pending.instance == instance; });
}

void KeyGranter::end_later(PendingEnd end) {
  if (is_pending(end.instance) || ended_ids_.contains(end.instance)) return;
  pending_ends_.push_back(std::move(end));
  news_ = true;
}

bool KeyGranter::is_over(PendingEnd const& end, Instant const now) const {
  bool const replaced = beats_ > 1 && now >= end.silent_until;
  return replaced || now >= end.held_until;
}

void KeyGranter::take_heartbeat(Instant const now, KeyHeartbeat const& beat) {
  if (ended_ids_.contains(beat.instance)) return;
  if (signed_off_ && beat.instance == instance_) return;
  if (beat.instance != instance_) {
    if (!instance_.empty() && !awake(now)) return;
    begin_life(beat.instance);
  }
  if (beat.sequence <= sequence_) return;
  sequence_ = beat.sequence;
  ++beats_;
  arrived_ = now;
  slots_ = beat.slots;
  news_ = news_ || beat.state != holder_state_;
  holder_state_ = beat.state;
  held_ = beat.held;
  take_releases(beat);
  judge_leaving(beat);
}

// Whether this process has been running for a while: right after a freeze, beats
// of a former life may still be read after those of a later one.
bool KeyGranter::awake(Instant const now) const {
  return now - last_report_ < wake_gap && now - awake_since_ > wake_gap / 2;
}

void KeyGranter::take_releases(KeyHeartbeat const& beat) {
  for (ReleasedRange const& range : beat.released) {
    std::erase_if(released_, [&](KnownRelease const& known) { return overlap(known, range); });
    released_.push_back(KnownRelease{range.from, range.to, 0, range.handover});
  }
  // What it holds again is no longer released.
  std::erase_if(released_, [&](KnownRelease const& known) {
    return std::any_of(held_.begin(), held_.end(), [&](HeldRange const& h) { return overlap(h, known); });
  });
  if (released_.size() > remembered_releases) released_.erase(released_.begin(), released_.end() - remembered_releases);
  match_releases();
}

// A token is worth something only for the fence under which it was given.
void KeyGranter::match_releases() {
  if (table_revision_ == 0) return;
  std::erase_if(released_, [&](KnownRelease& known) {
    for (Mine const& mine : mine_) {
      if (mine.instance != instance_ || !overlap(known, mine.row)) continue;
      if (known.fence == 0) known.fence = mine.row.fence;
      if (known.fence == mine.row.fence) return false;
    }
    return true;
  });
}

std::string KeyGranter::own_token(KeyRow const& row) const {
  for (KnownRelease const& known : released_)
    if (known.fence == row.fence && covers(known, row)) return known.handover;
  return "";
}

// A backend calls one beat after the other, so a beat shows the effect of every
// answer before it: none of them can give the row back later.
void KeyGranter::judge_leaving(KeyHeartbeat const& beat) {
  for (Leaving& leaving : leaving_) {
    if (leaving.released) continue;
    auto const on_row = [&](auto const& range) { return overlap(range, leaving.row); };
    if (std::any_of(beat.held.begin(), beat.held.end(), on_row)) continue;
    bool const named = std::any_of(beat.released.begin(), beat.released.end(),
                                   [&](ReleasedRange const& range) { return covers(range, leaving.row); });
    bool const later = leaving.left_out_at != 0 && beat.sequence > leaving.left_out_at;
    if (!named && !later) continue;
    leaving.released = true;
    leaving.handover = own_token(leaving.row);
    news_ = true;
  }
}

bool KeyGranter::leased(Instant const now) const { return lease_until_ && now < *lease_until_; }

// The rows of this instance, without those on the move. Beyond the bound,
// neighbours under one fence go as one row.
std::vector<KeyGrant> KeyGranter::rows_to_grant() const {
  std::vector<KeyGrant> rows;
  for (Mine const& mine : mine_) {
    if (mine.instance != instance_ || mine.row.revoked != 0 || mine.row.moving != 0) continue;
    std::string token = own_token(mine.row);
    if (token.empty()) token = mine.row.handover;
    rows.push_back(KeyGrant{mine.row.from, mine.row.to, mine.row.fence, std::move(token)});
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

KeyHeartbeatReply KeyGranter::answer(Instant const now, std::string const& instance, std::uint64_t const sequence) {
  KeyHeartbeatReply answer;
  if (instance.empty() || instance != instance_ || sequence != sequence_ || signed_off_) return answer;
  for (Leaving& leaving : leaving_)
    if (leaving.left_out_at == 0) leaving.left_out_at = sequence;
  if (!leased(now)) return answer;
  // Counted from the beat's arrival, which is no sooner than its sending.
  Duration const within_lease =
      scaled(*lease_until_ - settings_.lease_margin - arrived_, 1 / (1 + settings_.clock_drift));
  Duration const hold = std::min(within_lease, settings_.hold_limit);
  if (hold <= settings_.hold_margin) return answer;
  answer.renews = true;
  answer.hold = hold;
  answer.rows = rows_to_grant();
  serve(answer.rows, now);
  hold_end_ = arrived_ + hold - settings_.hold_margin;
  granted_until_ = std::max(granted_until_, arrived_ + scaled(hold, 1 + settings_.clock_drift));
  return answer;
}

KeyHeartbeatReply KeyGranter::handle_heartbeat(Instant const now, KeyHeartbeat const& beat) {
  take_heartbeat(now, beat);
  return answer(now, beat.instance, beat.sequence);
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

// The counts of rows that stay are kept, also if they are cut or joined.
void KeyGranter::serve(std::vector<KeyGrant> const& rows, Instant const now) {
  std::vector<Serving> serving;
  serving.reserve(rows.size());
  std::size_t first = 0;
  for (KeyGrant const& grant : rows) {
    while (first < serving_.size() && serving_[first].grant.to < grant.from) ++first;
    bool const same = first < serving_.size() && serving_[first].grant.from == grant.from &&
                      serving_[first].grant.to == grant.to && serving_[first].grant.fence == grant.fence;
    if (same) {
      serving.push_back(Serving{grant, std::move(serving_[first++].load)});
      continue;
    }
    KeyLoad load(grant.from, grant.to, now);
    for (std::size_t i = first; i < serving_.size() && serving_[i].grant.from <= grant.to; ++i)
      load.inherit(serving_[i].load);
    serving.push_back(Serving{grant, std::move(load)});
  }
  serving_ = std::move(serving);
}

void KeyGranter::on_table(KeyTable const& table) {
  if (table.revision <= table_revision_) return;
  table_revision_ = table.revision;
  mine_.clear();
  if (KeyService const* const service = table.service(service_)) {
    for (KeyRow const& row : service->rows) {
      if (row.holder == no_holder || table.holders[row.holder].node != node_) continue;
      mine_.push_back(Mine{row, table.holders[row.holder].instance});
    }
  }
  find_ended_in_table();
  match_releases();
  refresh_leaving();
  start_pending_leases();
}

// One backend runs beside a node: an instance that the table still names here, while another one
// beats, belongs to a life before it. One that this process knew has its hold awaited.
void KeyGranter::find_ended_in_table() {
  if (instance_.empty()) return;
  for (Mine const& mine : mine_)
    if (mine.instance != instance_ && !is_pending(mine.instance))
      end_life(mine.instance, "another instance runs beside its node");
}

void KeyGranter::refresh_leaving() {
  std::vector<Leaving> leaving;
  for (Mine const& mine : mine_) {
    if (mine.instance != instance_ || mine.row.moving == 0) continue;
    Leaving one;
    for (Leaving const& known : leaving_)
      if (known.row.from == mine.row.from && known.row.to == mine.row.to && known.row.moving == mine.row.moving)
        one = known;
    one.row = mine.row;
    leaving.push_back(std::move(one));
  }
  leaving_ = std::move(leaving);
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

void KeyGranter::on_instance_ended(std::string const& instance, std::string const& reason) {
  end_life(instance, reason);
}

void KeyGranter::on_instance_signed_off(std::string const& instance, Instant const now) {
  bool const may_hold_on = instance == instance_ && holder_state_ == KeyHolderState::serving && now < granted_until_;
  if (!may_hold_on) return end_life(instance, "it signed off");
  signed_off_ = true;
  holder_state_ = KeyHolderState::draining;  // so that others are chosen for its rows meanwhile
  serving_.clear();
  news_ = true;
}

void KeyGranter::end_who_holds_no_more(Instant const now) {
  if (signed_off_ && now >= granted_until_) {
    std::string const instance = instance_;
    end_life(instance, "its hold has run out since it signed off");
  }
  std::vector<PendingEnd> const pending = pending_ends_;
  for (PendingEnd const& end : pending)
    if (is_over(end, now)) end_life(end.instance, end.reason);
}

KeyGranter::Serving const* KeyGranter::serving_row(std::uint16_t const key) const {
  std::vector<Serving>::const_iterator const after = std::upper_bound(
      serving_.begin(), serving_.end(), key, [](std::uint16_t k, Serving const& s) { return k < s.grant.from; });
  if (after == serving_.begin()) return nullptr;
  Serving const& row = *(after - 1);
  return key > row.grant.to ? nullptr : &row;
}

std::optional<std::uint32_t> KeyGranter::may_run(std::uint16_t const key, Instant const now,
                                                 Duration const expected) const {
  if (now + expected >= hold_end_) return std::nullopt;
  Serving const* const row = serving_row(key);
  return row == nullptr ? std::nullopt : std::optional<std::uint32_t>(row->grant.fence);
}

bool KeyGranter::is_assigned(std::uint16_t const key) const {
  return !instance_.empty() && std::any_of(mine_.begin(), mine_.end(), [&](Mine const& mine) {
    bool const stays = mine.instance == instance_ && mine.row.moving == 0 && mine.row.revoked == 0;
    return stays && mine.row.from <= key && key <= mine.row.to;
  });
}

void KeyGranter::count(std::uint16_t const key) {
  Serving const* const row = serving_row(key);
  if (row != nullptr) serving_[static_cast<std::size_t>(row - serving_.data())].load.count(key);
}

void KeyGranter::measure(Instant const now) {
  for (Serving& row : serving_) row.load.measure(now);
}

// The hottest rows' cuts, as far as a report has room for them.
std::vector<KeyRowCuts> KeyGranter::cuts_of_hot_rows(float const capacity) const {
  std::vector<Serving const*> rows;
  float demand = 0;
  for (Serving const& row : serving_) demand += std::max(0.0F, row.load.rate());
  float const hot = capacity > 0 ? hot_row_share * capacity : hot_row_share * demand;
  float hot_demand = 0;
  for (Serving const& row : serving_) {
    if (row.grant.from == row.grant.to || row.load.rate() <= 0 || row.load.rate() < hot) continue;
    rows.push_back(&row);
    hot_demand += row.load.rate();
  }
  std::sort(rows.begin(), rows.end(),
            [](Serving const* a, Serving const* b) { return a->load.rate() > b->load.rate(); });
  float const part = std::max(hot / parts_of_least_hot_row, hot_demand / parts_told);
  std::size_t room = cuts_limit;
  std::vector<KeyRowCuts> told;
  for (Serving const* const row : rows) {
    KeyRowCuts one{row->grant.from, row->load.cuts(part, room)};
    room -= one.cuts.size();
    if (!one.cuts.empty()) told.push_back(std::move(one));
  }
  return told;
}

KeyReport KeyGranter::report(Instant const now, float const busy, float const capacity) {
  measure(now);
  end_who_holds_no_more(now);
  if (now - last_report_ > wake_gap) awake_since_ = now;
  last_report_ = now;
  news_ = false;
  KeyReport report;
  report.service = service_;
  report.instance = instance_;
  report.node = node_;
  report.address = address_;
  report.zone = zone_;
  report.state = holder_state_;
  report.leased = leased(now);
  report.slots = slots_;
  report.busy = busy;
  report.capacity = capacity;
  report.table = table_revision_;
  for (Serving const& row : serving_)
    report.held.push_back(
        KeyRowLoad{row.grant.from, row.grant.to, row.grant.fence, row.load.rate(), row.load.seconds()});
  report.hot = cuts_of_hot_rows(capacity);
  for (Leaving const& leaving : leaving_)
    if (leaving.released)
      report.released.push_back(
          KeyRelease{leaving.row.from, leaving.row.to, leaving.row.fence, leaving.row.moving, leaving.handover});
  report.ended = ended_;
  return report;
}

}  // namespace banktide
