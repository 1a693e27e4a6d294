// The environment that all code above the transport is written against: a clock
// (now, alarms), a random number generator and a peer transport (ask, tell,
// serve). In production it is sockets on the one asio thread, in the simulator
// virtual time; coordination, state and programs don't depend on which it is.
#pragma once

#include "protocol/archive.hpp"
#include "transport/cancellation.hpp"
#include "transport/log.hpp"
#include "transport/mutant.hpp"
#include "transport/result.hpp"

#include <array>
#include <concepts>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <random>

// GCC 12 destroys an aggregate twice if it is created inside the operand of a
// co_await, so requests are stored in named variables first.

namespace banktide {

using Address = std::string;
/** The step of the error of a request that its peer rejected because it holds too many large ones. */
inline constexpr char const* rejected_step = "take_request";
/** Handles a peer's request; the cancellation is null if the request can't be cancelled. */
using PeerHandler = std::function<Task<Result<Bytes>>(Bytes, SharedCancellation)>;

// Handlers of peer messages by kind. If a payload can't be decoded, the handler
// returns an error and the transport closes the connection.
struct Dispatcher {
  std::array<PeerHandler, 256> handlers;

  /** `f` takes the request, and also the cancellation if it supports one. */
  template <class Q, class F>
  void on(F f) {
    handlers[Q::kind] = [f](Bytes raw, SharedCancellation cancellation) -> Task<Result<Bytes>> {
      Result<Q> q = unpack<Q>(raw);
      if (!q) co_return tl::unexpected<Error>(q.error());
      Bytes().swap(raw);  // keeps only one copy of a large body while it is handled
      if constexpr (std::is_invocable_v<F const&, Q, SharedCancellation>) {
        typename Q::Reply reply = co_await f(std::move(*q), std::move(cancellation));
        co_return pack(reply);
      } else {
        typename Q::Reply reply = co_await f(std::move(*q));
        co_return pack(reply);
      }
    };
  }
};

template <class Env>
concept Clock = requires(Env& env, Instant t, typename Env::Alarm& a) {
  { env.now() } -> std::same_as<Instant>;
  { env.chance() } -> std::same_as<std::mt19937_64&>;
  { a.wait(t) } -> std::same_as<Task<bool>>;
  a.wake();
}
&&std::constructible_from<typename Env::Alarm, Env&>;

template <class Env>
concept PeerTransport = requires(Env& env, Address const& peer, std::uint8_t kind, Bytes b, SharedBytes shared,
                                 Instant t, Dispatcher& d) {
  { env.ask_raw(peer, kind, b, t) } -> std::same_as<Task<Result<Bytes>>>;
  env.tell_raw(peer, kind, shared);
  env.serve(d);
};

template <class Env>
concept Environment = Clock<Env> && PeerTransport<Env> && requires(Env& env) {
  env.executor();
};

template <class Env>
void spawn(Env& env, Task<void> task) {
  asio::co_spawn(env.executor(), std::move(task), [](std::exception_ptr e) {
    if (!e) return;
    try {
      std::rethrow_exception(e);
    } catch (std::exception const& x) {
      log_warn("task_ended", {{"reason", x.what()}});
    }
  });
}

template <Clock Env>
Task<void> sleep_for(Env& env, Duration d) {
  typename Env::Alarm alarm(env);
  co_await alarm.wait(env.now() + d);
}

template <class Q>
Result<typename Q::Reply> unpack_reply(Result<Bytes> const& raw, Address const& peer) {
  if (!raw) return tl::unexpected<Error>(raw.error());
  Result<typename Q::Reply> reply = unpack<typename Q::Reply>(*raw);
  if (!reply) reply.error().peer = peer;
  return reply;
}

template <class Q, PeerTransport Env>
Task<Result<typename Q::Reply>> ask(Env& env, Address peer, Q q, Instant deadline) {
  Result<Bytes> const raw = co_await env.ask_raw(peer, Q::kind, pack(q), deadline);
  co_return unpack_reply<Q>(raw, peer);
}

/** Forwards a cancellation to the peer, which still answers. Cancelled before anything was sent, it proves `not_run`.
 */
template <class Q, PeerTransport Env>
Task<Result<typename Q::Reply>> ask_cancellable(Env& env, Address peer, Q q, Instant deadline,
                                                SharedCancellation cancellation) {
  Result<Bytes> const raw = co_await env.ask_raw(peer, Q::kind, pack(q), deadline, std::move(cancellation));
  co_return unpack_reply<Q>(raw, peer);
}

template <class Q, PeerTransport Env>
void tell(Env& env, Address const& peer, Q const& q) {
  env.tell_raw(peer, Q::kind, pack_shared(q));
}

// A value that is set once and awaited once, with a deadline. (Env is a Clock; it is
// unconstrained here because parts of an environment hold these before it is complete.)
template <class Env, class T>
class OneShot {
 public:
  explicit OneShot(Env& env) : alarm_(env) {}
  void give(T v) {
    if (value_) return;
    value_.emplace(std::move(v));
    alarm_.wake();
  }
  bool given() const { return value_.has_value(); }
  Task<std::optional<T>> wait(Instant deadline) {
    if (!value_) co_await alarm_.wait(deadline);
    co_return value_;
  }

