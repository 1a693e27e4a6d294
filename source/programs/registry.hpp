// A registry. It serves the feed of its own zone and of zones without a live
// registry that fall to it, exchanges zone summaries with the other registries,
// distributes the register values that a majority of the stores confirms to all
// nodes, and has one vote on the leases of key slices. Only the register is
// durable; all other state is in memory.
#pragma once

#include "coordination/lease_voter.hpp"
#include "coordination/register_client.hpp"
#include "coordination/registry_directory.hpp"
#include "coordination/shared_reading.hpp"
#include "coordination/zone_entries.hpp"
#include "coordination/zone_feed.hpp"
#include "programs/operator_interface.hpp"
#include "state/delta_history.hpp"
#include "state/key_table_delta.hpp"
#include "state/recent_errors.hpp"
#include "state/text_delta.hpp"

#include <map>

namespace banktide {

struct RegistrySettings {
  std::string id;
  std::string zone;
  Address address;
  std::vector<Address> seeds;
  std::vector<Address> voters;   // empty: discovered from the stores
  std::uint16_t store_port = 0;  // of the stores on the registries' machines
  FeedTiming timing{};
};

template <Environment Env>
class Registry {
 public:
  Registry(Env& env, RegistrySettings s)
      : env_(env),
        settings_(std::move(s)),
        timing_(settings_.timing),
        register_client_(client_of(env, settings_)),
        lease_(env),
        started_(env.now()),
        directory_(settings_.seeds),
        entries_(timing_),
        reading_(env, SharedReadingSettings{timing_.read_every}, [this] { return read_all(); }),
        operators_(*this) {
    directory_.set_own(RegistryEntry{settings_.zone, settings_.address});
    own_feed_ = make_feed(settings_.zone);
    feeds_[settings_.zone] = own_feed_;
  }

  void start(Dispatcher& dispatcher) {
    dispatcher.on<Join>([this](Join q) { return join(std::move(q)); });
    dispatcher.on<Follow>([this](Follow q) { return follow(std::move(q)); });
    dispatcher.on<RegisterValuesRequest>([this](RegisterValuesRequest q) { return layouts(q); });
    dispatcher.on<RegistryExchange>([this](RegistryExchange q) { return meet(std::move(q)); });
    dispatcher.on<Heartbeat>([this](Heartbeat q) { return on_heartbeat(std::move(q)); });
    dispatcher.on<Suspect>([this](Suspect q) { return suspect(std::move(q)); });
    dispatcher.on<ZoneAnnouncement>([this](ZoneAnnouncement q) { return receive_announcement(std::move(q)); });
    dispatcher.on<ChosenValue>([this](ChosenValue q) { return chosen(std::move(q)); });
    dispatcher.on<LeaseRequest>([this](LeaseRequest q) { return lease(std::move(q)); });
    dispatcher.on<DecisionsRequest>([this](DecisionsRequest q) { return decisions(std::move(q)); });
    dispatcher.on<StateRequest>([this](StateRequest q) { return state(q); });
    spawn(env_, meet_loop());
    spawn(env_, reading_.run());
    if (!settings_.voters.empty()) spawn(env_, establish_epoch_floor());
    spawn(env_, pulse_loop());
    spawn(env_, watch_loop());
  }

  bool ready() const { return has_quorum_reading() && warm() && !leaving_; }
  void leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  /// Whether its nodes had time to join it since it started.
  bool warm() const { return env_.now() - started_ >= timing_.warm_up; }
  /// Whether there is a recent reading that a majority confirmed.
  bool has_quorum_reading() const {
    return reading_.latest_start() && env_.now() - *reading_.latest_start() < reading_valid_for;
  }
  /// The time since the request of the latest reading was sent; none before the first reading.
  std::optional<Duration> reading_age() const {
    if (!reading_.latest_start()) return std::nullopt;
    return env_.now() - *reading_.latest_start();
  }

