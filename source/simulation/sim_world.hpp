// The simulated environment: virtual time with a single event queue, machines that
// run processes, links that delay, block and hold back messages, disks that stall and
// machines that lose power. All randomness comes from one seed, so a run can be
// replayed exactly. The coordination and state code on top is the production code.
#pragma once

#include "coordination/acceptor.hpp"
#include "transport/environment.hpp"

#include <map>
#include <queue>
#include <set>

namespace banktide {

class Sim {
 public:
  explicit Sim(std::uint64_t const seed) : chance(seed) {}

  asio::io_context io;
  std::mt19937_64 chance;
  Instant now{std::chrono::hours(1)};

  void at(Instant const t, std::function<void()> f) { queue_.push(Entry{std::max(t, now), ++seq_, std::move(f)}); }
  void after(Duration const d, std::function<void()> f) { at(now + d, std::move(f)); }

  void run_until(Instant const end) {
    run_ready_handlers();
    while (!queue_.empty() && queue_.top().at <= end) {
      Entry e = queue_.top();
      queue_.pop();
      now = e.at;
      e.f();
      run_ready_handlers();
    }
    now = std::max(now, end);
  }

  void run_ready_handlers() {
    io.restart();
    io.poll();
  }

  void clear() {
    queue_ = {};
    run_ready_handlers();
  }

  // Cuts are one-way links between machines.
  void cut(std::string const& from, std::string const& to) { cuts_.insert({from, to}); }
  void heal() { cuts_.clear(); }
  void heal(std::string const& m) {
    std::erase_if(cuts_, [&](auto const& c) { return c.first == m || c.second == m; });
  }
  bool open(std::string const& from, std::string const& to) const { return !cuts_.contains({from, to}); }
  bool has_cut(std::string const& m) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](auto const& c) { return c.first == m || c.second == m; });
  }
  Duration delay() {
    Duration const gust = unreliable_links
                              ? Duration(std::chrono::milliseconds(chance() % 10 == 0 ? chance() % 300 : chance() % 5))
                              : 0ms;
    return gust + std::chrono::microseconds(100 + chance() % 400 + (chance() % 50 == 0 ? chance() % 5000 : 0));
  }

  // Messages are delayed, reordered, lost or duplicated.
  bool unreliable_links = false;

 private:
  struct Entry {
    Instant at;
    std::uint64_t seq;
    std::function<void()> f;
    bool operator<(Entry const& o) const { return std::pair(at, seq) > std::pair(o.at, o.seq); }
  };
  std::priority_queue<Entry> queue_;
  std::uint64_t seq_ = 0;
  std::set<std::pair<std::string, std::string>> cuts_;
};

class SimNet;

// One incarnation of a process on a machine.
class SimProcess : public std::enable_shared_from_this<SimProcess> {
 public:
  struct Pending {
    std::function<void(bool)> handler;
    std::uint64_t wait = 0;
    bool woken = false;
  };

  class Alarm {
   public:
    explicit Alarm(SimProcess& p) : process_(p), state_(std::make_shared<Pending>()), id_(++p.last_alarm_) {
      process_.pending_[id_] = state_.get();
    }
    Alarm(Alarm const&) = delete;
    ~Alarm() { process_.pending_.erase(id_); }

    Task<bool> wait(Instant const until) {
      if (state_->woken) {
        state_->woken = false;
        co_return false;
      }
      std::uint64_t const own_wait = ++state_->wait;
      bool const ran_out = co_await asio::async_initiate<asio::use_awaitable_t<> const, void(bool)>(
          [](auto handler, SimProcess* p, std::shared_ptr<Pending> s, Instant t, std::uint64_t n) {
            // As with a real timer, a new wait ends the one before it.
            if (s->handler) asio::post(p->sim.io, [ended = std::move(s->handler)] { ended(false); });
            auto shared_handler = std::make_shared<decltype(handler)>(std::move(handler));
            s->handler = [shared_handler](bool const v) { std::move (*shared_handler)(v); };
            std::weak_ptr<Pending> weak = s;
            std::weak_ptr<SimProcess> self = p->weak_from_this();
            p->sim.at(p->global(t), [weak, self, n] {
              std::shared_ptr<SimProcess> const alive = self.lock();
              if (alive)
                alive->run([weak, n] {
                  if (std::shared_ptr<Pending> const st = weak.lock()) fire(st, n, true);
                });
            });
          },
          asio::use_awaitable, &process_, state_, until, own_wait);
      state_->woken = false;
      co_return ran_out;
    }
    void wake() {
      state_->woken = true;
      if (!state_->handler) return;
      std::weak_ptr<Pending> weak = state_;
      std::uint64_t const n = state_->wait;
      asio::post(process_.sim.io, [weak, n] {
        if (std::shared_ptr<Pending> const st = weak.lock()) fire(st, n, false);
      });
    }

