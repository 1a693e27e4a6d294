// The control plane of one cell: its members, their beats and the news that
// goes down the relay tree; the outside calls of operators; the coordinating
// side of the register; and one vote on the leases of key slices. Everything
// here but the register is memory: a registry that starts again takes its cell
// from the nodes, and publishes nothing of it until they had time to join.
#pragma once

#include "coordination/lease_voter.hpp"
#include "coordination/register_client.hpp"
#include "coordination/ring.hpp"
#include "protocol/http_words.hpp"
#include "state/catalogue_edit.hpp"
#include "state/cell_view.hpp"
#include "state/journal.hpp"
#include "state/layout.hpp"
#include "state/mishaps.hpp"
#include "state/slice_moves.hpp"
#include "state/view_json.hpp"

#include <map>

namespace banktide {

struct RegistrySettings {
  std::string id;
  std::string cell;
  Address address;
  std::vector<Address> seeds;
  std::vector<Address> voters;
};

struct Proposal {
  Register reg{};
  std::string bytes;
  std::optional<Json> change;  // to the newest catalogue, in place of bytes
  std::string match, request;
};

struct Verdict {
  Register reg{};
  std::uint16_t status = 0;
  std::string word;  // acknowledged, refused, not-taken or unknown
  Revision revision = 0;
  std::string request;
  Mishap mishap;

  Json json() const {
    Json j = {{"register", register_name(reg)}, {"request", request}, {"verdict", word}};
    if (revision > 0) j["revision"] = revision;
    if (word == "acknowledged") return j;
    j["step"] = mishap.step;
    j[word == "refused" ? "pointer" : "peer"] = mishap.peer;
    j["error"] = mishap.reason;
    if (word == "unknown") j["advice"] = "ask with GET, or repeat with the same banktide-request";
    return j;
  }
};

template <Surroundings W>
class Registry {
 public:
  Registry(W& w, RegistrySettings s)
      : w_(w), s_(std::move(s)), register_(w, s_.voters), lease_(w), epoch_(w.chance()() | 1), started_(w.now()) {
    Member self{s_.id, s_.cell, s_.address, Role::registry, 1, Standing::fit};
    publish_member(self);
  }

  void start(Desk& desk) {
    desk.on<Join>([this](Join q) { return join(std::move(q)); });
    desk.on<Follow>([this](Follow q) { return follow(q); });
    desk.on<LayoutsAsk>([this](LayoutsAsk q) { return layouts(q); });
    desk.on<Meet>([this](Meet q) { return meet(std::move(q)); });
    desk.on<Beat>([this](Beat q) { return beat(std::move(q)); });
    desk.on<Suspect>([this](Suspect q) { return suspect(std::move(q)); });
    desk.on<CellTold>([this](CellTold q) { return cell_told(std::move(q)); });
    desk.on<Chosen>([this](Chosen q) { return chosen(std::move(q)); });
    desk.on<LeaseAsk>([this](LeaseAsk q) { return lease(std::move(q)); });
    desk.on<DecisionsAsk>([this](DecisionsAsk q) { return decisions(std::move(q)); });
    desk.on<StateAsk>([this](StateAsk q) { return state(q); });
    learn({RegistryEntry{s_.cell, s_.address}});
    spawn(w_, keep_meeting());
    spawn(w_, keep_reading());
    spawn(w_, find_floor());
    spawn(w_, keep_pulsing());
    spawn(w_, keep_watching());
  }

  bool ready() const { return vouched() && warm() && !leaving_; }
  void leave() { leaving_ = true; }
  CellView const& view() const { return view_; }
  Held const& held(Register const r) const { return held_[static_cast<std::size_t>(r)]; }

  // What an operator proposes, through whichever door: whole bytes of a
  // register, or a change to the newest catalogue.
  Task<Verdict> propose(Proposal p) {
    ++proposing_;
    Verdict const v = co_await settle(std::move(p));
    --proposing_;
    co_return v;
  }
  bool idle() const { return proposing_ == 0; }

