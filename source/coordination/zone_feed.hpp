// A registry's state of one zone: its members and backends, the journal of their changes, the updates sent down the
// relay tree, and failure detection for the members that send it heartbeats. It is kept in memory only: a new feed
// learns its zone from the joining nodes, and publishes nothing until they had time to join.
#pragma once

#include "coordination/feed_timing.hpp"
#include "coordination/ring_neighbours.hpp"
#include "state/journal.hpp"
#include "state/view_json.hpp"
#include "transport/environment.hpp"

namespace banktide {

/// Identifies the registry and the zone of a feed.
struct FeedSettings {
  std::string zone;
  std::string registry_id;
  Address registry_address;
  FeedTiming timing{};
};

/// Registry state that the feed's updates carry besides the zone's changes.
struct FeedSources {
  std::function<bool()> has_quorum_reading;
  std::function<Revisions()> revisions;
};

// Must be created by make_shared: pending updates keep it alive.
template <Environment Env>
class ZoneFeed : public std::enable_shared_from_this<ZoneFeed<Env>> {
 public:
  ZoneFeed(Env& env, FeedSettings settings, FeedSources sources)
      : env_(env),
        settings_(std::move(settings)),
        timing_(settings_.timing),
        sources_(std::move(sources)),
        epoch_(env.chance()() | 1),
        started_(env.now()),
        watched_at_(env.now()),
        warm_at_(env.now() + timing_.warm_up),
        last_node_at_(env.now()),
        neighbours_(settings_.registry_id) {
    Member const self{settings_.registry_id, settings_.zone, settings_.registry_address, Role::registry, 1,
                      Liveness::alive};
    record_change(Change{0, self, std::nullopt, std::nullopt});
  }

  std::string const& zone() const { return settings_.zone; }
  ZoneView const& view() const { return view_; }
  std::uint64_t epoch() const { return epoch_; }
  Position position() const { return Position{epoch_, journal_.last()}; }
  /// Whether nodes had time to join, so that this view is complete enough to publish.
  bool warm() const { return env_.now() >= warm_at_; }
  bool has_nodes() const { return nodes_ > 0; }
  bool had_nodes() const { return had_nodes_; }
  /// How long the zone has had no node.
  Duration empty_for() const { return has_nodes() ? Duration::zero() : env_.now() - last_node_at_; }

  // ---- requests from members

  JoinReply join(Join q) {
    JoinReply reply;
    reply.epoch = epoch_;
    if (!is_valid(q)) return reply;
    auto const it = view_.members.find(q.self.id);
    bool const suspected = it != view_.members.end() && it->second.liveness == Liveness::suspected;
    if (suspected && q.self.liveness == Liveness::alive && q.self.incarnation <= it->second.incarnation) {
      reply.incarnation = it->second.incarnation + 1;  // the member refutes the suspicion with this one
      return reply;
    }
    if (!has_nodes()) begin_warm_up();
    last_heard_[q.self.id] = env_.now();
    joined_[q.self.id] = env_.now();
    if (it == view_.members.end() || !(it->second == q.self)) {
      log_info("member", {{"id", q.self.id},
                          {"zone", settings_.zone},
                          {"standing", liveness_name(q.self.liveness)},
                          {"incarnation", std::to_string(q.self.incarnation)}});
      publish_member(q.self);
    }
    update_backends(q.self.id, std::move(q.backends));
    reply.taken = true;
    reply.incarnation = q.self.incarnation;
    return reply;
  }

  FollowReply follow(Follow const& q) const {
    FollowReply reply;
    // A feed without nodes has no view yet for nodes that are about to join it.
    reply.known = warm() && (has_nodes() || q.zone != settings_.zone);
    if (!reply.known) return reply;
    reply.at = position();
    std::optional<std::vector<Change>> changes;
    if (q.have.epoch == epoch_) changes = journal_.since(q.have.seq);
    if (changes)
      reply.changes = std::move(*changes);
    else
      reply.snapshot = view_.snapshot(position());
    return reply;
  }

