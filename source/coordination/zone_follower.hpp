// Keeps a node's view of its zone and the register values up to date. It exchanges registry lists, joins the zone's
// registry, applies the updates that arrive through the relay tree and forwards them, sends heartbeats to its
// watchers on the ring, and requests what it has missed. While its registry is down it asks other registries, for
// register values only. It doesn't interpret the values.
#pragma once

#include "coordination/feed_timing.hpp"
#include "coordination/held_values.hpp"
#include "coordination/registry_directory.hpp"
#include "coordination/ring_neighbours.hpp"
#include "protocol/digest.hpp"
#include "state/zone_view.hpp"

namespace banktide {

struct FollowerSettings {
  std::string id;
  std::string zone;
  Address address;
  bool gateway = false;
  std::vector<Address> seeds;
  FeedTiming timing{};
};

/// Callbacks to the follower's owner. Each may be left empty.
struct FollowerEvents {
  /// Returns the backends attached to this node; called before each join.
  std::function<std::vector<BackendRecord>()> backends;
  /// A newer value of a register was accepted; its digest has been verified.
  std::function<void(Register, RegisterValue const&)> value;
  /// A quorum confirmed that the held routing value is the newest of those chosen before this instant.
  std::function<void(Instant)> routing_confirmed;
  /// The view of the zone has changed.
  std::function<void()> view_changed;
  /// The directory, `registry_count`, `has_confirmed_values` or `has_view` may have changed.
  std::function<void()> status_changed;
};

template <Environment Env>
class ZoneFollower {
 public:
  ZoneFollower(Env& env, FollowerSettings settings, FollowerEvents events = {})
      : env_(env),
        settings_(std::move(settings)),
        timing_(settings_.timing),
        events_(std::move(events)),
        directory_(settings_.seeds),
        neighbours_(settings_.id),
        join_alarm_(env),
        refresh_alarm_(env),
        started_(env.now()),
        last_contact_(env.now()) {}

  /// Replaces the callbacks given to the constructor; must be called before `start`.
  void set_events(FollowerEvents events) { events_ = std::move(events); }

  void start(Dispatcher& dispatcher) {
    dispatcher.on<RegistryExchange>([this](RegistryExchange q) { return on_registry_exchange(std::move(q)); });
    dispatcher.on<ZoneUpdate>([this](ZoneUpdate q) { return on_update(std::move(q)); });
    dispatcher.on<Follow>([this](Follow q) { return follow(q); });
    dispatcher.on<Heartbeat>([this](Heartbeat q) { return on_heartbeat(std::move(q)); });
    spawn(env_, exchange_loop());
    spawn(env_, join_loop());
    spawn(env_, refresh_loop());
    spawn(env_, heartbeat_loop());
  }

