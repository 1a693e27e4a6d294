// The real surroundings: the steady clock, and peers over TCP in frames of our
// own (length, wire number, sort, kind, id, payload). One task a connection and
// one a peer, all on the one thread of the cpprest pool. Whether a question had
// begun to be written when it failed is what tells "not run" from "unknown";
// a question still waiting at its deadline is withdrawn before that is said.
// A peer that owes answers and says nothing is pinged; one that stays silent is
// taken for unreachable and its connection is reset, so that nothing that a cut
// has held up reaches it later.
#pragma once

#include "transport/surroundings.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <pplx/threadpool.h>
#include <tsl/robin_map.h>

namespace banktide {

inline constexpr std::uint8_t wire_number = 1;
inline constexpr std::size_t frame_limit = 72u << 20;
inline constexpr std::size_t backlog_limit = 4096;

/** Handled by the transport itself: answered with nothing at once. */
inline constexpr std::uint8_t ping_kind = 0;
inline constexpr Duration connect_limit = 300ms;
inline constexpr Duration ping_after = 150ms;
inline constexpr Duration reset_after = 900ms;
inline constexpr Duration watch_period = 100ms;
inline constexpr int unacknowledged_limit_ms = 1500;

enum class Sort : std::uint8_t { ask = 0, reply = 1, tell = 2 };

struct FrameHead {
  std::uint32_t length = 0;
  std::uint8_t wire = wire_number;
  Sort sort = Sort::tell;
  std::uint8_t kind = 0;
  std::uint64_t id = 0;
  static constexpr std::size_t size = 15;

  void write(char* p) const {
    std::memcpy(p, &length, 4);
    p[4] = static_cast<char>(wire);
    p[5] = static_cast<char>(sort);
    p[6] = static_cast<char>(kind);
    std::memcpy(p + 7, &id, 8);
  }
  static Result<FrameHead> read(char const* p) {
    FrameHead h;
    std::memcpy(&h.length, p, 4);
    h.wire = static_cast<std::uint8_t>(p[4]);
    h.kind = static_cast<std::uint8_t>(p[6]);
    std::memcpy(&h.id, p + 7, 8);
    if (h.wire != wire_number) return mishap("read_frame", "", "wire number " + std::to_string(h.wire));
    if (h.length > frame_limit) return mishap("read_frame", "", "frame of " + std::to_string(h.length) + " bytes");
    if (static_cast<std::uint8_t>(p[5]) > 2)
      return mishap("read_frame", "", "sort " + std::to_string(static_cast<int>(p[5])));
    h.sort = static_cast<Sort>(p[5]);
    return h;
  }
};

inline Result<asio::ip::tcp::endpoint> parse_address(Address const& a) {
  std::size_t const colon = a.rfind(':');
  if (colon == std::string::npos) return mishap("parse_address", a, "no port");
  boost::system::error_code ec;
  asio::ip::address const ip = asio::ip::make_address(a.substr(0, colon), ec);
  std::string const port = a.substr(colon + 1);
  if (ec || port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoul(port) > 65535)
    return mishap("parse_address", a, "not an ip:port");
  return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(std::stoul(port)));
}

// The library's pool, with the one thread that carries everything.
inline void start_pool() {
  static bool const started = (crossplat::threadpool::initialize_with_threads(1), true);
  (void)started;
}

class SocketWorld {
 public:
  class Alarm {
   public:
    explicit Alarm(SocketWorld& w) : timer_(w.executor()) {}
    Task<bool> wait(Instant const until) {
      if (woken_) {
        woken_ = false;
        co_return false;
      }
      timer_.expires_at(until);
      boost::system::error_code ec;
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      bool const ran_out = !woken_;
      woken_ = false;
      co_return ran_out;
    }
    void wake() {
      woken_ = true;
      timer_.cancel();
    }

   private:
    asio::steady_timer timer_;
    bool woken_ = false;
  };

  SocketWorld() : io_(crossplat::threadpool::shared_instance().service()), chance_(std::random_device{}()) {}
  SocketWorld(SocketWorld const&) = delete;

