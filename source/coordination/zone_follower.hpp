// How a node knows its zone and the values of the registers: it meets the
// registries, joins its own, takes the news that comes down the relay tree and
// passes it on, beats to its watchers on the ring, and asks when it is behind.
// While its registry is gone it asks others, for values only. What the values
// mean is none of its business.
#pragma once

#include "coordination/feed_timing.hpp"
#include "coordination/held_values.hpp"
#include "coordination/registry_directory.hpp"
#include "coordination/ring_places.hpp"
#include "protocol/digest.hpp"
#include "state/cell_view.hpp"

namespace banktide {

using ZoneView = ZoneView;

struct FollowerSettings {
  std::string id;
  std::string zone;
  Address address;
  bool gateway = false;
  std::vector<Address> seeds;
  FeedTiming timing{};
};

/// What a follower tells its owner, and asks of it. Each may be left empty.
struct FollowerEvents {
  /// The backends that stand beside this node; asked at each join.
  std::function<std::vector<BackendRecord>()> backends;
  /// A newer value of a register is known, and its digest is right.
  std::function<void(Register, Held const&)> value;
  /// The routing register's value here is the newest of those chosen before this instant, a quorum says.
  std::function<void(Instant)> routing_confirmed;
  /// The view of the zone has changed.
  std::function<void()> view_changed;
  /// The directory, `cores`, `fresh` or `viewed` may have changed.
  std::function<void()> status_changed;
};

template <Environment Env>
class ZoneFollower {
 public:
  ZoneFollower(Env& env, FollowerSettings settings, FollowerEvents events = {})
      : env_(env),
        s_(std::move(settings)),
        t_(s_.timing),
        events_(std::move(events)),
        directory_(s_.seeds),
        places_(s_.id),
        join_alarm_(env),
        fresh_alarm_(env),
        started_(env.now()),
        last_contact_(env.now()) {}

  /// Takes the place of the events given at first; before `start`.
  void set_events(FollowerEvents events) { events_ = std::move(events); }

  void start(Dispatcher& dispatcher) {
    dispatcher.on<Meet>([this](Meet q) { return meet(std::move(q)); });
    dispatcher.on<News>([this](News q) { return news(std::move(q)); });
    dispatcher.on<Follow>([this](Follow q) { return follow(q); });
    dispatcher.on<Beat>([this](Beat q) { return beaten(std::move(q)); });
    spawn(env_, keep_meeting());
    spawn(env_, keep_joined());
    spawn(env_, keep_fresh());
    spawn(env_, keep_beating());
  }

