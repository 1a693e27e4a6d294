// How a node knows its cell and its layouts: it meets the registries, joins its
// own, takes the news that comes down the relay tree and passes it on, beats to
// its watchers on the ring, and asks when it is behind. While its registry is
// gone it asks other cells', for layouts only.
#pragma once

#include "coordination/node_state.hpp"
#include "coordination/ring.hpp"

namespace banktide {

template <Surroundings W>
class CellFollower {
 public:
  explicit CellFollower(NodeState<W>& n) : n_(n), w_(n.w), s_(n.s) {}

  void start(Desk& desk) {
    desk.on<Meet>([this](Meet q) { return meet(std::move(q)); });
    desk.on<News>([this](News q) { return news(std::move(q)); });
    desk.on<Follow>([this](Follow q) { return follow(q); });
    desk.on<Beat>([this](Beat q) { return beaten(std::move(q)); });
    spawn(w_, keep_meeting());
    spawn(w_, keep_joined());
    spawn(w_, keep_fresh());
    spawn(w_, keep_beating());
  }

  Position at() const { return at_; }

 private:
  static constexpr Duration pulse_missed = 600ms;
  static constexpr Duration suspect_after = 1200ms;

  void learn(std::vector<RegistryEntry> const& entries) {
    for (RegistryEntry const& e : entries)
      if (n_.directory.size() < 256 && std::find(n_.directory.begin(), n_.directory.end(), e) == n_.directory.end())
        n_.directory.push_back(e);
  }

  Task<MeetReply> meet(Meet q) {
    learn(q.registries);
    co_return MeetReply{n_.directory, n_.cores};
  }

  Task<void> keep_meeting() {
    while (true) {
      Meet const question{n_.directory};
      auto const replies =
          co_await ask_all<Meet>(w_, s_.seeds, question, w_.now() + 500ms, [](auto const&) { return false; });
      for (auto const& [i, r] : replies)
        if (r) {
          learn(r->registries);
          n_.cores = std::max(n_.cores, r->cores);
        }
      co_await sleep_for(w_, n_.own_registry().empty() || n_.directory.size() < 2 ? 200ms : 2000ms);
    }
  }

  Task<void> keep_joined() {
    Instant last{};
    while (true) {
      if (!n_.dirty && w_.now() - last < 1s) co_await n_.join_alarm.wait(std::min(w_.now() + 250ms, last + 1s));
      if (!n_.dirty && w_.now() - last < 1s) continue;
      Address const registry = n_.own_registry();
      if (registry.empty()) {
        co_await sleep_for(w_, 100ms);
        continue;
      }
      n_.dirty = false;
      last = w_.now();
      Join q;
      q.self = Member{s_.id,        s_.cell,
                      s_.address,   s_.gateway ? Role::gateway : Role::node,
                      incarnation_, n_.leaving ? Standing::leaving : Standing::fit};
      for (auto const& [key, l] : n_.local) {
        BackendRecord b = l.record;
        b.burden = b.burden / 4 * 4;
        if (w_.now() - l.beaten <= s_.beat_expiry && !l.refused) q.backends.push_back(std::move(b));
      }
      Result<JoinReply> const r = co_await ask(w_, registry, q, w_.now() + 800ms);
      if (r && !r->taken && r->incarnation > incarnation_) {
        incarnation_ = r->incarnation;
        n_.dirty = true;
      }
      if (!r)
        co_await sleep_for(w_, 200ms);
      else
        co_await sleep_for(w_, 10ms);
    }
  }