  Instant now() const { return std::chrono::steady_clock::now(); }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context::executor_type executor() { return io_.get_executor(); }
  asio::io_context& io() { return io_; }

  // Binds at once, so that a taken port is a start-up error and port 0 is known.
  Result<Address> listen(Address const& at) {
    Result<asio::ip::tcp::endpoint> ep = parse_address(at);
    if (!ep) return tl::unexpected<Mishap>(ep.error());
    boost::system::error_code ec;
    acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(io_);
    acceptor_->open(ep->protocol(), ec);
    if (!ec) acceptor_->set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_->bind(*ep, ec);
    if (!ec) acceptor_->listen(1024, ec);
    if (ec) return mishap("listen", at, ec.message());
    return ep->address().to_string() + ":" + std::to_string(acceptor_->local_endpoint().port());
  }

  void serve(Desk& desk) {
    desk_ = &desk;
    spawn(*this, accept());
  }

  Task<Result<Bytes>> ask_raw(Address const peer, std::uint8_t const kind, Bytes payload, Instant const deadline) {
    if (payload.size() > frame_limit) co_return mishap("ask", peer, "frame over the limit", Proof::not_run);
    std::shared_ptr<Link> link = link_to(peer);
    if (link->backlog.size() >= backlog_limit) co_return mishap("ask", peer, "backlog full", Proof::not_run);
    std::uint64_t const id = ++last_id_;
    std::shared_ptr<Waiting> w = std::make_shared<Waiting>(*this);
    if (link->waiting.empty()) link->owed_since = now();
    link->waiting[id] = w;
    if (!std::exchange(watching_, true)) spawn(*this, watch_links());
    link->push(Outgoing{FrameHead{static_cast<std::uint32_t>(payload.size()), wire_number, Sort::ask, kind, id},
                        std::move(payload), w});
    std::optional<Result<Bytes>> got = co_await w->reply.wait(deadline);
    link->waiting.erase(id);
    if (got) co_return std::move(*got);
    w->withdrawn = true;
    if (!w->sent) co_return mishap("wait_to_send", peer, "deadline", Proof::not_run);
    co_return mishap("wait_for_reply", peer, "deadline", Proof::unknown);
  }

  void tell_raw(Address const& peer, std::uint8_t const kind, Bytes payload) {
    std::shared_ptr<Link> link = link_to(peer);
    if (link->backlog.size() >= backlog_limit || payload.size() > frame_limit) return;
    link->push(Outgoing{FrameHead{static_cast<std::uint32_t>(payload.size()), wire_number, Sort::tell, kind, 0},
                        std::move(payload), nullptr});
  }

 private:
  using Socket = asio::ip::tcp::socket;

  struct Waiting {
    explicit Waiting(SocketWorld& w) : reply(w) {}
    OneShot<SocketWorld, Result<Bytes>> reply;
    bool sent = false;
    bool withdrawn = false;
  };

  struct Outgoing {
    FrameHead head;
    Bytes payload;
    std::shared_ptr<Waiting> waiting;
  };

  struct Link {
    explicit Link(SocketWorld& w, Address a) : peer(std::move(a)), alarm(w) {}
    Address peer;
    std::deque<Outgoing> backlog;
    tsl::robin_map<std::uint64_t, std::shared_ptr<Waiting>> waiting;
    Alarm alarm;
    bool running = false;
    Instant heard{};
    Instant owed_since{};
    Instant pinged_at{};
    bool pinged = false;
    std::shared_ptr<Socket> socket;
    void push(Outgoing o) {
      backlog.push_back(std::move(o));
      alarm.wake();
    }
  };

  // An answering side of one accepted connection: replies are written in turn.
  struct Session {
    Session(SocketWorld& w, Socket s) : socket(std::move(s)), alarm(w) {}
    Socket socket;
    Alarm alarm;
    std::deque<Bytes> out;
    std::size_t handling = 0;
    bool closed = false;
  };