  void on_heartbeat(Heartbeat const& q) { last_heard_[q.id] = env_.now(); }

  void suspect(Suspect const& q) {
    auto const it = view_.members.find(q.id);
    if (it == view_.members.end() || it->second.incarnation != q.incarnation ||
        it->second.liveness != Liveness::alive || it->second.role == Role::registry)
      return;
    Member m = it->second;
    m.liveness = Liveness::suspected;
    suspected_[m.id] = env_.now();
    log_info("member", {{"id", m.id}, {"zone", settings_.zone}, {"standing", "suspected"}, {"by", q.by}});
    publish_member(m);
  }

  // ---- updates to members

  /// To be called every `pulse_every`; sends the changes that aren't urgent.
  void pulse() { send_down(next_update()); }

  /// Sends a newer value of a register at once.
  void send_value(Register const reg, RegisterValue const& held) {
    ZoneUpdate n = next_update();
    n.values.emplace_back(reg, held);
    send_down(n);
  }
  /// Sends a newer key table as a delta.
  void send_key_delta(KeyDelta const& delta) {
    ZoneUpdate n = next_update();
    n.key_deltas.push_back(delta);
    send_down(n);
  }

  /// Sends a newer configuration as a delta.
  void send_routing_delta(TextDelta const& delta) {
    ZoneUpdate n = next_update();
    n.routing_deltas.push_back(delta);
    send_down(n);
  }

  /// Takes in another zone's entry and publishes what has changed in it.
  void update_zone_entry(ZoneEntry const& entry) {
    if (entry.zone == settings_.zone) return;
    auto const it = view_.zones.find(entry.zone);
    if (it == view_.zones.end()) return publish(Change{0, std::nullopt, std::nullopt, entry}, Urgency::at_once);
    if (it->second == entry) return;
    Change change;
    change.entry_delta = make_entry_delta(it->second, entry);
    if (!change.entry_delta) change.zone_entry = entry;
    bool const loads_only = change.entry_delta && changes_loads_only(*change.entry_delta);
    publish(std::move(change), loads_only ? Urgency::with_next_pulse : Urgency::at_once);
  }

  /// To be called every `heartbeat_every`: sends heartbeats to the registry's own watchers, and detects silent members.
  void watch() {
    Instant const now = env_.now();
    bool const was_suspended =
        now - watched_at_ > 4 * timing_.heartbeat_every;  // this process was suspended, the others were not silent
    watched_at_ = now;
    neighbours_.follow(view_);
    send_heartbeats();
    std::vector<Member> dead;
    std::vector<Suspect> silent;
    for (auto const& [id, m] : view_.members) {
      if (m.role == Role::registry) continue;
      bool const watched = neighbours_.watched().contains(id);
      Instant const last_heard = effective_last_heard(id, watched, was_suspended);
      if (watched && now - last_heard > timing_.suspect_after && m.liveness == Liveness::alive)
        silent.push_back(Suspect{id, m.incarnation, settings_.registry_id, settings_.zone});
      if (is_dead(m, watched)) dead.push_back(m);
    }
    for (Suspect const& q : silent) suspect(q);
    for (Member& m : dead) remove_dead(m);
  }