   private:
    static void fire(std::shared_ptr<Pending> const& s, std::uint64_t const n, bool const v) {
      if (s->wait != n || !s->handler) return;
      std::function<void(bool)> const h = std::move(s->handler);
      s->handler = nullptr;
      h(v && !s->woken);
    }
    SimProcess& process_;
    std::shared_ptr<Pending> state_;
    std::uint64_t const id_;
  };

  SimProcess(Sim& s, SimNet& n, std::string m, Address a, std::uint64_t const incarnation)
      : sim(s), net(n), machine(std::move(m)), address(std::move(a)), incarnation(incarnation), chance_(s.chance()) {}
  ~SimProcess() { kill(); }

  // Each machine's clock has its own offset and drift.
  Instant now() const { return local(sim.now); }
  __extension__ typedef __int128 Wide;
  Instant local(Instant const t) const {
    return t + clock_offset +
           Duration(static_cast<std::int64_t>(Wide(t.time_since_epoch().count()) * clock_ppm / 1000000));
  }
  Instant global(Instant const t) const {
    Wide const ns = (t - clock_offset).time_since_epoch().count();
    return Instant{Duration(static_cast<std::int64_t>(ns * 1000000 / (1000000 + clock_ppm)) + 2000)};
  }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context::executor_type executor() { return sim.io.get_executor(); }

  Task<Result<Bytes>> ask_raw(Address const peer, std::uint8_t const kind, Bytes payload, Instant const deadline,
                              SharedCancellation cancellation = nullptr);
  void tell_raw(Address const& peer, std::uint8_t const kind, SharedBytes const& payload);
  void serve(Dispatcher& d) { dispatcher = &d; }

  // Runs `f` now, after thawing if the process is frozen, or never if it is dead.
  void run(std::function<void()> f) {
    if (!alive) return;
    if (frozen)
      deferred_.push_back(std::move(f));
    else
      f();
  }
  void freeze() { frozen = true; }
  void thaw() {
    frozen = false;
    std::vector<std::function<void()>> deferred;
    deferred.swap(deferred_);
    for (std::function<void()>& f : deferred) f();
  }
  void kill() {
    alive = false;
    deferred_.clear();
    std::map<std::uint64_t, Pending*> pending;  // in order of creation, so that runs are reproducible
    pending.swap(pending_);
    std::vector<std::function<void(bool)>> drop;
    for (auto const& [id, p] : pending) {
      drop.push_back(std::move(p->handler));
      p->handler = nullptr;
    }
  }

  Sim& sim;
  SimNet& net;
  std::string const machine;
  Address const address;
  std::uint64_t const incarnation;
  Dispatcher* dispatcher = nullptr;
  bool alive = true, frozen = false;
  Duration clock_offset{};
  std::int64_t clock_ppm = 0;
  std::map<Address, std::uint64_t> connected;  // by peer: the incarnation that the connection leads to

 private:
  std::mt19937_64 chance_;
  std::map<std::uint64_t, Pending*> pending_;
  std::uint64_t last_alarm_ = 0;
  std::vector<std::function<void()>> deferred_;
};