  RegistrySettings const& settings() const { return settings_; }
  Env& environment() { return env_; }
  Address const& address() const { return settings_.address; }
  RegisterClient<Env>& registers() { return register_client_; }
  RegisterValue const& held(Register const r) const { return held_.at(static_cast<std::size_t>(r)); }
  /// The view of the own zone.
  ZoneView const& view() const { return own_feed_->view(); }
  Position position() const { return own_feed_->position(); }
  std::vector<RegistryEntry> const& directory() const { return directory_.entries(); }
  /// The zones whose feeds are served here.
  std::vector<std::string> zones() const {
    std::vector<std::string> all;
    for (auto const& [zone, feed] : feeds_) all.push_back(zone);
    return all;
  }
  /// All zones with a known registry or a known zone entry.
  std::set<std::string> zone_names() const {
    std::set<std::string> names{settings_.zone};
    for (RegistryEntry const& e : directory_.entries()) names.insert(e.zone);
    for (auto const& [zone, entry] : view().zones) names.insert(zone);
    return names;
  }
  /// The entries of all zones, the own zone included: what each offers to the others.
  std::vector<ZoneEntry> zone_entries() const {
    std::vector<ZoneEntry> all{own_feed_->entry()};
    for (auto const& [zone, entry] : view().zones) all.push_back(entry);
    return all;
  }
  /// Whether this registry has the lowest address of those heard from lately, and so acts for all of them.
  bool first_of_live_registries() const {
    std::vector<Address> const live = directory_.live(env_.now(), live_window);
    return !live.empty() && live.front() == settings_.address;
  }

  /// Applies a value that a majority has accepted and sends it to the nodes.
  void apply(Register const r, RegisterValue const& h) {
    RegisterValue& mine = held_.at(static_cast<std::size_t>(r));
    if (h.revision <= mine.revision) return;
    record_delta(r, mine, h);
    mine = h;
    mine.requests.clear();  // only changes need the requests, and they read them from the voters
    // The maintenance register is written every few seconds during a window; its phases are logged elsewhere.
    if (r != Register::maintenance)
      log_info("revision_known", {{"register", register_name(r)}, {"revision", std::to_string(h.revision)}});
    for (auto const& [zone, feed] : feeds_) send_to_nodes(*feed, r);
  }
  /// As `apply`, and sends the value to the other registries too.
  void announce(Register const r, RegisterValue const& h) {
    apply(r, h);
    KeyDelta const* const delta = r == Register::keys ? key_deltas_.newest() : nullptr;
    if (delta != nullptr && delta->to == h.revision) {
      send_to_registries(ChosenValue{r, RegisterValue{}, *delta});
    } else {
      send_to_registries(ChosenValue{r, held(r).revision == h.revision ? held(r) : h, std::nullopt});
    }
  }

  void record_error(std::string const& what, Error const& m) { recent_errors_.note(env_.now() - started_, what, m); }
  RecentErrors const& recent_errors() const { return recent_errors_; }

  // ---- operator interface

  Task<Verdict> propose(Proposal p) { return operators_.propose(std::move(p)); }
  Task<HttpReply> handle_operator_request(HttpRequest q) { return operators_.handle_operator_request(std::move(q)); }
  bool idle() const { return operators_.idle(); }

  // The routing decisions of this zone's nodes, of those that answer in time.
  Task<DecisionsReply> decisions(DecisionsRequest q) {
    std::vector<Address> nodes;
    for (Member const& m : served_nodes()) nodes.push_back(m.address);
    auto replies =
        co_await ask_all<DecisionsRequest>(env_, nodes, q, env_.now() + 250ms, [](auto const&) { return false; });
    DecisionsReply all;
    for (auto& [i, r] : replies)
      if (r) merge(all, std::move(*r));
    co_return all;
  }
  static void merge(DecisionsReply& all, DecisionsReply more) {
    all.events.insert(all.events.end(), std::make_move_iterator(more.events.begin()),
                      std::make_move_iterator(more.events.end()));
    all.gaps.insert(all.gaps.end(), more.gaps.begin(), more.gaps.end());
    all.next.insert(more.next.begin(), more.next.end());
  }