  std::shared_ptr<Link> link_to(Address const& peer) {
    std::shared_ptr<Link>& link = links_[peer];
    if (!link) link = std::make_shared<Link>(*this, peer);
    if (!link->running) {
      link->running = true;
      spawn(*this, keep_link(link));
    }
    return link;
  }

  static void prepare(Socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    int const limit = unacknowledged_limit_ms;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  }

  // Pings peers that owe answers and are quiet, and resets connections to those
  // that don't answer the ping either. Runs only while answers are owed.
  Task<void> watch_links() {
    bool owed = true;
    while (owed) {
      co_await sleep_for(*this, watch_period);
      owed = false;
      for (auto const& [peer, link] : links_) {
        if (link->waiting.empty()) continue;
        owed = true;
        if (link->socket != nullptr) watch(*link);
      }
    }
    watching_ = false;
  }

  void watch(Link& link) {
    Instant const quiet_since = std::max(link.heard, link.owed_since);
    if (!link.pinged && now() - quiet_since > ping_after) {
      link.pinged = true;
      link.pinged_at = now();
      link.push(Outgoing{FrameHead{0, wire_number, Sort::ask, ping_kind, 0}, {}, nullptr});
    }
    if (link.pinged && now() - link.pinged_at > reset_after) {
      log_warn("peer_silent", {{"peer", link.peer}, {"waiting", std::to_string(link.waiting.size())}});
      reset(*link.socket);
      link.pinged = false;
    }
  }