// The network: which process listens at which address, and the delivery of messages.
class SimNet {
 public:
  explicit SimNet(Sim& s) : sim(s) {}
  Sim& sim;
  std::map<Address, std::shared_ptr<SimProcess>> at;
  std::map<Address, std::string> machine_of;
  std::set<std::string> unpowered;  // machines without power
  // Called with every message when it is sent.
  std::function<void(SimProcess const&, Address const&, std::uint8_t, Bytes const&)> on_send;
  // Called before each reply is sent; true means that the machine lost power first.
  std::function<bool(SimProcess&, std::uint8_t)> before_reply;

  struct Exchange {
    std::shared_ptr<SimProcess> from;
    Address peer;
    std::uint8_t kind = 0;
    Bytes payload;
    std::function<void(Result<Bytes>)> done;  // empty: one-way
    SharedCancellation cancellation;          // at the receiver; null: can't be cancelled
    bool sent = false, withdrawn = false;
  };

  // Tells the receiver that the answer is no longer needed; lost if the link is cut.
  void cancel(std::shared_ptr<Exchange> const& x) {
    sim.after(sim.delay(), [this, x] {
      auto const target = at.find(x->peer);
      if (target == at.end() || !sim.open(x->from->machine, target->second->machine)) return;
      target->second->run([x] { x->cancellation->request(); });
    });
  }

  void begin(std::shared_ptr<Exchange> const& x, Duration const wait) {
    sim.after(wait, [this, x] {
      if (!x->from->alive || x->withdrawn) return;
      if (on_send) on_send(*x->from, x->peer, x->kind, x->payload);
      if (sim.unreliable_links && !x->done && sim.chance() % 8 == 0) return;
      if (sim.unreliable_links && !x->done && sim.chance() % 8 == 0) {
        std::shared_ptr<Exchange> const twin = std::make_shared<Exchange>(*x);
        auto const up = at.find(x->peer);
        if (up != at.end() && up->second->alive) deliver(twin, up->second, sim.now + 3s);
      }
      auto const target = at.find(x->peer);
      std::string const machine = machine_of[x->peer];
      bool const reach = sim.open(x->from->machine, machine) && sim.open(machine, x->from->machine);
      bool const up = target != at.end() && target->second->alive;
      auto const known = x->from->connected.find(x->peer);
      bool const joined = up && known != x->from->connected.end() && known->second == target->second->incarnation;
      if (joined) {
        x->sent = true;
        deliver(x, target->second, sim.now + 3s);
        return;
      }
      x->from->connected.erase(x->peer);
      if (!reach || unpowered.contains(machine) || (up && target->second->frozen && sim.chance() % 2 == 0)) {
        fail(x, 500ms, "connect", "timed out", Proof::not_run);
      } else if (!up) {
        fail(x, sim.delay(), "connect", "refused", Proof::not_run);
      } else {
        x->from->connected[x->peer] = target->second->incarnation;
        x->sent = true;
        deliver(x, target->second, sim.now + 3s);
      }
    });
  }

 private:
  void fail(std::shared_ptr<Exchange> const& x, Duration const wait, std::string const step, std::string const reason,
            Proof const proof) {
    sim.after(wait, [x, step, reason, proof] {
      x->from->run([x, step, reason, proof] {
        if (x->done) x->done(make_error(step, x->peer, reason, proof));
      });
    });
  }

  // A message in transit waits for a cut link until `give_up` and then arrives late.
  void deliver(std::shared_ptr<Exchange> const& x, std::shared_ptr<SimProcess> const target, Instant const give_up) {
    sim.after(sim.delay(), [this, x, target, give_up] {
      if (!target->alive) {
        x->from->connected.erase(x->peer);
        if (!unpowered.contains(target->machine))
          fail(x, sim.delay(), "wait_for_reply", "connection lost", Proof::unknown);
        return;
      }
      if (!sim.open(x->from->machine, target->machine)) {
        if (sim.now < give_up) deliver(x, target, give_up);
        return;
      }
      target->run([this, x, target] {
        if (target->dispatcher == nullptr || !target->dispatcher->handlers[x->kind]) return;
        spawn(*target, handle(x, target));
      });
    });
  }