  // The state of this zone as its registry sees it, with each node's own state.
  Task<StateReply> state(StateRequest q) {
    Json j = {{"registry", settings_.id},
              {"cell", settings_.zone},
              {"epoch", position().epoch},
              {"position", position().seq},
              {"routing", held(Register::routing).revision},
              {"catalogue", held(Register::catalogue).revision},
              {"vouched", has_quorum_reading()},
              {"ready", ready()},
              {"nodes", Json::array()},
              {"silent", Json::array()},
              {"grants", Json::array()}};
    for (auto const& [slice, g] : lease_.grants())
      if (g.until > env_.now())
        j["grants"].push_back({{"service", slice.service},
                               {"mapping", slice.mapping},
                               {"slice", slice.slice},
                               {"holder", g.holder},
                               {"epoch", g.epoch},
                               {"ends_in_ms", as_ms(g.until - env_.now())}});
    if (q.with_nodes) {
      std::vector<Address> nodes;
      std::vector<std::string> ids;
      for (Member const& m : served_nodes()) {
        nodes.push_back(m.address);
        ids.push_back(m.id);
      }
      StateRequest const question{false};
      auto const replies =
          co_await ask_all<StateRequest>(env_, nodes, question, env_.now() + 400ms, [](auto const&) { return false; });
      std::set<std::string> silent(ids.begin(), ids.end());
      for (auto const& [i, r] : replies) {
        Json const node = r ? Json::parse(r->json, nullptr, false) : Json();
        if (!node.is_object()) continue;
        j["nodes"].push_back(node);
        silent.erase(ids[i]);
      }
      j["silent"] = silent;
    }
    co_return StateReply{j.dump()};
  }

 private:
  static constexpr Duration reading_valid_for = 600ms;
  static constexpr Duration read_timeout = 1s;
  static constexpr Duration fresh_read_timeout = 300ms;  // for a node that asks for a new reading
  static constexpr Duration live_window = 1500ms;
  static constexpr Duration adopt_after = 1s;  // counted from this registry's start
  static constexpr Duration meet_timeout = 500ms;
  static constexpr Duration passive_read_timeout = 150ms;  // for a majority to agree without a consensus round
  static constexpr Duration delta_timeout = 60ms;  // for the writer's update to arrive, after a majority has the table
  // The longest delay of one-way messages that is allowed for.
  static constexpr Duration max_message_delay = 3s;
  static constexpr std::uint64_t rounds_per_silent_peer_check = 8;

  static RegisterClient<Env> client_of(Env& env, RegistrySettings const& s) {
    if (!s.voters.empty()) return RegisterClient<Env>(env, s.voters);
    return RegisterClient<Env>(env, StoreSeeds{colocated_stores(s.seeds, s.store_port)});
  }

  // ---- register values

  Task<NoReply> chosen(ChosenValue q) {
    if (static_cast<std::size_t>(q.reg) >= held_.size()) co_return NoReply{};
    if (!q.key_delta) {
      apply(q.reg, q.held);
      co_return NoReply{};
    }
    // A delta that doesn't apply can be ignored: the next reading of the register brings the table.
    Result<RegisterValue> const next = apply_key_deltas(held(Register::keys), {*q.key_delta});
    if (next) apply(Register::keys, *next);
    co_return NoReply{};
  }

  void record_delta(Register const r, RegisterValue const& before, RegisterValue const& after) {
    if (r == Register::keys) key_deltas_.add_or_clear(make_key_delta(before, after));
    if (r == Register::routing) routing_deltas_.add_or_clear(make_text_delta(before, after));
  }