  /// The zone's entry for other zones.
  ZoneEntry entry() const {
    ZoneEntry e;
    e.zone = settings_.zone;
    for (auto const& [id, m] : view_.members)
      if (m.role == Role::gateway && m.liveness == Liveness::alive) e.gateways.push_back(m);
    std::map<std::pair<std::string, std::string>, ServiceOffer> by_node;
    for (auto const& [key, b] : view_.backends) {
      if (b.liveness != Liveness::alive || !view_.is_usable_node(b.node)) continue;
      if (e.service_names.empty() || e.service_names.back() != b.service) e.service_names.push_back(b.service);
      Member const& host = view_.members.at(b.node);
      if (host.role != Role::gateway) continue;
      ServiceOffer& o = by_node[{b.service, b.node}];
      o.service = b.service;
      o.node = b.node;
      o.address = host.address;
      o.slots += b.slots;
      o.running += b.slots > 0 ? b.running : 0;
      o.waiting += b.slots > 0 ? b.waiting : 0;
    }
    for (auto& [key, o] : by_node) {
      o.running = round_up_load(o.running, o.slots);
      o.waiting = round_up_load(o.waiting, o.slots);
      e.services.push_back(std::move(o));
    }
    return e;
  }

 private:
  static constexpr std::size_t backend_limit = 1000;
  static constexpr std::size_t journal_length = 512;
  static constexpr Duration batching_delay = 2ms;
  static constexpr std::uint32_t load_rounding_steps = 8;  // to which an offer's load is rounded, per number of slots

  bool is_valid(Join const& q) const {
    bool const named = !q.self.id.empty() && q.self.id != settings_.registry_id && q.self.zone == settings_.zone;
    bool const node = q.self.role == Role::node || q.self.role == Role::gateway;
    bool const present = q.self.liveness == Liveness::alive || q.self.liveness == Liveness::leaving;
    return named && node && present && q.backends.size() <= backend_limit;
  }

  // Rounds up, so that 0 means no load.
  static std::uint32_t round_up_load(std::uint32_t const load, std::uint32_t const slots) {
    std::uint32_t const step = std::max<std::uint32_t>(1, slots / load_rounding_steps);
    return (load + step - 1) / step * step;
  }

  // The nodes of an empty feed join one after the other, either at their start or when they move from another
  // registry.
  void begin_warm_up() {
    bool const moved = env_.now() - started_ > timing_.warm_up;
    warm_at_ = std::max(warm_at_, env_.now() + (moved ? timing_.moved_warm_up : timing_.warm_up));
    unsent_.clear();
  }

  void update_backends(std::string const& node, std::vector<BackendRecord> reported) {
    std::set<std::pair<std::string, std::string>> named;
    for (BackendRecord& b : reported) {
      b.node = node;
      named.insert({b.service, b.instance});
      auto const at = view_.backends.find({b.service, b.instance});
      if (at != view_.backends.end() && at->second == b) continue;
      bool const load_only = at != view_.backends.end() && differ_in_load_only(at->second, b);
      publish(Change{0, std::nullopt, b, std::nullopt}, load_only ? Urgency::with_next_pulse : Urgency::at_once);
    }
    std::vector<BackendRecord> removed;
    for (auto const& [key, b] : view_.backends)
      if (b.node == node && !named.contains(key)) removed.push_back(b);
    for (BackendRecord& b : removed) {
      b.liveness = Liveness::dead;
      publish(Change{0, std::nullopt, b, std::nullopt}, Urgency::at_once);
    }
  }

  static bool differ_in_load_only(BackendRecord before, BackendRecord const& after) {
    before.running = after.running;
    before.waiting = after.waiting;
    return before == after;
  }

  // ---- publishing

  void record_change(Change c) {
    c.seq = journal_.last() + 1;
    journal_.append(c);
    view_.apply(c);
    if (c.member) count_nodes();
    if (warm()) unsent_.push_back(std::move(c));
  }
  void count_nodes() {
    nodes_ = 0;
    for (auto const& [id, m] : view_.members) nodes_ += m.role != Role::registry;
    if (nodes_ == 0) return;
    had_nodes_ = true;
    last_node_at_ = env_.now();
  }

  // Loads change constantly; a message for each change would be most of a node's traffic.
  enum class Urgency : std::uint8_t { at_once, with_next_pulse };