  void take_layouts(std::vector<std::pair<Register, Held>> const& newer) {
    bool changed = false;
    for (auto const& [r, h] : newer) {
      if (static_cast<std::uint8_t>(r) > 1) continue;
      if (broken_on_purpose("old_catalogue") && r == Register::catalogue && held_[1].revision > 0) continue;
      Held& mine = held_[static_cast<std::size_t>(r)];
      if (h.revision <= mine.revision || digest_of(h.bytes) != h.digest) continue;
      mine = h;
      changed = true;
    }
    if (!changed) return;
    Held const& routing = held_[0];
    Held const& catalogue = held_[1];
    std::shared_ptr<Rules> next = std::make_shared<Rules>();
    if (routing.revision > 0) {
      Result<Layout> l = Layout::read(routing.bytes);
      if (!l) {
        n_.note("layout", l.error());
        return;
      }
      next->layout = std::move(*l);
      next->routing = routing.revision;
    }
    if (catalogue.revision > 0) {
      Result<Catalogue> c = Catalogue::read(catalogue.bytes, next->layout, true);
      if (c)
        next->catalogue = std::move(*c);
      else
        n_.note("catalogue", c.error());
      next->catalogue_revision = catalogue.revision;
    }
    bool const back = broken_on_purpose("slips_back") && next->routing % 7 == 0;
    std::shared_ptr<Rules const> const former = std::exchange(older_, n_.rules);
    n_.rules = back ? former : next;
    log_info("in_force", {{"routing", std::to_string(routing.revision)},
                          {"catalogue", std::to_string(catalogue.revision)},
                          {"at_ms", std::to_string(as_ms(w_.now().time_since_epoch()))}});
  }

  Task<Told> news(News q) {
    take_layouts(q.layouts);
    if (q.at.epoch == pulse_epoch_ && q.pulse <= pulse_) co_return Told{};
    pulse_epoch_ = q.at.epoch;
    pulse_ = q.pulse;
    if (q.vouched) vouched_ = w_.now();
    for (std::string const& id : relays_below(s_.id, nodes()))
      if (n_.view.members.contains(id)) tell(w_, n_.view.members.at(id).address, q);
    fold(q.at, q.changes);
    if (!q.vouched || !(q.at == at_) || q.routing > held_[0].revision || q.catalogue > held_[1].revision) behind();
    co_return Told{};
  }

  void fold(Position const at, std::vector<Change> const& changes) {
    if (at.epoch != at_.epoch) return;
    for (Change const& c : changes) {
      if (c.seq != at_.seq + 1) continue;
      at_.seq = c.seq;
      n_.view.fold(c);
    }
    check_own();
  }

  // If the cell's view has us wrong, say so.
  void check_own() {
    auto const me = n_.view.members.find(s_.id);
    if (me == n_.view.members.end() || me->second.standing != (n_.leaving ? Standing::leaving : Standing::fit))
      n_.touch();
  }

  void behind() {
    is_behind_ = true;
    fresh_alarm_.wake();
  }

  std::vector<std::string> nodes() const {
    std::vector<std::string> ids;
    for (auto const& [id, m] : n_.view.members)
      if (m.role != Role::registry) ids.push_back(id);
    return ring_order(ids);
  }

  Task<bool> catch_up(Address const from) {
    Follow const question{at_};
    Result<FollowReply> r = co_await ask(w_, from, question, w_.now() + 250ms);
    if (!r || !r->known) co_return false;
    if (r->snapshot) {
      n_.view.replace(*r->snapshot);
      at_ = r->snapshot->at;
      check_own();
    } else {
      fold(r->at, r->changes);
    }
    n_.viewed = true;
    co_return true;
  }

  // Layouts from every registry asked that vouches for them.
  Task<bool> catch_up_layouts(std::vector<Address> const from) {
    bool const fresh = !n_.fresh;
    LayoutsAsk const question{held_[0].revision, held_[1].revision, fresh};
    auto const replies = co_await ask_all<LayoutsAsk>(w_, from, question, w_.now() + (fresh ? 1000ms : 400ms),
                                                      [](auto const&) { return false; });
    bool known = false;
    for (auto const& [i, r] : replies) {
      if (!r || !r->known) continue;
      take_layouts(r->newer);
      known = true;
    }
    if (known) n_.fresh = true;
    co_return known;
  }