  // Large values are sent to a zone's nodes as deltas where the delta is known.
  void send_to_nodes(ZoneFeed<Env>& feed, Register const r) {
    RegisterValue const& newest = held(r);
    KeyDelta const* const of_keys = key_deltas_.newest();
    TextDelta const* const of_routing = routing_deltas_.newest();
    if (r == Register::keys && of_keys != nullptr && of_keys->to == newest.revision) {
      feed.send_key_delta(*of_keys);
    } else if (r == Register::routing && of_routing != nullptr && of_routing->to == newest.revision) {
      feed.send_routing_delta(*of_routing);
    } else {
      feed.send_value(r, newest);
    }
  }

  Task<RegisterValuesReply> layouts(RegisterValuesRequest q) {
    if (q.fresh || !has_quorum_reading()) co_await reading_.read_fresh(env_.now() + fresh_read_timeout);
    RegisterValuesReply reply;
    reply.known = has_quorum_reading();
    if (reply.known) reply.reading_age_ms = static_cast<std::uint32_t>(as_ms(*reading_age()) + 1);  // rounded up
    reply.revisions = revisions();
    if (q.revisions_only) co_return reply;
    for (Register const r : published_registers) {
      std::size_t const i = static_cast<std::size_t>(r);
      if (reply.revisions[i] <= q.have[i]) continue;
      std::size_t const whole = held_[i].bytes.size();
      bool const by_delta =
          (r == Register::keys && add_chain(reply.key_deltas, key_deltas_.since(q.have[i], whole))) ||
          (r == Register::routing && add_chain(reply.routing_deltas, routing_deltas_.since(q.have[i], whole)));
      if (!by_delta) reply.newer.emplace_back(r, held_[i]);
    }
    co_return reply;
  }

  template <class Delta>
  static bool add_chain(std::vector<Delta>& to, std::optional<std::vector<Delta>> chain) {
    if (!chain) return false;
    to = std::move(*chain);
    return true;
  }

  Revisions revisions() const {
    Revisions all{};
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = held_[i].revision;
    return all;
  }

  Task<bool> read_all() {
    Instant const deadline = env_.now() + read_timeout;
    // Usually nothing has changed, and one request shows that for all registers.
    std::optional<Revisions> const newest = co_await register_client_.newest_revisions(deadline);
    bool all = true;
    for (Register const r : published_registers) {
      bool const current = newest && (*newest)[static_cast<std::size_t>(r)] <= held(r).revision;
      bool const done = current || co_await read_one(r, deadline);
      all = all && done;
    }
    co_return all;
  }

  Task<bool> read_one(Register const r, Instant const deadline) {
    bool const large = r == Register::keys && held(r).revision > 0;
    if (large) {
      bool const current = co_await confirm_keys(std::min(deadline, env_.now() + passive_read_timeout));
      if (current) co_return true;
    }
    RegisterValue const known = held(r);
    Result<RegisterValue> const h = co_await register_client_.read(r, known, deadline);
    if (h) apply(r, *h);
    co_return h.has_value();
  }

  // A newly written key table arrives as a delta from the registry that wrote it; the whole table is read only if
  // that delta doesn't arrive in time.
  Task<bool> confirm_keys(Instant const deadline) {
    Result<ConfirmedRevision> const newest =
        co_await register_client_.confirm_revision(Register::keys, held(Register::keys).revision, deadline);
    if (!newest) co_return false;
    Instant const until = env_.now() + delta_timeout;
    while (held(Register::keys).revision < newest->revision && env_.now() < until)
      co_await sleep_for(env_, delta_timeout / 4);
    co_return held(Register::keys).revision >= newest->revision;
  }

  // Lease epochs start from a round number of the register that was never issued before, so they never repeat.
  Task<void> establish_epoch_floor() {
    while (!lease_.has_floor()) {
      Result<std::uint64_t> const round = co_await register_client_.next_number(Register::routing, env_.now() + 2s);
      if (round)
        lease_.set_floor(broken_on_purpose("epochs_start_again") ? 1 : *round << 20);
      else
        co_await sleep_for(env_, 200ms);
    }
  }

  Task<LeaseReply> lease(LeaseRequest q) { co_return lease_.ask(q); }