  Task<Verdict> settle(Proposal p) {
    Verdict v;
    v.reg = p.reg;
    if (p.request.size() > 128)
      co_return refused(v, 400, Mishap{"check_request", "", "banktide-request is over 128 bytes", Proof::not_run});
    if (p.request.empty()) p.request = "auto-" + std::to_string(w_.chance()()) + std::to_string(w_.chance()());
    v.request = p.request;
    std::optional<Revision> expected;
    if (!p.match.empty()) {
      std::string const digits = p.match.size() > 2 && p.match.front() == '"' && p.match.back() == '"'
                                     ? p.match.substr(1, p.match.size() - 2)
                                     : p.match;
      if (digits.empty() || digits.size() > 19 || digits.find_first_not_of("0123456789") != std::string::npos)
        co_return refused(v, 400, Mishap{"check_if_match", "", "If-Match must be a revision", Proof::not_run});
      expected = std::stoull(digits);
    }
    Layout layout;
    if (broken_on_purpose("takes_bad_revisions")) {
    } else if (p.reg == Register::routing) {
      Result<Layout> const l = Layout::read(p.bytes);
      if (!l) co_return bad_revision(v, l.error());
      Result<Held> const catalogue =
          co_await register_.read(Register::catalogue, held(Register::catalogue), w_.now() + 2s);
      if (!catalogue) co_return not_taken(v, catalogue.error());
      take(Register::catalogue, *catalogue);
      Result<Catalogue> const c =
          catalogue->revision > 0 ? Catalogue::read(catalogue->bytes, *l) : Result<Catalogue>(Catalogue{});
      if (!c)
        co_return bad_revision(v, Mishap{"check_catalogue", c.error().peer,
                                         "catalogue revision " + std::to_string(catalogue->revision) +
                                             " would not fit: " + c.error().reason,
                                         Proof::not_run});
    } else {
      Result<Held> const routing = co_await register_.read(Register::routing, held(Register::routing), w_.now() + 2s);
      if (!routing) co_return not_taken(v, routing.error());
      if (routing->revision == 0)
        co_return bad_revision(v, Mishap{"check_references", "", "there is no routing revision yet", Proof::not_run});
      take(Register::routing, *routing);
      Result<Layout> l = Layout::read(routing->bytes);
      if (!l) co_return bad_revision(v, l.error());
      layout = std::move(*l);
      Result<Catalogue> const c = p.change ? Result<Catalogue>(Catalogue{}) : Catalogue::read(p.bytes, layout);
      if (!c) co_return bad_revision(v, c.error());
    }
    Revision newest = 0;
    Result<Held> done =
        co_await register_.change(p.reg, p.request, w_.now() + 5s, [&](Held const& now) -> Result<Held> {
          newest = now.revision;
          if (expected && *expected != now.revision)
            return mishap("check_if_match", "", "the newest revision is " + std::to_string(now.revision),
                          Proof::not_run);
          Held next = now;
          if (p.change) {
            Result<std::string> edited = edit_catalogue(now.bytes, *p.change, layout);
            if (!edited) return tl::unexpected<Mishap>(edited.error());
            next.bytes = std::move(*edited);
          } else {
            next.bytes = p.bytes;
          }
          next.revision = now.revision + 1;
          next.digest = digest_of(next.bytes);
          return next;
        });
    v.revision = newest;
    bool const checked = !done && done.error().step.starts_with("check_") && done.error().proof == Proof::not_run;
    if (checked && done.error().step == "check_if_match") co_return refused(v, 412, done.error());
    if (checked) co_return bad_revision(v, done.error());
    if (!done) {
      note("put_" + register_name(p.reg), done.error());
      bool const nothing = done.error().proof == Proof::not_run;
      v.status = nothing ? 503 : 504;
      v.word = nothing ? "not-taken" : "unknown";
      v.mishap = done.error();
      co_return v;
    }
    take(p.reg, *done);
    for (RegistryEntry const& e : directory_)
      if (e.address != s_.address) tell(w_, e.address, Chosen{p.reg, *done});
    v.revision = done->revision;
    for (auto const& [id, revision] : done->requests)
      if (id == p.request) v.revision = revision;
    v.status = 200;
    v.word = "acknowledged";
    log_info("revision_acknowledged",
             {{"register", register_name(p.reg)}, {"revision", std::to_string(v.revision)}, {"request", p.request}});
    co_return v;
  }