  ZoneView const& view() const { return view_; }
  std::vector<RegistryEntry> const& directory() const { return directory_.entries(); }
  /// Registries that were heard of lately.
  std::vector<Address> live_registries() const { return directory_.live(env_.now()); }
  Address own_registry() const { return directory_.registry_of(s_.zone, env_.now()); }
  /// How many registries there are, as they say themselves.
  std::uint32_t cores() const { return cores_; }
  Held const& held(Register const r) const { return values_.of(r); }
  /// There was a reading that a majority vouched for.
  bool fresh() const { return fresh_; }
  /// There was a view of the zone.
  bool viewed() const { return viewed_; }
  Position at() const { return at_; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// How long ago any registry or member was last heard.
  Duration since_contact() const { return env_.now() - last_contact_; }

  /// Takes up a chosen value that the owner has from elsewhere.
  void take(Register const r, Held const& held) { take_values({{r, held}}); }
  /// Asks registries for a table of keys of at least this revision, which was chosen
  /// a moment ago: the own one, again for a while as it may be about to learn of it,
  /// then another. True if the table is here then, also by news.
  Task<bool> fetch_keys(Revision const wanted) {
    Instant const own_until = env_.now() + own_keys_patience;
    while (env_.now() < own_until && keys().revision < wanted && !own_registry().empty()) {
      co_await ask_for_keys(own_registry(), own_until);
      if (keys().revision < wanted) co_await sleep_for(env_, ask_keys_again);
    }
    std::vector<Address> const others = live_others(own_registry());
    if (keys().revision < wanted && !others.empty())
      co_await ask_for_keys(others[env_.chance()() % others.size()], env_.now() + other_keys_patience);
    co_return keys().revision >= wanted;
  }

  /// Asks for a reading that confirms the routing register's value here, or brings a newer one: the own registry, and
  /// others if that doesn't vouch. False if none did.
  Task<bool> confirm_routing() {
    Address const own = own_registry();
    co_return co_await catch_up_values(own);
  }

  /// The registry is to be told anew what this node has.
  void touch() {
    dirty_ = true;
    join_alarm_.wake();
  }
  /// From now on the node is leaving.
  void leave() {
    leaving_ = true;
    touch();
  }
  /// The registry knows that this node is leaving.
  bool left() const { return left_; }

 private:
  // ---- what is heard

  void heard(Address const& registry) {
    last_contact_ = env_.now();
    directory_.heard(registry, env_.now());
  }
  void status_changed() {
    if (events_.status_changed) events_.status_changed();
  }
  void view_changed() {
    if (events_.view_changed) events_.view_changed();
  }

  // ---- the registries

  Task<MeetReply> meet(Meet q) {
    directory_.learn_names(q.registries, env_.now());
    status_changed();
    MeetReply reply;
    reply.registries = directory_.told(env_.now());
    reply.cores = cores_;
    co_return reply;
  }

  Task<void> meet_one(Address const peer) {
    Instant const asked = env_.now();
    Meet const question{directory_.told(asked)};
    Result<MeetReply> const r = co_await ask(env_, peer, question, asked + meet_patience);
    if (!r) co_return;
    heard(peer);
    directory_.learn_answer(r->registries, asked, env_.now());
    cores_ = std::max(cores_, r->cores);
    status_changed();
  }

  // The seeds, and one other, should all seeds be gone.
  std::vector<Address> peers_to_meet() {
    std::vector<Address> peers = s_.seeds;
    std::vector<RegistryEntry> const& known = directory_.entries();
    if (known.empty()) return peers;
    Address const& other = known[env_.chance()() % known.size()].address;
    if (std::find(peers.begin(), peers.end(), other) == peers.end()) peers.push_back(other);
    return peers;
  }

  Task<void> keep_meeting() {
    while (true) {
      std::vector<Address> const peers = peers_to_meet();
      for (Address const& peer : peers) spawn(env_, meet_one(peer));
      directory_.forget_silent(env_.now());
      bool const young = env_.now() - started_ < meet_often_for;
      bool const settled = !young && !own_registry().empty() && directory_.entries().size() >= 2;
      co_await sleep_for(env_, settled ? t_.node_meet_every : Duration(200ms));
    }
  }

  Join join_question() {
    Join q;
    q.self = Member{s_.id,        s_.zone,
                    s_.address,   s_.gateway ? Role::gateway : Role::node,
                    incarnation_, leaving_ ? Standing::leaving : Standing::fit};
    if (events_.backends) q.backends = events_.backends();
    return q;
  }

  Task<void> keep_joined() {
    Instant last{};
    while (true) {
      bool const due = dirty_ || env_.now() - last >= t_.join_every;
      if (!due) co_await join_alarm_.wait(std::min(env_.now() + 250ms, last + t_.join_every));
      if (!dirty_ && env_.now() - last < t_.join_every) continue;
      Address const registry = own_registry();
      if (registry.empty()) {
        co_await sleep_for(env_, 100ms);
        continue;
      }
      dirty_ = false;
      last = env_.now();
      Join const q = join_question();
      Result<JoinReply> const r = co_await ask(env_, registry, q, env_.now() + 800ms);
      if (r) take_join_reply(q, *r, registry);
      bool const refutes = r && r->incarnation > q.self.incarnation;
      bool const not_yet = r && !r->taken && !refutes;
      if (not_yet) dirty_ = true;
      co_await sleep_for(env_, r && !not_yet ? Duration(10ms) : Duration(150ms));
    }
  }

  void take_join_reply(Join const& q, JoinReply const& r, Address const& registry) {
    heard(registry);
    if (r.taken && q.self.standing == Standing::leaving) left_ = true;
    if (!r.taken && r.incarnation > incarnation_) {
      incarnation_ = r.incarnation;
      dirty_ = true;
    }
    if (r.taken || r.registry.empty() || directory_.alive(r.registry, env_.now())) return;
    directory_.heard(RegistryEntry{r.registry_zone, r.registry}, env_.now());
    status_changed();
    if (own_registry() != registry) dirty_ = true;
  }

  // ---- values of the registers

  void take_values(std::vector<std::pair<Register, Held>> newer) {
    if (broken_on_purpose("old_catalogue") && held(Register::catalogue).revision > 0)
      std::erase_if(newer, [](auto const& value) { return value.first == Register::catalogue; });
    tell_taken(values_.take(newer));
  }
  void take_deltas(std::vector<KeyDelta> const& of_keys, std::vector<TextDelta> const& of_routing) {
    tell_taken(values_.take_key_deltas(of_keys));
    tell_taken(values_.take_routing_deltas(of_routing));
  }
  void tell_taken(std::vector<Register> const& taken) {
    if (!events_.value) return;
    for (Register const r : taken) events_.value(r, held(r));
  }
  Held const& keys() const { return held(Register::keys); }

  // ---- news of the zone

  // What is to be passed on goes first: reading a value takes long on a small machine, on each level of the tree.
  Task<Told> news(News q) {
    last_contact_ = env_.now();
    bool const current = is_current(q);
    if (current) pass_on(q);
    take_values(std::move(q.layouts));
    take_deltas(q.key_deltas, q.routing_deltas);
    if (!current) co_return Told{};
    fold(q.at, q.changes);
    if (!q.vouched || !(q.at == at_) || values_.lack(q.revisions)) behind();
    co_return Told{};
  }

  // Whether the news come from the zone's registry, and are the latest. A registry that has kept the zone before may
  // not know yet that it doesn't.
  bool is_current(News const& q) {
    Address const own = own_registry();
    if (!own.empty() && q.root != own) return false;
    directory_.heard(q.root, env_.now() - news_may_be_late);
    if (q.at.epoch == pulse_epoch_ && q.pulse <= pulse_) return false;
    pulse_epoch_ = q.at.epoch;
    pulse_ = q.pulse;
    if (q.vouched) vouched_ = env_.now();
    return true;
  }

  void pass_on(News const& q) {
    places_.follow(view_);
    std::vector<std::string> const below = places_.relays();
    if (below.empty()) return;
    SharedBytes const raw = pack_shared(q);
    for (std::string const& id : below) env_.tell_raw(view_.members.at(id).address, News::kind, raw);
  }

  void fold(Position const at, std::vector<Change> const& changes) {
    if (at.epoch != at_.epoch) return;
    bool changed = false;
    for (Change const& c : changes) {
      if (c.seq != at_.seq + 1) continue;
      at_.seq = c.seq;
      view_.fold(c);
      changed = true;
    }
    check_own();
    if (changed) view_changed();
  }

  // If the zone's view has us wrong, say so.
  void check_own() {
    auto const me = view_.members.find(s_.id);
    if (me == view_.members.end() || me->second.standing != (leaving_ ? Standing::leaving : Standing::fit)) touch();
  }

  void behind() {
    is_behind_ = true;
    fresh_alarm_.wake();
  }

  enum class Followed : std::uint8_t { no_answer, not_kept_there, followed };

  Task<Followed> catch_up_view(Address const from) {
    if (from.empty()) co_return Followed::no_answer;
    Follow const question{at_, s_.zone};
    Result<FollowReply> const r = co_await ask(env_, from, question, env_.now() + 250ms);
    if (!r) co_return Followed::no_answer;
    heard(from);
    if (!r->known) co_return Followed::not_kept_there;
    if (r->snapshot) {
      view_.replace(*r->snapshot);
      at_ = r->snapshot->at;
      heard_.clear();  // members that had lost sight of this node owe it no beats from before
      check_own();
      view_changed();
    } else {
      fold(r->at, r->changes);
    }
    if (!viewed_) {
      viewed_ = true;
      status_changed();
    }
    co_return Followed::followed;
  }

  Duration values_patience() const { return fresh_ ? Duration(400ms) : Duration(1000ms); }

  // The newest values that a quorum vouches for: from the registry named, if it answers and vouches for its own, else
  // from others. False if nobody vouched.
  Task<bool> catch_up_values(Address const first) {
    if (!first.empty() && co_await ask_for_values(first, env_.now() + values_patience())) co_return true;
    if (broken_on_purpose("own_registry_only")) co_return false;
    std::vector<Address> others = live_others(first);
    std::shuffle(others.begin(), others.end(), env_.chance());
    std::size_t const few = std::min(asked_at_first, others.size());
    std::vector<Address> const rest(others.begin() + static_cast<std::ptrdiff_t>(few), others.end());
    others.resize(few);
    if (co_await catch_up_from_one_of(others)) co_return true;
    co_return co_await catch_up_from_one_of(rest);
  }

  // Each tells its revisions only. The first that a quorum vouches for is the one whose values are fetched, if they
  // are newer: whole values of many registries would fill the links.
  Task<bool> catch_up_from_one_of(std::vector<Address> const from) {
    if (from.empty()) co_return false;
    LayoutsAsk question = values_.question();
    question.fresh = !fresh_;
    question.revisions_only = true;
    Instant const asked = env_.now();
    auto const vouches = [](auto const& reply) { return reply.second && reply.second->known; };
    auto const one_vouches = [vouches](auto const& replies) { return vouches(replies.back()); };
    auto const replies = co_await ask_all<LayoutsAsk>(env_, from, question, asked + values_patience(), one_vouches);
    for (auto const& [i, r] : replies)
      if (r) heard(from[i]);
    auto const vouching = std::find_if(replies.begin(), replies.end(), vouches);
    if (vouching == replies.end()) co_return false;
    LayoutsReply const& told = *vouching->second;
    if (!values_.lack(told.revisions)) {
      take_vouched_reply(told, asked);
      co_return true;
    }
    Address const newest = from[vouching->first];
    co_return co_await ask_for_values(newest, env_.now() + values_patience());
  }

  // Takes whatever newer values that registry has. Whether it vouches for them.
  Task<bool> ask_for_values(Address const from, Instant const deadline) {
    LayoutsAsk question = values_.question();
    question.fresh = !fresh_;
    Instant const asked = env_.now();
    std::optional<LayoutsReply> const reply = co_await ask_registry(from, question, deadline);
    if (reply && reply->known) take_vouched_reply(*reply, asked);
    co_return reply && reply->known;
  }

  Task<void> ask_for_keys(Address const from, Instant const deadline) {
    LayoutsAsk const question = values_.question_for(Register::keys);
    co_await ask_registry(from, question, deadline);
  }

  // What one registry has is chosen even if it can't vouch that it's the newest.
  Task<std::optional<LayoutsReply>> ask_registry(Address const from, LayoutsAsk const question,
                                                 Instant const deadline) {
    Result<LayoutsReply> const r = co_await ask(env_, from, question, deadline);
    if (!r) co_return std::nullopt;
    heard(from);
    take_values(r->newer);
    take_deltas(r->key_deltas, r->routing_deltas);
    co_return *r;
  }

  // The reply was made after the question was sent, and its reading was begun at most its age before that.
  void take_vouched_reply(LayoutsReply const& reply, Instant const asked) {
    vouched_ = env_.now();
    bool const here = held(Register::routing).revision >= reply.revisions[static_cast<std::size_t>(Register::routing)];
    if (here && events_.routing_confirmed)
      events_.routing_confirmed(asked - std::chrono::milliseconds(reply.reading_age_ms));
    if (fresh_) return;
    fresh_ = true;
    status_changed();
  }

  // Registries of any zone that were heard lately, or all that are known if none was.
  std::vector<Address> live_others(Address const& but) const {
    std::vector<Address> all = directory_.live(env_.now());
    if (all.empty())
      for (RegistryEntry const& e : directory_.entries()) all.push_back(e.address);
    std::erase(all, but);
    return all;
  }

  // Behind or without a pulse that is vouched for, a node asks its registry. While that is gone, or
  // has no majority to vouch for its values, it asks another zone's for
  // them too: the one way in which zones lean on each other's control planes.
  Task<void> keep_fresh() {
    while (true) {
      if (!is_behind_) co_await fresh_alarm_.wait(env_.now() + t_.pulse_every);
      bool const unvouched = env_.now() - vouched_ > t_.pulse_missed;
      if (!is_behind_ && !unvouched && fresh_ && viewed_) continue;
      is_behind_ = false;
      Address const own = own_registry();
      Followed const view = co_await catch_up_view(own);
      Address const first = view == Followed::no_answer ? Address() : own;
      bool const values = co_await catch_up_values(first);
      bool const followed = view == Followed::followed;
      std::vector<Address> const others = live_others(own);
      if (!followed && !viewed_ && !others.empty() && env_.now() - started_ > 3s)
        co_await borrow_view(others[env_.chance()() % others.size()]);
      if (values) ask_pause_ = shortest_ask_pause;
      co_await sleep_for(env_, followed && values ? Duration(20ms) : jittered(ask_pause_));
      if (!values) ask_pause_ = std::min(2 * ask_pause_, longest_ask_pause);
    }
  }

  // A node that starts while its registry is gone knows no zone mates; it can
  // still cross by what another zone's registry knows.
  Task<void> borrow_view(Address const from) {
    Follow const question{};
    Result<FollowReply> const r = co_await ask(env_, from, question, env_.now() + 400ms);
    if (!r || !r->known || !r->snapshot || viewed_) co_return;
    for (CellEntry const& c : r->snapshot->cells)
      if (c.cell != s_.zone) view_.cells[c.cell] = c;
    viewed_ = true;
    view_changed();
    status_changed();
  }

  Task<FollowReply> follow(Follow) {
    FollowReply reply;
    reply.known = viewed_ && at_.epoch != 0;
    if (reply.known) reply.snapshot = view_.snapshot(at_);
    reply.at = at_;
    co_return reply;
  }

  // ---- beats

  Task<Told> beaten(Beat q) {
    last_contact_ = env_.now();
    heard_[q.id] = env_.now();
    if (is_ahead(q.at, q.revisions) && !checking_) {
      checking_ = true;
      spawn(env_, ask_if_still_behind(q.at, q.revisions));
    }
    co_return Told{};
  }

  bool is_ahead(Position const at, Revisions const& revisions) const {
    return (at.epoch == at_.epoch && at.seq > at_.seq) || values_.lack(revisions);
  }

  // The news that the sender has already may be on their way here.
  Task<void> ask_if_still_behind(Position const at, Revisions const revisions) {
    co_await sleep_for(env_, news_are_on_their_way);
    checking_ = false;
    if (is_ahead(at, revisions)) behind();
  }

  Task<void> keep_beating() {
    Instant last = env_.now();
    while (true) {
      co_await sleep_for(env_, t_.beat_every);
      Instant const now = env_.now();
      bool const overslept = now - last > 4 * t_.beat_every;  // we were frozen: nobody else was silent
      last = now;
      places_.follow(view_);
      tell_watchers();
      look_at_watched(overslept);
    }
  }

  void tell_watchers() {
    if (places_.watchers().empty()) return;
    SharedBytes const raw = pack_shared(Beat{s_.id, s_.address, incarnation_, at_, s_.zone, values_.revisions()});
    for (std::string const& id : places_.watchers()) env_.tell_raw(view_.members.at(id).address, Beat::kind, raw);
  }

  void look_at_watched(bool const overslept) {
    Instant const now = env_.now();
    Address const registry = own_registry();
    std::erase_if(heard_, [&](auto const& h) { return !places_.watched().contains(h.first); });
    for (std::string const& id : places_.watched()) {
      Member const& m = view_.members.at(id);
      Instant& at = heard_.try_emplace(id, now).first->second;
      if (overslept) at = now;
      if (now - at > t_.suspect_after && m.standing == Standing::fit && m.role != Role::registry && !registry.empty())
        tell(env_, registry, Suspect{id, m.incarnation, s_.id, s_.zone});
    }
  }

  // Nodes that fail together don't ask again together.
  Duration jittered(Duration const pause) { return pause * 3 / 4 + Duration(env_.chance()() % (pause.count() / 2)); }

  static constexpr Duration meet_patience = 500ms;
  static constexpr Duration shortest_ask_pause = 150ms;
  static constexpr Duration longest_ask_pause = 600ms;
  static constexpr Duration own_keys_patience = 150ms;
  static constexpr Duration other_keys_patience = 300ms;
  static constexpr Duration ask_keys_again = 25ms;
  static constexpr Duration news_are_on_their_way = 60ms;
  static constexpr std::size_t asked_at_first = 3;  // registries, when the own one doesn't vouch
  static constexpr Duration meet_often_for = 3s;    // from the start, until all registries had time to be heard of
  // Frames between processes are given up long before they are this old.
  static constexpr Duration news_may_be_late = 3s;

  Env& env_;
  FollowerSettings const s_;
  FeedTiming const& t_;
  FollowerEvents events_;
  RegistryDirectory directory_;
  RingPlaces places_;
  typename Env::Alarm join_alarm_;
  typename Env::Alarm fresh_alarm_;
  Instant const started_;
  Instant last_contact_;
  ZoneView view_;
  HeldValues values_;
  Position at_;
  std::map<std::string, Instant> heard_;
  Duration ask_pause_ = shortest_ask_pause;  // doubles while nobody vouches for values
  std::uint32_t cores_ = 0;
  std::uint64_t incarnation_ = 1, pulse_ = 0, pulse_epoch_ = 0;
  Instant vouched_{};
  bool fresh_ = false, viewed_ = false, leaving_ = false, left_ = false, dirty_ = true, is_behind_ = false;
  bool checking_ = false;  // whether this node is behind one that it heard a beat of
};

}  // namespace banktide