  // ---- other registries

  Task<RegistryExchangeReply> meet(RegistryExchange q) {
    directory_.learn_addresses(q.registries, env_.now());
    RegistryExchangeReply reply;
    reply.registries = directory_.entries_with_ages(env_.now());
    std::size_t const cores = settings_.voters.empty() ? directory_.entries().size() : settings_.voters.size();
    reply.registry_count = static_cast<std::uint32_t>(cores);
    co_return reply;
  }

  // One task for each peer, so that a peer that hangs doesn't delay the others.
  Task<void> meet_one(Address const peer) {
    Instant const asked = env_.now();
    RegistryExchange const question{directory_.entries_with_ages(asked)};
    Result<RegistryExchangeReply> const r = co_await ask(env_, peer, question, asked + meet_timeout);
    if (!r) co_return;
    directory_.record_contact(peer, env_.now());
    directory_.learn_answer(r->registries, asked, env_.now());
  }

  Task<void> meet_loop() {
    for (std::uint64_t round = 0;; ++round) {
      std::set<Address> peers(settings_.seeds.begin(), settings_.seeds.end());
      bool const also_silent = round % rounds_per_silent_peer_check == 0;
      for (RegistryEntry const& e : directory_.entries())
        if (also_silent || directory_.alive(e.address, env_.now())) peers.insert(e.address);
      peers.erase(settings_.address);
      for (Address const& peer : peers) spawn(env_, meet_one(peer));
      directory_.forget_silent(env_.now());
      if (settings_.voters.empty())
        register_client_.add_contacts(
            colocated_stores(std::vector<Address>(peers.begin(), peers.end()), settings_.store_port));
      co_await sleep_for(env_, directory_.entries().size() < 2 ? Duration(200ms) : timing_.registry_exchange_every);
    }
  }

  template <class Q>
  void send_to_registries(Q const& q) {
    SharedBytes const raw = pack_shared(q);
    for (Address const& a : directory_.live(env_.now()))
      if (a != settings_.address) env_.tell_raw(a, Q::kind, raw);
  }

  // ---- zone entries exchanged between registries

  bool serves(std::string const& zone) const { return directory_.registry_of(zone, env_.now()) == settings_.address; }

  Task<NoReply> receive_announcement(ZoneAnnouncement q) {
    directory_.record_contact(q.sender, env_.now() - max_message_delay);
    auto const feed = feeds_.find(q.entry.zone);
    bool const kept_here = feed != feeds_.end() && feed->second->has_nodes() && serves(q.entry.zone);
    ZoneEntry const* const newer = kept_here ? nullptr : entries_.accept(std::move(q), env_.now());
    if (newer != nullptr) distribute_entry(*newer);
    co_return NoReply{};
  }

  void distribute_entry(ZoneEntry const& entry) {
    for (auto const& [zone, feed] : feeds_) feed->update_zone_entry(entry);
  }

  void send_entries() {
    for (auto const& [zone, feed] : feeds_) {
      bool const known = feed->warm() && feed->had_nodes() && serves(zone);
      std::optional<ZoneAnnouncement> announcement;
      if (known) announcement = entries_.due(zone, feed->position(), env_.now(), [&] { return feed->entry(); });
      if (!announcement) continue;
      announcement->sender = settings_.address;
      distribute_entry(announcement->entry);
      send_to_registries(*announcement);
    }
  }

  // ---- zone feeds

  std::shared_ptr<ZoneFeed<Env>> make_feed(std::string const& zone) {
    FeedSettings settings{zone, settings_.id, settings_.address, timing_};
    FeedSources sources{[this] { return has_quorum_reading(); }, [this] { return revisions(); }};
    std::shared_ptr<ZoneFeed<Env>> const feed =
        std::make_shared<ZoneFeed<Env>>(env_, std::move(settings), std::move(sources));
    entries_.for_each([&](ZoneEntry const& entry) { feed->update_zone_entry(entry); });
    return feed;
  }