  bool leaving() const { return leaving_; }
  W& world() { return w_; }
  std::vector<RegistryEntry> const& directory() const { return directory_; }
  Address const& address() const { return s_.address; }

  // Decisions of this cell's nodes, as far as they answer in time.
  Task<DecisionsReply> decisions(DecisionsAsk q) {
    std::vector<Address> nodes;
    std::vector<std::string> ids;
    for (auto const& [id, m] : view_.members)
      if (m.role != Role::registry) {
        nodes.push_back(m.address);
        ids.push_back(id);
      }
    auto replies = co_await ask_all<DecisionsAsk>(w_, nodes, q, w_.now() + 250ms, [](auto const&) { return false; });
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

  // This cell as its registry sees it, with every node's own state.
  Task<StateReply> state(StateAsk q) {
    Json j = {{"registry", s_.id},
              {"cell", s_.cell},
              {"epoch", epoch_},
              {"position", journal_.last()},
              {"routing", held(Register::routing).revision},
              {"catalogue", held(Register::catalogue).revision},
              {"vouched", vouched()},
              {"ready", ready()},
              {"nodes", Json::array()},
              {"silent", Json::array()},
              {"grants", Json::array()}};
    for (auto const& [slice, g] : lease_.grants())
      if (g.until > w_.now())
        j["grants"].push_back({{"service", slice.service},
                               {"mapping", slice.mapping},
                               {"slice", slice.slice},
                               {"holder", g.holder},
                               {"epoch", g.epoch},
                               {"ends_in_ms", as_ms(g.until - w_.now())}});
    if (q.with_nodes) {
      std::vector<Address> nodes;
      std::vector<std::string> ids;
      for (auto const& [id, m] : view_.members)
        if (m.role != Role::registry) {
          nodes.push_back(m.address);
          ids.push_back(id);
        }
      StateAsk const question{false};
      auto const replies =
          co_await ask_all<StateAsk>(w_, nodes, question, w_.now() + 400ms, [](auto const&) { return false; });
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

  // Every cell's state, from its own registry; a cell that doesn't answer is
  // named as silent.
  Task<Json> whole_fleet() {
    std::vector<Address> others;
    std::set<std::string> silent;
    for (RegistryEntry const& e : directory_)
      if (e.address != s_.address) {
        others.push_back(e.address);
        silent.insert(e.cell);
      }
    StateAsk const question{true};
    auto const replies =
        co_await ask_all<StateAsk>(w_, others, question, w_.now() + 800ms, [](auto const&) { return false; });
    StateReply const own = co_await state(question);
    Json j = {{"cells", Json::array({Json::parse(own.json)})}};
    for (auto const& [i, r] : replies) {
      Json const cell = r ? Json::parse(r->json, nullptr, false) : Json();
      if (!cell.is_object() || !cell.contains("cell")) continue;
      silent.erase(cell["cell"].get<std::string>());
      j["cells"].push_back(cell);
    }
    j["silent"] = silent;
    co_return j;
  }

  // Where each slice is, where it should be, and what it waits for.
  Task<Json> moves() {
    Json const fleet = co_await whole_fleet();
    Result<Layout> const layout = Layout::read(held(Register::routing).bytes);
    if (!layout) co_return Json{{"slices", Json::array()}, {"error", "there is no routing revision yet"}};
    Result<Catalogue> const catalogue = held(Register::catalogue).revision > 0
                                            ? Catalogue::read(held(Register::catalogue).bytes, *layout, true)
                                            : Result<Catalogue>(Catalogue{});
    co_return slice_moves(fleet, *layout, catalogue ? *catalogue : Catalogue{});
  }

  // The operator's interface.
  Task<HttpReply> operate(HttpRequest q) {
    std::string const path = q.target.substr(0, q.target.find('?'));
    if (path == "/live") co_return json_reply(200, {{"live", true}});
    if (path == "/ready")
      co_return json_reply(ready() ? 200 : 503,
                           {{"ready", ready()}, {"vouched", vouched()}, {"warm", warm()}, {"leaving", leaving_}});
    if (path == "/fleet" && q.method == "GET") co_return json_reply(200, fleet());
    if (path == "/mishaps" && q.method == "GET") co_return json_reply(200, mishaps_.json());
    if (path == "/nodes" && q.method == "GET") co_return json_reply(200, co_await whole_fleet());
    if (path == "/moves" && q.method == "GET") co_return json_reply(200, co_await moves());
    for (Register const r : all_registers) {
      if (path != "/" + register_name(r)) continue;
      if (q.method == "GET") co_return co_await get(r);
      if (q.method == "PUT") co_return co_await put(r, std::move(q));
      HttpReply no = json_reply(405, {{"error", "use GET or PUT"}});
      no.headers.push_back({"Allow", "GET, PUT"});
      co_return no;
    }
    co_return json_reply(404, {{"error", "no such resource"}, {"path", path}});
  }

 private:
  static constexpr Duration vouched_for = 600ms;
  static constexpr Duration warm_up = 1500ms;
  static constexpr Duration pulse_every = 150ms;
  static constexpr Duration suspect_after = 1200ms;
  static constexpr Duration dead_after = 2500ms;

  bool warm() const { return w_.now() - started_ >= warm_up; }
  Position position() const { return Position{epoch_, journal_.last()}; }

  // ---- operator calls

  static std::string quoted(Revision const r) { return "\"" + std::to_string(r) + "\""; }

  Task<HttpReply> get(Register const r) {
    Result<Held> h = co_await register_.read(r, held(r), w_.now() + 2s);
    if (!h) co_return not_vouched(h.error());
    take(r, *h);
    if (h->revision == 0) co_return json_reply(404, {{"error", "nothing was ever put"}, {"revision", 0}});
    HttpReply reply;
    reply.status = 200;
    reply.headers = {{"Content-Type", "application/json"},
                     {"ETag", quoted(h->revision)},
                     {"banktide-revision", std::to_string(h->revision)}};
    reply.body = h->bytes;
    co_return reply;
  }

  HttpReply not_vouched(Mishap const& m) {
    note("register", m);
    HttpReply reply = json_reply(
        503,
        {{"error", "no majority vouches for a reading"}, {"step", m.step}, {"peer", m.peer}, {"reason", m.reason}});
    reply.headers.push_back({"Retry-After", "1"});
    return reply;
  }

  Task<HttpReply> put(Register const r, HttpRequest q) {
    Proposal proposal{r, std::move(q.body), std::nullopt, header_of(q, "If-Match"), header_of(q, "banktide-request")};
    Verdict const v = co_await propose(std::move(proposal));
    HttpReply reply = json_reply(v.status, v.json());
    if (v.status == 200) reply.headers.push_back({"ETag", quoted(v.revision)});
    if (v.status >= 500) reply.headers.push_back({"Retry-After", "1"});
    co_return reply;
  }

  static Verdict refused(Verdict v, std::uint16_t const status, Mishap const& m) {
    v.status = status;
    v.word = "refused";
    v.mishap = m;
    return v;
  }
  Verdict bad_revision(Verdict v, Mishap const& m) {
    note("bad_revision", m);
    return refused(std::move(v), m.step == "check_size" ? 413 : m.step == "parse_json" ? 400 : 422, m);
  }
  Verdict not_taken(Verdict v, Mishap const& m) {
    note("register", m);
    v.status = 503;
    v.word = "not-taken";
    v.mishap = m;
    return v;
  }

  Json fleet() const {
    Json j = view_json(view_);
    j["cell"] = s_.cell;
    j["registry"] = s_.id;
    j["epoch"] = epoch_;
    j["position"] = journal_.last();
    j["routing"] = held(Register::routing).revision;
    j["catalogue"] = held(Register::catalogue).revision;
    j["vouched"] = vouched();
    Json registries = Json::array();
    for (RegistryEntry const& e : directory_) registries.push_back({{"cell", e.cell}, {"address", e.address}});
    j["registries"] = registries;
    return j;
  }

  void note(std::string const& what, Mishap const& m) { mishaps_.note(w_.now() - started_, what, m); }

  // ---- layouts

  void take(Register const r, Held const& h) {
    Held& mine = held_[static_cast<std::size_t>(r)];
    if (h.revision <= mine.revision) return;
    mine = h;
    log_info("revision_known", {{"register", register_name(r)}, {"revision", std::to_string(h.revision)}});
    News n = pulse();
    n.layouts.emplace_back(r, mine);
    send_down(n);
  }

  Task<Told> chosen(Chosen q) {
    if (static_cast<std::uint8_t>(q.reg) < 2) take(q.reg, q.held);
    co_return Told{};
  }

  Task<LayoutsReply> layouts(LayoutsAsk q) {
    if (q.fresh || !vouched()) co_await read_all(300ms);
    LayoutsReply reply;
    reply.known = vouched();
    reply.routing = held(Register::routing).revision;
    reply.catalogue = held(Register::catalogue).revision;
    if (reply.routing > q.routing) reply.newer.emplace_back(Register::routing, held(Register::routing));
    if (reply.catalogue > q.catalogue) reply.newer.emplace_back(Register::catalogue, held(Register::catalogue));
    co_return reply;
  }

  // A reading counts from when it was asked for.
  Task<void> read_all(Duration const patience) {
    Instant const asked = w_.now();
    bool all = true;
    for (Register const r : all_registers) {
      Result<Held> h = co_await register_.read(r, held(r), asked + patience);
      if (h) take(r, *h);
      all = all && h.has_value();
    }
    if (all) vouched_at_ = std::max(vouched_at_, asked);
  }
  bool vouched() const { return w_.now() - vouched_at_ < vouched_for; }

  // Lease epochs go on from a number that the register has never given before.
  Task<void> find_floor() {
    while (!lease_.floored()) {
      Result<std::uint64_t> const round = co_await register_.rise(Register::routing, w_.now() + 2s);
      if (round)
        lease_.set_floor(broken_on_purpose("epochs_start_again") ? 1 : *round << 20);
      else
        co_await sleep_for(w_, 200ms);
    }
  }

  Task<void> keep_reading() {
    while (true) {
      co_await read_all(1s);
      co_await sleep_for(w_, 200ms);
    }
  }

  // ---- other registries

  void learn(std::vector<RegistryEntry> const& entries) {
    for (RegistryEntry const& e : entries)
      if (directory_.size() < 256 && std::find(directory_.begin(), directory_.end(), e) == directory_.end())
        directory_.push_back(e);
  }

  Task<MeetReply> meet(Meet q) {
    learn(q.registries);
    co_return MeetReply{directory_, static_cast<std::uint32_t>(s_.voters.size())};
  }

  Task<void> keep_meeting() {
    while (true) {
      std::vector<Address> peers = s_.seeds;
      for (RegistryEntry const& e : directory_)
        if (e.address != s_.address && std::find(peers.begin(), peers.end(), e.address) == peers.end())
          peers.push_back(e.address);
      Meet const question{directory_};
      auto const replies =
          co_await ask_all<Meet>(w_, peers, question, w_.now() + 500ms, [](auto const&) { return false; });
      for (auto const& [i, r] : replies)
        if (r) learn(r->registries);
      co_await sleep_for(w_, directory_.size() < 2 ? 200ms : 1000ms);
    }
  }

  Task<Told> cell_told(CellTold q) {
    auto const it = view_.cells.find(q.entry.cell);
    if (q.entry.cell != s_.cell && (it == view_.cells.end() || !(it->second == q.entry)))
      publish(Change{0, std::nullopt, std::nullopt, q.entry});
    co_return Told{};
  }

  CellEntry own_entry() const {
    CellEntry e;
    e.cell = s_.cell;
    for (auto const& [id, m] : view_.members)
      if (m.role == Role::gateway && m.standing == Standing::fit) e.gateways.push_back(m);
    std::set<std::string> offers;
    for (auto const& [key, b] : view_.backends)
      if (b.standing == Standing::fit && view_.usable_node(b.node)) offers.insert(b.service);
    e.offers.assign(offers.begin(), offers.end());
    return e;
  }

  // ---- news of the cell

  void publish(Change c) {
    c.seq = journal_.last() + 1;
    journal_.append(c);
    view_.fold(c);
    if (warm()) unsent_.push_back(std::move(c));
    if (unsent_.size() == 1 && !flushing_) {
      flushing_ = true;
      spawn(w_, flush_soon());
    }
  }
  void publish_member(Member const& m) { publish(Change{0, m, std::nullopt, std::nullopt}); }

  // Changes of one moment go in one piece of news.
  Task<void> flush_soon() {
    co_await sleep_for(w_, 2ms);
    flushing_ = false;
    News n = pulse();
    n.changes = std::move(unsent_);
    unsent_.clear();
    send_down(n);
  }

  News pulse() {
    News n;
    n.at = position();
    n.pulse = ++pulse_;
    n.vouched = vouched();
    n.routing = held(Register::routing).revision;
    n.catalogue = held(Register::catalogue).revision;
    return n;
  }

  std::vector<std::string> nodes() const {
    std::vector<std::string> ids;
    for (auto const& [id, m] : view_.members)
      if (m.role != Role::registry) ids.push_back(id);
    return ring_order(ids);
  }

  void send_down(News const& n) {
    if (!warm()) return;
    for (std::string const& id : relays_below("", nodes())) tell(w_, view_.members.at(id).address, n);
  }

  Task<void> keep_pulsing() {
    std::uint64_t round = 0;
    while (true) {
      co_await sleep_for(w_, pulse_every);
      if (unsent_.empty()) send_down(pulse());
      if (warm() && ++round % 2 == 0)
        for (RegistryEntry const& e : directory_)
          if (e.cell != s_.cell) tell(w_, e.address, CellTold{own_entry()});
    }
  }

  Task<FollowReply> follow(Follow q) {
    FollowReply reply;
    reply.known = warm();
    if (!reply.known) co_return reply;
    reply.at = position();
    std::optional<std::vector<Change>> changes;
    if (q.have.epoch == epoch_) changes = journal_.since(q.have.seq);
    if (changes)
      reply.changes = std::move(*changes);
    else
      reply.snapshot = view_.snapshot(position());
    co_return reply;
  }

  // ---- members

  Task<JoinReply> join(Join q) {
    JoinReply reply;
    reply.epoch = epoch_;
    if (q.self.cell != s_.cell || q.self.id.empty() || q.self.id == s_.id || q.backends.size() > 1000) co_return reply;
    auto const it = view_.members.find(q.self.id);
    if (it != view_.members.end() && q.self.standing == Standing::fit && it->second.standing == Standing::suspected &&
        q.self.incarnation <= it->second.incarnation) {
      reply.incarnation = it->second.incarnation + 1;  // refute with this
      co_return reply;
    }
    heard_[q.self.id] = w_.now();
    if (it == view_.members.end() || !(it->second == q.self)) {
      log_info("member", {{"id", q.self.id},
                          {"standing", standing_name(q.self.standing)},
                          {"incarnation", std::to_string(q.self.incarnation)}});
      publish_member(q.self);
    }
    std::set<std::pair<std::string, std::string>> named;
    for (BackendRecord& b : q.backends) {
      b.node = q.self.id;
      named.insert({b.service, b.instance});
      auto const at = view_.backends.find({b.service, b.instance});
      if (at == view_.backends.end() || !(at->second == b)) publish(Change{0, std::nullopt, b, std::nullopt});
    }
    std::vector<BackendRecord> gone;
    for (auto const& [key, b] : view_.backends)
      if (b.node == q.self.id && !named.contains(key)) gone.push_back(b);
    for (BackendRecord& b : gone) {
      b.standing = Standing::dead;
      publish(Change{0, std::nullopt, b, std::nullopt});
    }
    reply.taken = true;
    reply.incarnation = q.self.incarnation;
    co_return reply;
  }

  std::vector<std::string> ring() const {
    std::vector<std::string> ids;
    for (auto const& [id, m] : view_.members) ids.push_back(id);
    return ring_order(ids);
  }

  Task<Told> beat(Beat q) {
    heard_[q.id] = w_.now();
    co_return Told{};
  }

  Task<Told> suspect(Suspect q) {
    auto const it = view_.members.find(q.id);
    if (it != view_.members.end() && it->second.incarnation == q.incarnation && it->second.standing == Standing::fit &&
        it->second.role != Role::registry) {
      Member m = it->second;
      m.standing = Standing::suspected;
      suspected_[m.id] = w_.now();
      log_info("member", {{"id", m.id}, {"standing", "suspected"}, {"by", q.by}});
      publish_member(m);
    }
    co_return Told{};
  }

  Task<void> keep_watching() {
    Instant last = w_.now();
    while (true) {
      co_await sleep_for(w_, 200ms);
      Instant const now = w_.now();
      bool const overslept = now - last > 800ms;  // we were frozen: nobody else was silent
      last = now;
      std::vector<std::string> const order = ring();
      for (std::string const& id : watchers_of(s_.id, order))
        tell(w_, view_.members.at(id).address, Beat{s_.id, s_.address, 1, warm() ? position() : Position{}});
      std::vector<Member> dead;
      for (auto const& [id, m] : view_.members) {
        if (m.role == Role::registry) continue;
        std::vector<std::string> const w = watchers_of(id, order);
        if (std::find(w.begin(), w.end(), s_.id) == w.end() || overslept) heard_.try_emplace(id, now);
        if (overslept) heard_[id] = now;
        bool const watched = std::find(w.begin(), w.end(), s_.id) != w.end();
        if (!watched) {
          heard_[id] = std::max(heard_[id], now - suspect_after / 2);
        } else if (heard_.try_emplace(id, now).first->second + suspect_after < now && m.standing == Standing::fit) {
          spawn(w_, [](Registry& self, Suspect q) -> Task<void> {
            co_await self.suspect(std::move(q));
          }(*this, Suspect{id, m.incarnation, s_.id}));
        }
        if (m.standing == Standing::suspected && now - suspected_[id] > dead_after) dead.push_back(m);
        if (m.standing == Standing::leaving && now - heard_[id] > suspect_after && watched) dead.push_back(m);
      }
      for (Member& m : dead) {
        m.standing = Standing::dead;
        log_info("member", {{"id", m.id}, {"standing", "dead"}});
        publish_member(m);
        heard_.erase(m.id);
        suspected_.erase(m.id);
      }
    }
  }

  Task<LeaseReply> lease(LeaseAsk q) { co_return lease_.ask(q); }

  W& w_;
  RegistrySettings const s_;
  RegisterClient<W> register_;
  LeaseVoter<W> lease_;
  std::uint64_t const epoch_;
  Instant const started_;
  Journal<Change> journal_{4096};
  Mishaps mishaps_;
  CellView view_;
  std::array<Held, 2> held_;
  bool leaving_ = false;
  std::size_t proposing_ = 0;
  bool flushing_ = false;
  Instant vouched_at_{};
  std::uint64_t pulse_ = 0;
  std::vector<Change> unsent_;
  std::vector<RegistryEntry> directory_;
  std::map<std::string, Instant> heard_, suspected_;
};

}  // namespace banktide