  void publish(Change c, Urgency const urgency) {
    if (has_nodes()) last_node_at_ = env_.now();
    record_change(std::move(c));
    if (urgency == Urgency::with_next_pulse || unsent_.empty() || flushing_) return;
    flushing_ = true;
    spawn(env_, flush_soon(this->shared_from_this()));
  }
  void publish_member(Member const& m) { publish(Change{0, m, std::nullopt, std::nullopt}, Urgency::at_once); }

  // Batches changes that happen close together into one update.
  static Task<void> flush_soon(std::shared_ptr<ZoneFeed> const feed) {
    co_await sleep_for(feed->env_, batching_delay);
    feed->flushing_ = false;
    if (!feed->unsent_.empty()) feed->send_down(feed->next_update());
  }

  // Contains all unsent changes, so that a receiver has everything up to its position.
  ZoneUpdate next_update() {
    ZoneUpdate n;
    n.changes = std::exchange(unsent_, {});
    n.at = position();
    announced_ = n.at;
    n.sequence = ++pulse_;
    n.has_quorum_reading = sources_.has_quorum_reading();
    n.root = settings_.registry_address;
    n.revisions = sources_.revisions();
    return n;
  }

  void send_down(ZoneUpdate const& n) {
    if (!warm() || !has_nodes()) return;
    neighbours_.follow(view_);
    SharedBytes const raw = pack_shared(n);
    for (std::string const& id : neighbours_.first_relays())
      env_.tell_raw(view_.members.at(id).address, ZoneUpdate::kind, raw);
  }

  // ---- failure detection

  void send_heartbeats() {
    if (neighbours_.watchers().empty()) return;
    Position const at = warm() ? announced_ : Position{};
    SharedBytes const raw = pack_shared(
        Heartbeat{settings_.registry_id, settings_.registry_address, 1, at, settings_.zone, sources_.revisions()});
    for (std::string const& id : neighbours_.watchers())
      env_.tell_raw(view_.members.at(id).address, Heartbeat::kind, raw);
  }

  // When the member was last heard from, for failure detection. A member that isn't watched by this registry, or any
  // member while this process was suspended, doesn't count as silent.
  Instant effective_last_heard(std::string const& id, bool const watched, bool const was_suspended) {
    Instant const now = env_.now();
    Instant& last_heard = last_heard_.try_emplace(id, watched ? now : Instant{}).first->second;
    if (was_suspended) last_heard = now;
    if (!watched) last_heard = std::max(last_heard, now - timing_.suspect_after / 2);
    return last_heard;
  }

  bool is_dead(Member const& m, bool const watched) const {
    Instant const now = env_.now();
    if (m.liveness == Liveness::suspected) return now - suspected_.at(m.id) > timing_.dead_after;
    if (m.liveness != Liveness::leaving) return false;
    if (watched && now - last_heard_.at(m.id) > timing_.suspect_after) return true;
    auto const joined = joined_.find(m.id);
    return joined != joined_.end() && now - joined->second > timing_.leave_after;
  }

  void remove_dead(Member& m) {
    m.liveness = Liveness::dead;
    log_info("member", {{"id", m.id}, {"zone", settings_.zone}, {"standing", "dead"}});
    publish_member(m);
    last_heard_.erase(m.id);
    suspected_.erase(m.id);
    joined_.erase(m.id);
  }

  Env& env_;
  FeedSettings const settings_;
  FeedTiming const& timing_;
  FeedSources const sources_;
  std::uint64_t const epoch_;
  Instant const started_;
  Instant watched_at_, warm_at_, last_node_at_;
  Journal<Change> journal_{journal_length};
  ZoneView view_;
  RingNeighbours neighbours_;
  std::size_t nodes_ = 0;
  std::uint64_t pulse_ = 0;
  bool flushing_ = false, had_nodes_ = false;
  std::vector<Change> unsent_;
  Position announced_{};  // in the latest update
  std::map<std::string, Instant> last_heard_, suspected_, joined_;
};

}  // namespace banktide