  // Behind or without a pulse, a node asks its registry. While that is gone, or
  // has no majority to vouch for its layouts, every other cell's is asked for
  // them too: the one way in which cells lean on each other's control planes.
  Task<void> keep_fresh() {
    while (true) {
      if (!is_behind_) co_await fresh_alarm_.wait(w_.now() + 150ms);
      bool const unvouched = w_.now() - vouched_ > pulse_missed;
      if (!is_behind_ && !unvouched && n_.fresh && n_.viewed) continue;
      is_behind_ = false;
      Address const own = n_.own_registry();
      bool const followed = !own.empty() && co_await catch_up(own);
      std::vector<Address> from, others;
      for (RegistryEntry const& e : n_.directory) (e.cell == s_.cell ? from : others).push_back(e.address);
      if ((!followed || unvouched) && !broken_on_purpose("own_registry_only"))
        from.insert(from.end(), others.begin(), others.end());
      bool const layouts = co_await catch_up_layouts(from);
      if (!followed && !n_.viewed && !others.empty() && w_.now() - n_.started > 3s)
        co_await borrow_view(others[w_.chance()() % others.size()]);
      co_await sleep_for(w_, followed && layouts ? 20ms : 150ms);
    }
  }

  // A node that starts while its registry is gone knows no cell mates; it can
  // still cross by what another cell's registry knows.
  Task<void> borrow_view(Address const from) {
    Follow const question{};
    Result<FollowReply> const r = co_await ask(w_, from, question, w_.now() + 400ms);
    if (!r || !r->known || !r->snapshot || n_.viewed) co_return;
    for (CellEntry const& c : r->snapshot->cells)
      if (c.cell != s_.cell) n_.view.cells[c.cell] = c;
    n_.viewed = true;
  }

  Task<FollowReply> follow(Follow) {
    FollowReply reply;
    reply.known = n_.viewed && at_.epoch != 0;
    if (reply.known) reply.snapshot = n_.view.snapshot(at_);
    reply.at = at_;
    co_return reply;
  }

  Task<Told> beaten(Beat q) {
    heard_[q.id] = w_.now();
    if (q.at.epoch == at_.epoch && q.at.seq > at_.seq) behind();
    co_return Told{};
  }

  Task<void> keep_beating() {
    Instant last = w_.now();
    while (true) {
      co_await sleep_for(w_, 200ms);
      Instant const now = w_.now();
      bool const overslept = now - last > 800ms;
      last = now;
      std::vector<std::string> ids;
      for (auto const& [id, m] : n_.view.members) ids.push_back(id);
      std::vector<std::string> const order = ring_order(ids);
      for (std::string const& id : watchers_of(s_.id, order))
        tell(w_, n_.view.members.at(id).address, Beat{s_.id, s_.address, incarnation_, at_});
      Address const registry = n_.own_registry();
      for (auto const& [id, m] : n_.view.members) {
        std::vector<std::string> const watchers = watchers_of(id, order);
        bool const watched = std::find(watchers.begin(), watchers.end(), s_.id) != watchers.end();
        if (!watched || overslept) {
          heard_[id] = now;
          continue;
        }
        if (now - heard_.try_emplace(id, now).first->second > suspect_after && m.standing == Standing::fit &&
            m.role != Role::registry && !registry.empty())
          tell(w_, registry, Suspect{id, m.incarnation, s_.id});
      }
      std::erase_if(heard_, [&](auto const& h) { return !n_.view.members.contains(h.first); });
    }
  }

  NodeState<W>& n_;
  W& w_;
  ProxySettings& s_;
  typename W::Alarm fresh_alarm_{w_};
  std::array<Held, 2> held_;
  std::shared_ptr<Rules const> older_ = std::make_shared<Rules>();
  Position at_;
  std::map<std::string, Instant> heard_;
  std::uint64_t incarnation_ = 1, pulse_ = 0, pulse_epoch_ = 0;
  Instant vouched_{};
  bool is_behind_ = false;
};

}  // namespace banktide