  std::shared_ptr<ZoneFeed<Env>> feed_of(std::string const& zone) const {
    auto const it = feeds_.find(zone.empty() ? settings_.zone : zone);
    return it == feeds_.end() ? nullptr : it->second;
  }

  std::vector<Member> served_nodes() const {
    std::vector<Member> all;
    for (auto const& [zone, feed] : feeds_)
      for (auto const& [id, m] : feed->view().members)
        if (m.role != Role::registry) all.push_back(m);
    return all;
  }

  Task<JoinReply> join(Join q) {
    std::string const zone = q.self.zone;
    JoinReply reply;
    if (zone.empty()) co_return reply;
    if (!serves(zone)) {
      reply.registry = directory_.registry_of(zone, env_.now());
      reply.registry_zone = directory_.zone_of(reply.registry);
      co_return reply;
    }
    std::shared_ptr<ZoneFeed<Env>> feed = feed_of(zone);
    // Right after this registry's start the zone's own registry may still be starting.
    if (!feed && env_.now() - started_ < adopt_after) co_return reply;
    if (!feed) {
      feed = make_feed(zone);
      feeds_[zone] = feed;
      log_info("zone_adopted", {{"zone", zone}});
    }
    co_return feed->join(std::move(q));
  }

  Task<FollowReply> follow(Follow q) {
    FollowReply reply;
    std::shared_ptr<ZoneFeed<Env>> const feed = feed_of(q.zone);
    if (!feed || (!q.zone.empty() && !serves(q.zone))) co_return reply;
    reply = feed->follow(q);
    bool const foreign = q.zone.empty() && reply.snapshot && feed->had_nodes();
    if (foreign) reply.snapshot->zones.push_back(feed->entry());
    co_return reply;
  }

  Task<NoReply> on_heartbeat(Heartbeat q) {
    std::shared_ptr<ZoneFeed<Env>> const feed = feed_of(q.zone);
    if (feed) feed->on_heartbeat(q);
    co_return NoReply{};
  }

  Task<NoReply> suspect(Suspect q) {
    std::shared_ptr<ZoneFeed<Env>> const feed = feed_of(q.zone);
    if (feed) feed->suspect(q);
    co_return NoReply{};
  }

  Task<void> pulse_loop() {
    while (true) {
      co_await sleep_for(env_, timing_.pulse_every);
      for (auto const& [zone, feed] : feeds_) feed->pulse();
      send_entries();
    }
  }

  Task<void> watch_loop() {
    while (true) {
      co_await sleep_for(env_, timing_.heartbeat_every);
      for (auto const& [zone, feed] : feeds_)
        if (feed == own_feed_ || serves(zone)) feed->watch();
      drop_empty_feeds();
      for (ZoneEntry const& gone : entries_.forget(env_.now())) distribute_entry(gone);
    }
  }

  void drop_empty_feeds() {
    std::erase_if(feeds_, [&](auto const& f) {
      if (f.second == own_feed_ || f.second->empty_for() < timing_.drop_empty_after) return false;
      log_info("zone_dropped", {{"zone", f.first}});
      entries_.stop(f.first);
      return true;
    });
  }

  Env& env_;
  RegistrySettings const settings_;
  FeedTiming const& timing_;
  RegisterClient<Env> register_client_;
  LeaseVoter<Env> lease_;
  Instant const started_;
  RecentErrors recent_errors_;
  RegistryDirectory directory_;
  std::array<RegisterValue, register_count> held_;
  DeltaHistory<KeyDelta> key_deltas_;       // up to the current key table, if any
  DeltaHistory<TextDelta> routing_deltas_;  // up to the current configuration, if any
  bool leaving_ = false;
  std::shared_ptr<ZoneFeed<Env>> own_feed_;
  std::map<std::string, std::shared_ptr<ZoneFeed<Env>>> feeds_;
  ZoneEntries entries_;
  SharedReading<Env> reading_;
  OperatorInterface<Env> operators_;
};

}  // namespace banktide