  ZoneView const& view() const { return view_; }
  std::vector<RegistryEntry> const& directory() const { return directory_.entries(); }
  /// Registries heard from recently.
  std::vector<Address> live_registries() const { return directory_.live(env_.now()); }
  /// All registries heard of lately, including those that don't answer at the moment.
  std::vector<Address> recent_registries() const { return directory_.live(env_.now(), RegistryDirectory::kept_for); }
  Address own_registry() const { return directory_.registry_of(settings_.zone, env_.now()); }
  /// The configured number of registries, as the registries report it.
  std::uint32_t registry_count() const { return registry_count_; }
  RegisterValue const& held(Register const r) const { return values_.of(r); }
  /// Whether the values have been confirmed by a majority at least once.
  bool has_confirmed_values() const { return has_confirmed_values_; }
  /// Whether a view of the zone has been received.
  bool has_view() const { return has_view_; }
  Position position() const { return position_; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// Time since the last message from any registry or member.
  Duration since_contact() const { return env_.now() - last_contact_; }

  /// Accepts a chosen value that the owner obtained elsewhere.
  void accept(Register const r, RegisterValue const& held) { accept_values({{r, held}}); }
  /// Fetches a key table of at least this revision, which was chosen a moment ago. Asks the zone's own registry,
  /// repeatedly for a short time because it may not have learnt of the table yet, then another one. True if the table
  /// is held afterwards, even if it arrived in an update.
  Task<bool> fetch_key_table(Revision const wanted) {
    Instant const own_until = env_.now() + own_registry_keys_timeout;
    while (env_.now() < own_until && keys().revision < wanted && !own_registry().empty()) {
      co_await request_key_table_from(own_registry(), own_until);
      if (keys().revision < wanted) co_await sleep_for(env_, keys_retry_pause);
    }
    std::vector<Address> const others = other_live_registries(own_registry());
    if (keys().revision < wanted && !others.empty())
      co_await request_key_table_from(others[env_.chance()() % others.size()],
                                      env_.now() + other_registry_keys_timeout);
    co_return keys().revision >= wanted;
  }

  /// Requests a reading that confirms the held routing value or returns a newer one: from the zone's own registry,
  /// and from others if that one can't confirm. False if none could.
  Task<bool> confirm_routing() {
    Address const own = own_registry();
    co_return co_await catch_up_values(own);
  }

  /// Joins again soon, to report changed backends or a changed state to the registry.
  void rejoin() {
    join_due_ = true;
    join_alarm_.wake();
  }
  /// Marks the node as leaving and reports it.
  void leave() {
    leaving_ = true;
    rejoin();
  }
  /// Whether the registry has acknowledged that this node is leaving.
  bool leave_acknowledged() const { return leave_acknowledged_; }

 private:
  // ---- contact and callbacks

  void record_contact(Address const& registry) {
    last_contact_ = env_.now();
    directory_.record_contact(registry, env_.now());
  }
  void status_changed() {
    if (events_.status_changed) events_.status_changed();
  }
  void view_changed() {
    if (events_.view_changed) events_.view_changed();
  }

  // ---- the registries

  Task<RegistryExchangeReply> on_registry_exchange(RegistryExchange q) {
    directory_.learn_addresses(q.registries, env_.now());
    status_changed();
    RegistryExchangeReply reply;
    reply.registries = directory_.entries_with_ages(env_.now());
    reply.registry_count = registry_count_;
    co_return reply;
  }

  Task<void> exchange_with(Address const peer) {
    Instant const asked = env_.now();
    RegistryExchange const request{directory_.entries_with_ages(asked)};
    Result<RegistryExchangeReply> const r = co_await ask(env_, peer, request, asked + exchange_timeout);
    if (!r) co_return;
    record_contact(peer);
    directory_.learn_answer(r->registries, asked, env_.now());
    registry_count_ = std::max(registry_count_, r->registry_count);
    status_changed();
  }

  // The seeds and one other known registry, in case all seeds are down.
  std::vector<Address> exchange_peers() {
    std::vector<Address> peers = settings_.seeds;
    std::vector<RegistryEntry> const& known = directory_.entries();
    if (known.empty()) return peers;
    Address const& other = known[env_.chance()() % known.size()].address;
    if (std::find(peers.begin(), peers.end(), other) == peers.end()) peers.push_back(other);
    return peers;
  }

  Task<void> exchange_loop() {
    while (true) {
      std::vector<Address> const peers = exchange_peers();
      for (Address const& peer : peers) spawn(env_, exchange_with(peer));
      directory_.forget_silent(env_.now());
      bool const starting = env_.now() - started_ < frequent_exchange_period;
      bool const settled = !starting && !own_registry().empty() && directory_.entries().size() >= 2;
      co_await sleep_for(env_, settled ? timing_.node_exchange_every : Duration(200ms));
    }
  }

  Join join_question() {
    Join q;
    q.self = Member{settings_.id,      settings_.zone,
                    settings_.address, settings_.gateway ? Role::gateway : Role::node,
                    incarnation_,      leaving_ ? Liveness::leaving : Liveness::alive};
    if (events_.backends) q.backends = events_.backends();
    return q;
  }

  Task<void> join_loop() {
    Instant last{};
    while (true) {
      bool const due = join_due_ || env_.now() - last >= timing_.join_every;
      if (!due) co_await join_alarm_.wait(std::min(env_.now() + 250ms, last + timing_.join_every));
      if (!join_due_ && env_.now() - last < timing_.join_every) continue;
      Address const registry = own_registry();
      if (registry.empty()) {
        co_await sleep_for(env_, 100ms);
        continue;
      }
      join_due_ = false;
      last = env_.now();
      Join const q = join_question();
      Result<JoinReply> const r = co_await ask(env_, registry, q, env_.now() + 800ms);
      if (r) handle_join_reply(q, *r, registry);
      bool const refutes = r && r->incarnation > q.self.incarnation;
      bool const not_yet = r && !r->taken && !refutes;
      if (not_yet) join_due_ = true;
      co_await sleep_for(env_, r && !not_yet ? Duration(10ms) : Duration(150ms));
    }
  }

  void handle_join_reply(Join const& q, JoinReply const& r, Address const& registry) {
    record_contact(registry);
    if (r.taken && q.self.liveness == Liveness::leaving) leave_acknowledged_ = true;
    if (!r.taken && r.incarnation > incarnation_) {
      incarnation_ = r.incarnation;
      join_due_ = true;
    }
    if (r.taken || r.registry.empty() || directory_.alive(r.registry, env_.now())) return;
    directory_.record_contact(RegistryEntry{r.registry_zone, r.registry}, env_.now());
    status_changed();
    if (own_registry() != registry) join_due_ = true;
  }

  // ---- register values

  void accept_values(std::vector<std::pair<Register, RegisterValue>> newer) {
    if (broken_on_purpose("old_catalogue") && held(Register::catalogue).revision > 0)
      std::erase_if(newer, [](auto const& value) { return value.first == Register::catalogue; });
    notify_accepted(values_.accept(newer));
  }
  void accept_deltas(std::vector<KeyDelta> const& of_keys, std::vector<TextDelta> const& of_routing) {
    notify_accepted(values_.accept_key_deltas(of_keys));
    notify_accepted(values_.accept_routing_deltas(of_routing));
  }
  void notify_accepted(std::vector<Register> const& taken) {
    if (!events_.value) return;
    for (Register const r : taken) events_.value(r, held(r));
  }
  RegisterValue const& keys() const { return held(Register::keys); }

  // ---- updates of the zone

  // Forwards the update before applying it: parsing a value is slow on a small machine, and the delay would add up
  // over the levels of the tree.
  Task<NoReply> on_update(ZoneUpdate q) {
    last_contact_ = env_.now();
    bool const current = is_current(q);
    if (current) forward_down(q);
    accept_values(std::move(q.values));
    accept_deltas(q.key_deltas, q.routing_deltas);
    if (!current) co_return NoReply{};
    apply_changes(q.at, q.changes);
    if (!q.has_quorum_reading || !(q.at == position_) || values_.is_behind(q.revisions)) mark_behind();
    co_return NoReply{};
  }

  // Whether the update comes from the registry in charge of the zone and is newer than the last one. A registry that
  // was in charge before may not know yet that it no longer is.
  bool is_current(ZoneUpdate const& q) {
    Address const own = own_registry();
    if (!own.empty() && q.root != own) return false;
    directory_.record_contact(q.root, env_.now() - max_update_delay);
    if (q.at.epoch == pulse_epoch_ && q.sequence <= pulse_) return false;
    pulse_epoch_ = q.at.epoch;
    pulse_ = q.sequence;
    if (q.has_quorum_reading) confirmed_at_ = env_.now();
    return true;
  }

  void forward_down(ZoneUpdate const& q) {
    neighbours_.follow(view_);
    std::vector<std::string> const below = neighbours_.relays();
    if (below.empty()) return;
    SharedBytes const raw = pack_shared(q);
    for (std::string const& id : below) env_.tell_raw(view_.members.at(id).address, ZoneUpdate::kind, raw);
  }

  void apply_changes(Position const at, std::vector<Change> const& changes) {
    if (at.epoch != position_.epoch) return;
    bool changed = false;
    for (Change const& c : changes) {
      if (c.seq != position_.seq + 1) continue;
      position_.seq = c.seq;
      view_.apply(c);
      changed = true;
    }
    check_own_entry();
    if (changed) view_changed();
  }

  // Joins again if the zone's view of this node is wrong.
  void check_own_entry() {
    auto const me = view_.members.find(settings_.id);
    if (me == view_.members.end() || me->second.liveness != (leaving_ ? Liveness::leaving : Liveness::alive)) rejoin();
  }

  void mark_behind() {
    is_behind_ = true;
    refresh_alarm_.wake();
  }

  enum class FollowOutcome : std::uint8_t { no_answer, not_kept_there, followed };

  Task<FollowOutcome> catch_up_view(Address const from) {
    if (from.empty()) co_return FollowOutcome::no_answer;
    Follow const request{position_, settings_.zone};
    Result<FollowReply> const r = co_await ask(env_, from, request, env_.now() + 250ms);
    if (!r) co_return FollowOutcome::no_answer;
    record_contact(from);
    if (!r->known) co_return FollowOutcome::not_kept_there;
    if (r->snapshot) {
      view_.replace(*r->snapshot);
      position_ = r->snapshot->at;
      last_heard_.clear();  // members that didn't know this node sent it no heartbeats before
      check_own_entry();
      view_changed();
    } else {
      apply_changes(r->at, r->changes);
    }
    if (!has_view_) {
      has_view_ = true;
      status_changed();
    }
    co_return FollowOutcome::followed;
  }

  Duration values_timeout() const { return has_confirmed_values_ ? Duration(400ms) : Duration(1000ms); }

  // Fetches the newest values that a quorum confirms: from `first`, if it answers and can confirm its own, else from
  // other registries. False if none could.
  Task<bool> catch_up_values(Address const first) {
    if (!first.empty() && co_await ask_for_values(first, env_.now() + values_timeout())) co_return true;
    if (broken_on_purpose("own_registry_only")) co_return false;
    std::vector<Address> others = other_live_registries(first);
    std::shuffle(others.begin(), others.end(), env_.chance());
    std::size_t const few = std::min(first_registries_asked, others.size());
    std::vector<Address> const rest(others.begin() + static_cast<std::ptrdiff_t>(few), others.end());
    others.resize(few);
    if (co_await catch_up_from_one_of(others)) co_return true;
    co_return co_await catch_up_from_one_of(rest);
  }

  // Asks each registry for its revisions only, and fetches newer values from the first one that a quorum confirms.
  // Whole values from many registries would fill the links.
  Task<bool> catch_up_from_one_of(std::vector<Address> const from) {
    if (from.empty()) co_return false;
    RegisterValuesRequest request = values_.request();
    request.fresh = !has_confirmed_values_;
    request.revisions_only = true;
    Instant const asked = env_.now();
    auto const confirms = [](auto const& reply) { return reply.second && reply.second->known; };
    auto const one_confirms = [confirms](auto const& replies) { return confirms(replies.back()); };
    auto const replies =
        co_await ask_all<RegisterValuesRequest>(env_, from, request, asked + values_timeout(), one_confirms);
    for (auto const& [i, r] : replies)
      if (r) record_contact(from[i]);
    auto const confirming = std::find_if(replies.begin(), replies.end(), confirms);
    if (confirming == replies.end()) co_return false;
    RegisterValuesReply const& reply = *confirming->second;
    if (!values_.is_behind(reply.revisions)) {
      accept_confirmed_reply(reply, asked);
      co_return true;
    }
    Address const newest = from[confirming->first];
    co_return co_await ask_for_values(newest, env_.now() + values_timeout());
  }

  // Accepts whatever newer values that registry has; returns whether it confirms them.
  Task<bool> ask_for_values(Address const from, Instant const deadline) {
    RegisterValuesRequest request = values_.request();
    request.fresh = !has_confirmed_values_;
    Instant const asked = env_.now();
    std::optional<RegisterValuesReply> const reply = co_await ask_registry(from, request, deadline);
    if (reply && reply->known) accept_confirmed_reply(*reply, asked);
    co_return reply && reply->known;
  }

  Task<void> request_key_table_from(Address const from, Instant const deadline) {
    RegisterValuesRequest const request = values_.request_for(Register::keys);
    co_await ask_registry(from, request, deadline);
  }

  // A registry's value is a chosen one even if the registry can't confirm that it is the newest.
  Task<std::optional<RegisterValuesReply>> ask_registry(Address const from, RegisterValuesRequest const request,
                                                        Instant const deadline) {
    Result<RegisterValuesReply> const r = co_await ask(env_, from, request, deadline);
    if (!r) co_return std::nullopt;
    record_contact(from);
    accept_values(r->newer);
    accept_deltas(r->key_deltas, r->routing_deltas);
    co_return *r;
  }

  // The reply was made after the request was sent, and its reading began at most `reading_age_ms` before that.
  void accept_confirmed_reply(RegisterValuesReply const& reply, Instant const asked) {
    confirmed_at_ = env_.now();
    bool const here = held(Register::routing).revision >= reply.revisions[static_cast<std::size_t>(Register::routing)];
    if (here && events_.routing_confirmed)
      events_.routing_confirmed(asked - std::chrono::milliseconds(reply.reading_age_ms));
    if (has_confirmed_values_) return;
    has_confirmed_values_ = true;
    status_changed();
  }

  // Registries of any zone heard from recently, or all known ones if there is none.
  std::vector<Address> other_live_registries(Address const& but) const {
    std::vector<Address> all = directory_.live(env_.now());
    if (all.empty())
      for (RegistryEntry const& e : directory_.entries()) all.push_back(e.address);
    std::erase(all, but);
    return all;
  }

  // A node that is behind, or has no confirmed pulse, asks its registry. While that one is down, or has no majority
  // to confirm its values, the node also asks another zone's registry for values. This is the only way in which zones
  // depend on each other's control planes.
  Task<void> refresh_loop() {
    while (true) {
      if (!is_behind_) co_await refresh_alarm_.wait(env_.now() + timing_.pulse_every);
      bool const unconfirmed = env_.now() - confirmed_at_ > timing_.pulse_timeout;
      if (!is_behind_ && !unconfirmed && has_confirmed_values_ && has_view_) continue;
      is_behind_ = false;
      Address const own = own_registry();
      FollowOutcome const view = co_await catch_up_view(own);
      Address const first = view == FollowOutcome::no_answer ? Address() : own;
      bool const values = co_await catch_up_values(first);
      bool const followed = view == FollowOutcome::followed;
      std::vector<Address> const others = other_live_registries(own);
      if (!followed && !has_view_ && !others.empty() && env_.now() - started_ > 3s)
        co_await fetch_foreign_view(others[env_.chance()() % others.size()]);
      if (values) ask_pause_ = shortest_ask_pause;
      co_await sleep_for(env_, followed && values ? Duration(20ms) : jittered(ask_pause_));
      if (!values) ask_pause_ = std::min(2 * ask_pause_, longest_ask_pause);
    }
  }

  // A node that starts while its registry is down knows no members of its own zone; it can still send calls to other
  // zones by the view of another zone's registry.
  Task<void> fetch_foreign_view(Address const from) {
    Follow const request{};
    Result<FollowReply> const r = co_await ask(env_, from, request, env_.now() + 400ms);
    if (!r || !r->known || !r->snapshot || has_view_) co_return;
    for (ZoneEntry const& c : r->snapshot->zones)
      if (c.zone != settings_.zone) view_.zones[c.zone] = c;
    has_view_ = true;
    view_changed();
    status_changed();
  }

  Task<FollowReply> follow(Follow) {
    FollowReply reply;
    reply.known = has_view_ && position_.epoch != 0;
    if (reply.known) reply.snapshot = view_.snapshot(position_);
    reply.at = position_;
    co_return reply;
  }

  // ---- heartbeats

  Task<NoReply> on_heartbeat(Heartbeat q) {
    last_contact_ = env_.now();
    last_heard_[q.id] = env_.now();
    if (is_ahead(q.at, q.revisions) && !recheck_pending_) {
      recheck_pending_ = true;
      spawn(env_, recheck_behind(q.at, q.revisions));
    }
    co_return NoReply{};
  }

  bool is_ahead(Position const at, Revisions const& revisions) const {
    return (at.epoch == position_.epoch && at.seq > position_.seq) || values_.is_behind(revisions);
  }

  // Waits first: the update that the sender already has may still be on its way here.
  Task<void> recheck_behind(Position const at, Revisions const revisions) {
    co_await sleep_for(env_, in_transit_allowance);
    recheck_pending_ = false;
    if (is_ahead(at, revisions)) mark_behind();
  }

  Task<void> heartbeat_loop() {
    Instant last = env_.now();
    while (true) {
      co_await sleep_for(env_, timing_.heartbeat_every);
      Instant const now = env_.now();
      bool const was_suspended =
          now - last > 4 * timing_.heartbeat_every;  // this process was suspended, the others were not silent
      last = now;
      neighbours_.follow(view_);
      send_heartbeats();
      check_watched(was_suspended);
    }
  }

  void send_heartbeats() {
    if (neighbours_.watchers().empty()) return;
    SharedBytes const raw = pack_shared(
        Heartbeat{settings_.id, settings_.address, incarnation_, position_, settings_.zone, values_.revisions()});
    for (std::string const& id : neighbours_.watchers())
      env_.tell_raw(view_.members.at(id).address, Heartbeat::kind, raw);
  }

  void check_watched(bool const was_suspended) {
    Instant const now = env_.now();
    Address const registry = own_registry();
    std::erase_if(last_heard_, [&](auto const& h) { return !neighbours_.watched().contains(h.first); });
    for (std::string const& id : neighbours_.watched()) {
      Member const& m = view_.members.at(id);
      Instant& at = last_heard_.try_emplace(id, now).first->second;
      if (was_suspended) at = now;
      if (now - at > timing_.suspect_after && m.liveness == Liveness::alive && m.role != Role::registry &&
          !registry.empty())
        tell(env_, registry, Suspect{id, m.incarnation, settings_.id, settings_.zone});
    }
  }

  // Random jitter, so that nodes that fail together don't retry together.
  Duration jittered(Duration const pause) { return pause * 3 / 4 + Duration(env_.chance()() % (pause.count() / 2)); }

  static constexpr Duration exchange_timeout = 500ms;
  static constexpr Duration shortest_ask_pause = 150ms;
  static constexpr Duration longest_ask_pause = 600ms;
  static constexpr Duration own_registry_keys_timeout = 150ms;
  static constexpr Duration other_registry_keys_timeout = 300ms;
  static constexpr Duration keys_retry_pause = 25ms;
  static constexpr Duration in_transit_allowance = 60ms;
  static constexpr std::size_t first_registries_asked = 3;  // registries, when the own one can't confirm
  static constexpr Duration frequent_exchange_period =
      3s;  // after the start, until all registries had time to become known
  // The transport drops frames long before they are this old.
  static constexpr Duration max_update_delay = 3s;

  Env& env_;
  FollowerSettings const settings_;
  FeedTiming const& timing_;
  FollowerEvents events_;
  RegistryDirectory directory_;
  RingNeighbours neighbours_;
  typename Env::Alarm join_alarm_;
  typename Env::Alarm refresh_alarm_;
  Instant const started_;
  Instant last_contact_;
  ZoneView view_;
  HeldValues values_;
  Position position_;
  std::map<std::string, Instant> last_heard_;
  Duration ask_pause_ = shortest_ask_pause;  // doubles while no registry confirms values
  std::uint32_t registry_count_ = 0;
  std::uint64_t incarnation_ = 1, pulse_ = 0, pulse_epoch_ = 0;
  Instant confirmed_at_{};
  bool has_confirmed_values_ = false, has_view_ = false, leaving_ = false, leave_acknowledged_ = false,
       join_due_ = true, is_behind_ = false;
  bool recheck_pending_ = false;  // a check against a member whose heartbeat was ahead is scheduled
};

}  // namespace banktide