 private:
  typename Env::Alarm alarm_;
  std::optional<T> value_;
};

// A mutex for coroutines; waiters are served in the order of their requests.
template <class Env>
class AsyncMutex {
 public:
  explicit AsyncMutex(Env& env) : env_(env) {}
  std::size_t waiting() const { return waiting_.size(); }
  Task<void> lock() {
    if (!busy_) {
      busy_ = true;
      co_return;
    }
    std::shared_ptr<OneShot<Env, bool>> mine = std::make_shared<OneShot<Env, bool>>(env_);
    waiting_.push_back(mine);
    while (!mine->given()) co_await mine->wait(env_.now() + 3600s);
  }
  void unlock() {
    if (waiting_.empty()) {
      busy_ = false;
      return;
    }
    std::shared_ptr<OneShot<Env, bool>> next = waiting_.front();
    waiting_.pop_front();
    next->give(true);
  }

 private:
  Env& env_;
  bool busy_ = false;
  std::deque<std::shared_ptr<OneShot<Env, bool>>> waiting_;
};

// Asks all peers concurrently and returns as soon as `enough` holds, all have
// answered, or the deadline has passed. Late answers are discarded.
template <class Q, Environment Env, class Enough>
Task<std::vector<std::pair<std::size_t, Result<typename Q::Reply>>>> ask_all(Env& env, std::vector<Address> peers, Q q,
                                                                             Instant deadline, Enough enough) {
  using Replies = std::vector<std::pair<std::size_t, Result<typename Q::Reply>>>;
  struct Shared {
    explicit Shared(Env& environment) : done(environment) {}
    Replies replies;
    OneShot<Env, bool> done;
    Enough* enough = nullptr;
    bool closed = false;
  };
  std::shared_ptr<Shared> shared = std::make_shared<Shared>(env);
  shared->enough = &enough;
  std::size_t const n = peers.size();
  for (std::size_t i = 0; i < n; ++i) {
    spawn(env,
          [](Env& environment, std::shared_ptr<Shared> s, Address peer, Q request, std::size_t at, std::size_t all,
             Instant until) -> Task<void> {
            Result<typename Q::Reply> r = co_await ask(environment, peer, std::move(request), until);
            if (s->closed) co_return;
            s->replies.emplace_back(at, std::move(r));
            if (s->replies.size() == all || (*s->enough)(s->replies)) s->done.give(true);
          }(env, shared, peers[i], q, i, n, deadline));
  }
  if (n > 0) co_await shared->done.wait(deadline);
  shared->closed = true;
  co_return std::move(shared->replies);
}

}  // namespace banktide