  static void reset(Socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  static Bytes frame(Outgoing const& o) {
    Bytes b(FrameHead::size, '\0');
    o.head.write(b.data());
    b += o.payload;
    return b;
  }

  void fail_backlog(Link& link, std::string const& step, std::string const& reason) {
    std::deque<Outgoing> left;
    left.swap(link.backlog);
    for (Outgoing& o : left)
      if (o.waiting) o.waiting->reply.give(mishap(step, link.peer, reason, Proof::not_run));
  }

  Task<void> keep_link(std::shared_ptr<Link> link) {
    Instant idle_since = now();
    while (true) {
      if (link->backlog.empty()) {
        co_await link->alarm.wait(now() + 30s);
        if (link->backlog.empty() && now() - idle_since > 25s) break;
        continue;
      }
      idle_since = now();
      Result<asio::ip::tcp::endpoint> const ep = parse_address(link->peer);
      if (!ep) {
        fail_backlog(*link, "connect", ep.error().reason);
        continue;
      }
      std::shared_ptr<Socket> socket = std::make_shared<Socket>(io_);
      link->socket = socket;
      boost::system::error_code ec;
      {
        asio::steady_timer limit(io_, now() + connect_limit);
        limit.async_wait([socket](boost::system::error_code const& e) {
          if (!e) socket->close();
        });
        co_await socket->async_connect(*ep, asio::redirect_error(asio::use_awaitable, ec));
      }
      if (!ec && !socket->is_open()) ec = asio::error::timed_out;
      if (ec) {
        fail_backlog(*link, "connect", ec.message());
        continue;
      }
      prepare(*socket);
      link->heard = now();
      link->pinged = false;
      std::shared_ptr<bool> broken = std::make_shared<bool>(false);
      spawn(*this, read_replies(link, socket, broken));
      while (!*broken) {
        if (link->backlog.empty()) {
          co_await link->alarm.wait(now() + 30s);
          if (*broken) break;
          if (link->backlog.empty() && now() - idle_since > 25s) break;
          continue;
        }
        idle_since = now();
        Bytes batch;
        while (!link->backlog.empty() && batch.size() < 64u << 10) {
          Outgoing o = std::move(link->backlog.front());
          link->backlog.pop_front();
          if (o.waiting && o.waiting->withdrawn) continue;
          if (o.waiting) o.waiting->sent = true;
          batch += frame(o);
        }
        asio::steady_timer limit(io_, now() + 5s);
        limit.async_wait([socket](boost::system::error_code const& e) {
          if (!e) socket->close();
        });
        co_await asio::async_write(*socket, asio::buffer(batch), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) break;
      }
      *broken = true;
      link->socket = nullptr;
      socket->close(ec);
      std::vector<std::shared_ptr<Waiting>> lost;
      for (auto const& [id, w] : link->waiting)
        if (w->sent) lost.push_back(w);
      for (std::shared_ptr<Waiting> const& w : lost)
        w->reply.give(mishap("wait_for_reply", link->peer, "connection lost", Proof::unknown));
    }
    link->running = false;
    if (link->waiting.empty()) links_.erase(link->peer);
  }

  Task<Result<FrameHead>> read_frame(Socket& s, Bytes& payload) {
    char raw[FrameHead::size];
    boost::system::error_code ec;
    co_await asio::async_read(s, asio::buffer(raw), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return mishap("read_frame", "", ec == asio::error::eof ? "" : ec.message());
    Result<FrameHead> head = FrameHead::read(raw);
    if (!head) co_return head;
    payload.resize(head->length);
    co_await asio::async_read(s, asio::buffer(payload), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return mishap("read_frame", "", ec.message());
    co_return head;
  }

  Task<void> read_replies(std::shared_ptr<Link> link, std::shared_ptr<Socket> socket, std::shared_ptr<bool> broken) {
    while (!*broken) {
      Bytes payload;
      Result<FrameHead> head = co_await read_frame(*socket, payload);
      if (!head || head->sort != Sort::reply) break;
      link->heard = now();
      link->pinged = false;
      auto it = link->waiting.find(head->id);
      if (it == link->waiting.end()) continue;
      std::shared_ptr<Waiting> w = it->second;
      w->reply.give(std::move(payload));
    }
    *broken = true;
    link->alarm.wake();
  }

  Task<void> accept() {
    while (true) {
      boost::system::error_code ec;
      Socket s = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        log_warn("accept_failed", {{"reason", ec.message()}});
        co_await sleep_for(*this, 100ms);
        continue;
      }
      prepare(s);
      std::shared_ptr<Session> session = std::make_shared<Session>(*this, std::move(s));
      spawn(*this, read_questions(session));
      spawn(*this, write_replies(session));
    }
  }

  Task<void> read_questions(std::shared_ptr<Session> session) {
    boost::system::error_code ec;
    asio::ip::tcp::endpoint const from = session->socket.remote_endpoint(ec);
    std::string const peer = ec ? "gone" : from.address().to_string() + ":" + std::to_string(from.port());
    while (!session->closed) {
      Bytes payload;
      Result<FrameHead> head = co_await read_frame(session->socket, payload);
      if (head && head->sort == Sort::ask && head->kind == ping_kind) {
        FrameHead const back{0, wire_number, Sort::reply, ping_kind, head->id};
        session->out.push_back(frame(Outgoing{back, {}, nullptr}));
        session->alarm.wake();
        continue;
      }
      if (head && head->sort != Sort::reply && desk_->handlers[head->kind]) {
        while (session->handling >= backlog_limit && !session->closed) co_await sleep_for(*this, 1ms);
        ++session->handling;
        spawn(*this, answer(session, *head, std::move(payload), peer));
        continue;
      }
      std::string const reason = !head ? head.error().reason : "unexpected sort or kind " + std::to_string(head->kind);
      if (!reason.empty()) log_warn("bad_frame", {{"step", "read_frame"}, {"peer", peer}, {"reason", reason}});
      break;
    }
    close(*session);
  }

  Task<void> answer(std::shared_ptr<Session> session, FrameHead const head, Bytes payload, std::string const peer) {
    Result<Bytes> reply = co_await desk_->handlers[head.kind](std::move(payload));
    --session->handling;
    if (!reply) {
      log_warn("bad_frame", {{"step", reply.error().step},
                             {"peer", peer},
                             {"kind", std::to_string(head.kind)},
                             {"length", std::to_string(head.length)},
                             {"reason", reply.error().reason}});
      close(*session);
      co_return;
    }
    if (head.sort != Sort::ask || session->closed) co_return;
    FrameHead const back{static_cast<std::uint32_t>(reply->size()), wire_number, Sort::reply, head.kind, head.id};
    session->out.push_back(frame(Outgoing{back, std::move(*reply), nullptr}));
    session->alarm.wake();
  }

  Task<void> write_replies(std::shared_ptr<Session> session) {
    while (!session->closed) {
      if (session->out.empty()) {
        co_await session->alarm.wait(now() + 3600s);
        continue;
      }
      Bytes batch;
      while (!session->out.empty() && batch.size() < 64u << 10) {
        batch += session->out.front();
        session->out.pop_front();
      }
      asio::steady_timer limit(io_, now() + 5s);
      limit.async_wait([session](boost::system::error_code const& e) {
        if (!e) close(*session);
      });
      boost::system::error_code ec;
      co_await asio::async_write(session->socket, asio::buffer(batch), asio::redirect_error(asio::use_awaitable, ec));
      if (ec) close(*session);
    }
  }

  static void close(Session& s) {
    s.closed = true;
    boost::system::error_code ec;
    s.socket.close(ec);
    s.alarm.wake();
  }

  asio::io_context& io_;
  std::mt19937_64 chance_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  Desk* desk_ = nullptr;
  std::uint64_t last_id_ = 0;
  bool watching_ = false;
  tsl::robin_map<Address, std::shared_ptr<Link>> links_;
};

static_assert(Surroundings<SocketWorld>);

}  // namespace banktide

#ifdef TESTS_OF_SOCKET_WORLD
#include <future>
namespace banktide {

struct Echo {
  static constexpr std::uint8_t kind = 200;
  struct Reply {
    std::string text;
    template <class A>
    void serialize(A& ar) {
      ar(text);
    }
  };
  std::string text;
  template <class A>
  void serialize(A& ar) {
    ar(text);
  }
};

TEST(SocketWorld, answers_come_back_refusals_are_proof_and_a_bad_frame_only_costs_its_connection) {
  start_pool();
  SocketWorld w;
  Desk desk;
  desk.on<Echo>([](Echo q) -> Task<Echo::Reply> { co_return Echo::Reply{q.text + "!"}; });
  Address const here = *w.listen("127.0.0.1:0");
  std::promise<void> over;
  auto const script = [&]() -> Task<void> {
    w.serve(desk);
    Echo const hello{"hello"};
    Result<Echo::Reply> const r = co_await ask(w, here, hello, w.now() + 20s);
    EXPECT_TRUE(r && r->text == "hello!");
    Result<Echo::Reply> const refused = co_await ask(w, Address("127.0.0.1:1"), hello, w.now() + 20s);
    EXPECT_TRUE(!refused && refused.error().proof == Proof::not_run);
    std::mt19937_64 chance(5);
    for (int i = 0; i < 50; ++i) {
      asio::ip::tcp::socket s(w.io());
      co_await s.async_connect(*parse_address(here), asio::use_awaitable);
      std::string junk(1 + chance() % 60, '\0');
      for (char& c : junk) c = static_cast<char>(chance());
      if (i % 2 == 0)
        FrameHead{static_cast<std::uint32_t>(chance() % 8), wire_number, Sort::ask, 200, 1}.write(
            (junk.resize(40), junk.data()));
      co_await asio::async_write(s, asio::buffer(junk), asio::use_awaitable);
      boost::system::error_code ec;
      s.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
      char end[64];
      while (!ec) co_await s.async_read_some(asio::buffer(end), asio::redirect_error(asio::use_awaitable, ec));
    }
    Result<Echo::Reply> const again = co_await ask(w, here, hello, w.now() + 20s);
    EXPECT_TRUE(again && again->text == "hello!");
    over.set_value();
  };
  asio::post(w.io(), [&]() { spawn(w, script()); });
  over.get_future().get();
}

}  // namespace banktide
#endif