  Task<void> handle(std::shared_ptr<Exchange> x, std::shared_ptr<SimProcess> target) {
    Result<Bytes> reply = co_await target->dispatcher->handlers[x->kind](x->payload, x->cancellation);
    if (before_reply && before_reply(*target, x->kind)) co_return;
    if (x->done && sim.unreliable_links && sim.chance() % 100 == 0) {
      x->from->connected.erase(x->peer);
      fail(x, sim.delay(), "wait_for_reply", "connection lost", Proof::unknown);
    } else if (x->done)
      deliver_reply(x, target, std::make_shared<Result<Bytes>>(std::move(reply)), sim.now + 3s);
  }

  void deliver_reply(std::shared_ptr<Exchange> const& x, std::shared_ptr<SimProcess> const target,
                     std::shared_ptr<Result<Bytes>> const reply, Instant const give_up) {
    sim.after(sim.delay(), [this, x, target, reply, give_up] {
      if (!sim.open(target->machine, x->from->machine)) {
        if (sim.now < give_up) deliver_reply(x, target, reply, give_up);
        return;
      }
      x->from->run([x, reply] { x->done(*reply); });
    });
  }
};

inline Task<Result<Bytes>> SimProcess::ask_raw(Address const peer, std::uint8_t const kind, Bytes payload,
                                               Instant const deadline, SharedCancellation const cancellation) {
  if (is_cancelled(cancellation)) co_return make_error("ask", peer, "cancelled", Proof::not_run);
  std::shared_ptr<OneShot<SimProcess, Result<Bytes>>> shot =
      std::make_shared<OneShot<SimProcess, Result<Bytes>>>(*this);
  std::shared_ptr<SimNet::Exchange> x = std::make_shared<SimNet::Exchange>();
  x->from = shared_from_this();
  x->peer = peer;
  x->kind = kind;
  x->payload = std::move(payload);
  std::weak_ptr<OneShot<SimProcess, Result<Bytes>>> weak = shot;
  x->done = [weak](Result<Bytes> r) {
    if (std::shared_ptr<OneShot<SimProcess, Result<Bytes>>> const s = weak.lock()) s->give(std::move(r));
  };
  if (cancellation) x->cancellation = std::make_shared<Cancellation>();
  net.begin(x, 0us);
  CancellationListener const listener(cancellation, [x] { x->from->net.cancel(x); });
  std::optional<Result<Bytes>> got = co_await shot->wait(deadline);
  x->withdrawn = true;
  if (got) co_return std::move(*got);
  if (!x->sent) co_return make_error("wait_to_send", peer, "deadline", Proof::not_run);
  co_return make_error("wait_for_reply", peer, "deadline", Proof::unknown);
}

inline void SimProcess::tell_raw(Address const& peer, std::uint8_t const kind, SharedBytes const& payload) {
  std::shared_ptr<SimNet::Exchange> x = std::make_shared<SimNet::Exchange>();
  x->from = shared_from_this();
  x->peer = peer;
  x->kind = kind;
  x->payload = *payload;
  net.begin(x, 0us);
}

static_assert(Environment<SimProcess>);

// A disk that outlives the processes using it. A power loss during a sync leaves
// either the old record or the new one.
struct SimDisk {
  VoterRecord durable, unsynced;
  Instant stalled_until{};
  SimProcess* process = nullptr;

  Result<VoterRecord> load() { return durable; }
  Task<Result<bool>> save(VoterRecord const& r) {
    SimProcess* const owner = process;
    VoterRecord const next = r;
    Duration wait = std::chrono::microseconds(200 + owner->chance()() % 2000);
    if (stalled_until > owner->sim.now) wait += stalled_until - owner->sim.now;
    if (broken_on_purpose("no_sync")) {
      unsynced = next;
      co_return true;
    }
    bool const early = owner->chance()() % 2 == 0;
    if (early) {
      co_await sleep_for(*owner, wait / 2);
      durable = next;
      co_await sleep_for(*owner, wait / 2);
    } else {
      co_await sleep_for(*owner, wait);
      durable = next;
    }
    co_return true;
  }
};

}  // namespace banktide
