// Peers over real sockets on loopback: replies, refused connections, malformed
// frames, and peers that don't read for a while.
#include "transport/socket_environment.hpp"

#include "transport/peer_queue.hpp"
#include "transport/peer_socket.hpp"

#include <gtest/gtest.h>
#include <future>
#include <set>

namespace banktide {
namespace {

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

struct Note {
  static constexpr std::uint8_t kind = 201;
  struct Reply {
    template <class A>
    void serialize(A&) {}
  };
  std::uint64_t number = 0;
  std::string text;
  template <class A>
  void serialize(A& ar) {
    ar(number, text);
  }
};

constexpr Duration long_enough = 50s;  // a deadline that no test is meant to reach

// Runs a coroutine on the pool's thread and waits for its end.
template <class F>
void run_on_pool(F script) {
  std::promise<void> over;
  auto const whole = [&]() -> Task<void> {
    co_await script();
    over.set_value();
  };
  asio::io_context& io = crossplat::threadpool::shared_instance().service();
  asio::post(io, [&] { asio::co_spawn(io, whole(), asio::detached); });
  over.get_future().get();
}

// Lets all tasks that are ready on the thread run first.
Task<void> run_ready_tasks(SocketEnvironment& env) { co_await asio::post(env.executor(), asio::use_awaitable); }

// A peer that accepts connections, but reads and answers only after `start_reading`.
class SlowPeer {
 public:
  explicit SlowPeer(SocketEnvironment& env) : env_(env), acceptor_(env.io(), {asio::ip::address_v4::loopback(), 0}) {}
  Address address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  Task<void> accept() {
    Running const running(*this);
    boost::system::error_code ec;
    while (!ec) {
      PeerSocket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec) break;
      sockets_.push_back(std::make_shared<PeerSocket>(std::move(socket)));
      if (reading_) spawn(env_, read(sockets_.back()));
    }
  }
  void start_reading() {
    reading_ = true;
    for (std::shared_ptr<PeerSocket> const& s : sockets_) spawn(env_, read(s));
  }
  void close() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (std::shared_ptr<PeerSocket> const& s : sockets_) s->close(ignored);
  }

  std::set<std::uint64_t> notes;
  std::size_t connections() const { return sockets_.size(); }
  std::size_t tasks() const { return tasks_; }

 private:
  class Running {
   public:
    explicit Running(SlowPeer& peer) : peer_(peer) { ++peer_.tasks_; }
    Running(Running const&) = delete;
    ~Running() { --peer_.tasks_; }

   private:
    SlowPeer& peer_;
  };

  Task<void> read(std::shared_ptr<PeerSocket> const socket) {
    Running const running(*this);
    std::function<void()> const no_progress_callback;
    while (true) {
      Result<ReceivedFrame> const frame = co_await read_frame(*socket, no_progress_callback);
      if (!frame) break;
      if (frame->head.type == FrameType::tell) notes.insert(unpack<Note>(frame->payload)->number);
      if (frame->head.type != FrameType::ask) continue;
      SharedBytes const payload = std::make_shared<Bytes const>(frame->payload);
      std::vector<OutgoingFrame> const back{
          OutgoingFrame::of(FrameType::reply, frame->head.kind, frame->head.id, payload)};
      boost::system::error_code const ec = co_await write_frames(socket, back, long_enough, no_progress_callback);
      if (ec) break;
    }
  }

  SocketEnvironment& env_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<PeerSocket>> sockets_;
  bool reading_ = false;
  std::size_t tasks_ = 0;
};

SocketEnvironment* serving_environment = nullptr;  // provides the alarms of the handlers below

// Installs a handler that answers a request only when it is cancelled, and counts cancellations.
void serve_until_cancelled(Dispatcher& dispatcher, std::size_t& in_progress, std::size_t& cancelled) {
  dispatcher.on<Echo>([&](Echo, SharedCancellation cancellation) -> Task<Echo::Reply> {
    std::shared_ptr<SocketEnvironment::Alarm> const alarm =
        std::make_shared<SocketEnvironment::Alarm>(*serving_environment);
    ++in_progress;
    {
      CancellationListener const listener(cancellation, [alarm] { alarm->wake(); });
      co_await alarm->wait(serving_environment->now() + long_enough);
    }
    --in_progress;
    if (cancellation->requested()) ++cancelled;
    co_return Echo::Reply{"cancelled"};
  });
}

TEST(SocketEnvironment, a_cancelled_request_is_cancelled_at_its_handler_which_still_answers) {
  start_pool();
  SocketEnvironment server, client;
  serving_environment = &server;
  Address const there = *server.listen("127.0.0.1:0");
  Dispatcher dispatcher;
  std::size_t in_progress = 0, cancelled = 0;
  serve_until_cancelled(dispatcher, in_progress, cancelled);
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    SharedCancellation const first = std::make_shared<Cancellation>();
    SharedCancellation const second = std::make_shared<Cancellation>();
    std::vector<Result<Echo::Reply>> replies;
    for (SharedCancellation const& one : {first, second})
      spawn(client,
            [](SocketEnvironment& env, Address peer, SharedCancellation c,
               std::vector<Result<Echo::Reply>>& to) -> Task<void> {
              Echo const request{"q"};
              Result<Echo::Reply> reply = co_await ask_cancellable(env, peer, request, env.now() + long_enough, c);
              to.push_back(std::move(reply));
            }(client, there, one, replies));
    while (in_progress < 2) co_await run_ready_tasks(client);
    second->request();
    while (replies.empty()) co_await run_ready_tasks(client);
    EXPECT_TRUE(replies[0] && replies[0]->text == "cancelled");
    EXPECT_EQ(in_progress, 1u) << "only the cancelled request";
    first->request();
    while (replies.size() < 2) co_await run_ready_tasks(client);
    EXPECT_EQ(cancelled, 2u);
    co_await client.stop();
    co_await server.stop();
  });
}

TEST(SocketEnvironment, the_requests_of_a_peer_are_cancelled_when_its_connection_ends) {
  start_pool();
  SocketEnvironment server, client;
  serving_environment = &server;
  Address const there = *server.listen("127.0.0.1:0");
  Dispatcher dispatcher;
  std::size_t in_progress = 0, cancelled = 0;
  serve_until_cancelled(dispatcher, in_progress, cancelled);
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    for (int i = 0; i < 3; ++i)
      spawn(client, [](SocketEnvironment& env, Address peer) -> Task<void> {
        Echo const request{"q"};
        Result<Echo::Reply> const reply = co_await ask(env, peer, request, env.now() + long_enough);
        EXPECT_FALSE(reply);
      }(client, there));
    while (in_progress < 3) co_await run_ready_tasks(client);
    co_await client.stop();
    while (cancelled < 3) co_await run_ready_tasks(client);
    EXPECT_EQ(in_progress, 0u);
    co_await server.stop();
  });
}

TEST(SocketEnvironment, a_request_that_is_cancelled_before_it_was_sent_has_not_run) {
  start_pool();
  SocketEnvironment server, client;
  Address const there = *server.listen("127.0.0.1:0");
  Dispatcher dispatcher;
  std::size_t handled = 0;
  dispatcher.on<Echo>([&](Echo q) -> Task<Echo::Reply> {
    ++handled;
    co_return Echo::Reply{q.text};
  });
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    SharedCancellation const cancellation = std::make_shared<Cancellation>();
    Echo const request{"q"};
    asio::post(client.executor(), [cancellation] { cancellation->request(); });
    Result<Echo::Reply> const early =
        co_await ask_cancellable(client, there, request, client.now() + long_enough, cancellation);
    EXPECT_FALSE(early);
    EXPECT_EQ(early.error().proof, Proof::not_run);
    Result<Echo::Reply> const later =
        co_await ask_cancellable(client, there, request, client.now() + long_enough, cancellation);
    EXPECT_FALSE(later);
    EXPECT_EQ(later.error().proof, Proof::not_run);
    Result<Echo::Reply> const other = co_await ask(client, there, request, client.now() + long_enough);
    EXPECT_TRUE(other) << "the connection still works";
    EXPECT_EQ(handled, 1u);
    co_await client.stop();
    co_await server.stop();
  });
}

TEST(SocketEnvironment,
     requests_are_answered_a_refused_connection_proves_not_run_and_a_malformed_frame_only_ends_its_connection) {
  start_pool();
  SocketEnvironment env;
  Dispatcher dispatcher;
  dispatcher.on<Echo>([](Echo q) -> Task<Echo::Reply> { co_return Echo::Reply{q.text + "!"}; });
  Address const here = *env.listen("127.0.0.1:0");
  std::promise<void> over;
  auto const script = [&]() -> Task<void> {
    env.serve(dispatcher);
    Echo const hello{"hello"};
    Result<Echo::Reply> const r = co_await ask(env, here, hello, env.now() + 20s);
    EXPECT_TRUE(r && r->text == "hello!");
    Result<Echo::Reply> const refused = co_await ask(env, Address("127.0.0.1:1"), hello, env.now() + 20s);
    EXPECT_TRUE(!refused && refused.error().proof == Proof::not_run);
    std::mt19937_64 random(5);
    for (int i = 0; i < 50; ++i) {
      asio::ip::tcp::socket s(env.io());
      co_await s.async_connect(*parse_address(here), asio::use_awaitable);
      std::string junk(1 + random() % 60, '\0');
      for (char& c : junk) c = static_cast<char>(random());
      if (i % 2 == 0)
        FrameHead{static_cast<std::uint32_t>(random() % 8), protocol_version, FrameType::ask, 200, 1}.write(
            (junk.resize(40), junk.data()));
      co_await asio::async_write(s, asio::buffer(junk), asio::use_awaitable);
      boost::system::error_code ec;
      s.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
      char end[64];
      while (!ec) co_await s.async_read_some(asio::buffer(end), asio::redirect_error(asio::use_awaitable, ec));
    }
    Result<Echo::Reply> const again = co_await ask(env, here, hello, env.now() + 20s);
    EXPECT_TRUE(again && again->text == "hello!");
    co_await env.stop();
    over.set_value();
  };
  asio::post(env.io(), [&]() { spawn(env, script()); });
  over.get_future().get();
}

TEST(SocketEnvironment, a_peer_that_answers_no_ping_is_silent_while_a_reply_is_pending) {
  start_pool();
  SocketEnvironment env;
  SlowPeer peer(env);
  Duration longest{};
  run_on_pool([&]() -> Task<void> {
    spawn(env, peer.accept());
    EXPECT_EQ(env.silence_of(peer.address()), Duration::zero()) << "no reply is pending";
    std::optional<Result<Bytes>> answer;
    auto const wait_for_it = [&]() -> Task<void> {
      Echo const request{"a"};
      answer = co_await env.ask_raw(peer.address(), Echo::kind, pack(request), env.now() + long_enough);
    };
    spawn(env, wait_for_it());
    while (!answer && longest < 20ms) {
      longest = std::max(longest, env.silence_of(peer.address()));
      co_await run_ready_tasks(env);
    }
    peer.close();
    while (!answer || peer.tasks() > 0) co_await run_ready_tasks(env);
    co_await env.stop();
  });
  EXPECT_GE(longest, 20ms);
}

// Sends more than the bounds to a peer that doesn't read, then lets it read.
TEST(SocketEnvironment, a_peer_that_does_not_read_uses_no_more_memory_than_its_bounds) {
  start_pool();
  PeerLimits limits;
  limits.one_way_wait = 1h;  // so that nothing is dropped for its age on a busy machine
  SocketEnvironment env(limits);
  SlowPeer peer(env);
  constexpr std::uint64_t notes = 1000;
  constexpr std::size_t note_size = 30000;
  std::size_t most_queued = 0, answered = 0, refused = 0, lost = 0;
  bool newest_came = false;
  std::size_t left_queued = 0;
  run_on_pool([&]() -> Task<void> {
    spawn(env, peer.accept());
    constexpr std::size_t request_count = 128;
    auto const ask_once = [&](std::size_t const size) -> Task<void> {
      Echo const request{std::string(size, 'x')};
      Result<Bytes> const reply =
          co_await env.ask_raw(peer.address(), Echo::kind, pack(request), env.now() + long_enough);
      if (reply)
        ++answered;
      else if (reply.error().proof == Proof::not_run)
        ++refused;
      else
        ++lost;
      EXPECT_TRUE(reply || !reply.error().reason.empty());
    };
    for (std::uint64_t i = 1; i <= notes; ++i) {
      Note const note{i, std::string(note_size, 'n')};
      tell(env, peer.address(), note);
      most_queued = std::max(most_queued, env.queued().sum());
      if (i % 100 == 0) co_await run_ready_tasks(env);  // the connection is opened and filled meanwhile
    }
    for (std::size_t i = 0; i < request_count; ++i) spawn(env, ask_once(i % 2 == 0 ? 100 : 512u << 10));
    while (peer.connections() == 0) co_await run_ready_tasks(env);
    co_await run_ready_tasks(env);
    most_queued = std::max(most_queued, env.queued().sum());
    peer.start_reading();
    while (answered + refused + lost < request_count) co_await run_ready_tasks(env);
    EXPECT_EQ(answered + refused + lost, request_count);
    Note const newest{notes + 1, "newest"};
    Instant const give_up_at = env.now() + long_enough;
    while (!newest_came &&
           env.now() < give_up_at) {  // repeatedly, because a reset connection loses what it has accepted
      tell(env, peer.address(), newest);
      co_await run_ready_tasks(env);
      newest_came = peer.notes.contains(newest.number);
    }
    while (env.queued().sum() > 0 && env.now() < give_up_at) co_await run_ready_tasks(env);
    left_queued = env.queued().sum();
    peer.close();
    while (peer.tasks() > 0) co_await run_ready_tasks(env);
    co_await env.stop();
  });
  std::size_t const bound = limits.one_way.bytes + limits.small.bytes + limits.large.bytes;
  EXPECT_LE(most_queued, bound);
  EXPECT_GT(most_queued, limits.one_way.bytes / 2);
  EXPECT_TRUE(newest_came);
  EXPECT_LT(peer.notes.size(), notes);
  EXPECT_GT(answered, 0u);
  EXPECT_GT(refused, 0u);
  EXPECT_EQ(left_queued, 0u);
}

// Requests large replies and reads none of them.
TEST(SocketEnvironment, a_peer_that_reads_no_replies_loses_its_connection_and_uses_no_more_memory_than_the_bound) {
  start_pool();
  PeerLimits limits;
  SocketEnvironment server(limits);
  Dispatcher dispatcher;
  std::string const large(256u << 10, 'x');
  dispatcher.on<Echo>([&large](Echo) -> Task<Echo::Reply> {
    Echo::Reply reply{large};
    co_return reply;
  });
  Address const here = *server.listen("127.0.0.1:0");
  std::size_t most_queued = 0;
  bool closed = false;
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    asio::ip::tcp::socket client(server.io());
    co_await client.async_connect(*parse_address(here), asio::use_awaitable);
    Echo const request{"?"};
    SharedBytes const payload = pack_shared(request);
    std::string bytes(FrameHead::size, '\0');
    boost::system::error_code ec;
    for (std::uint64_t id = 1; !ec; ++id) {
      OutgoingFrame const frame = OutgoingFrame::of(FrameType::ask, Echo::kind, id, payload);
      bytes.resize(FrameHead::size);
      frame.head.write(bytes.data());
      bytes += *payload;
      co_await asio::async_write(client, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
      most_queued = std::max(most_queued, server.queued().sum());
    }
    closed = true;
    co_await server.stop();
  });
  EXPECT_TRUE(closed);
  EXPECT_LE(most_queued, limits.small.bytes + limits.large.bytes);
  EXPECT_EQ(server.queued().sum(), 0u);
}

TEST(SocketEnvironment, a_peer_that_stops_reading_a_reply_loses_its_connection) {
  start_pool();
  PeerLimits limits;
  limits.write_stall = 20ms;
  SocketEnvironment server(limits);
  Dispatcher dispatcher;
  dispatcher.on<Echo>([](Echo) -> Task<Echo::Reply> {
    Echo::Reply reply{std::string(48u << 20, 'x')};  // more than the kernel buffers
    co_return reply;
  });
  Address const here = *server.listen("127.0.0.1:0");
  std::size_t most_queued = 0, left_queued = 1;
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    asio::ip::tcp::socket client(server.io());
    co_await client.async_connect(*parse_address(here), asio::use_awaitable);
    Echo const request{"?"};
    std::vector<OutgoingFrame> const frames{OutgoingFrame::of(FrameType::ask, Echo::kind, 1, pack_shared(request))};
    std::string bytes(FrameHead::size, '\0');
    frames.front().head.write(bytes.data());
    bytes += *frames.front().payload;
    co_await asio::async_write(client, asio::buffer(bytes), asio::use_awaitable);
    Instant const give_up_at = server.now() + long_enough;
    while (server.queued().sum() == 0 && server.now() < give_up_at) co_await run_ready_tasks(server);
    most_queued = server.queued().sum();
    while (server.queued().sum() > 0 && server.now() < give_up_at) co_await run_ready_tasks(server);
    left_queued = server.queued().sum();
    co_await server.stop();
  });
  EXPECT_GT(most_queued, 48u << 20);
  EXPECT_EQ(left_queued, 0u);
}

// Guards against lost replies: responses that didn't fit into a peer's queue ended all requests in progress with it.
TEST(SocketEnvironment, responses_that_do_not_fit_the_queue_leave_other_requests_intact) {
  start_pool();
  for (std::size_t const size : {std::size_t{690} << 10, std::size_t{700} << 10, std::size_t{3} << 20}) {
    SocketEnvironment server, client;
    Dispatcher dispatcher;
    dispatcher.on<Echo>([&server, size](Echo q) -> Task<Echo::Reply> {
      bool const small = q.text == "slow";
      // All responses but one are ready at the same moment.
      co_await sleep_for(server, small ? 300ms : 100ms);
      Echo::Reply reply{small ? "done" : std::string(size, 'x')};
      co_return reply;
    });
    Address const here = *server.listen("127.0.0.1:0");
    constexpr std::size_t large_ones = 12;
    std::size_t answered = 0, ended = 0;
    run_on_pool([&]() -> Task<void> {
      server.serve(dispatcher);
      auto const ask_once = [&](std::string const text) -> Task<void> {
        Echo const request{text};
        Result<Echo::Reply> const reply = co_await ask(client, here, request, client.now() + long_enough);
        answered += reply && reply->text.size() == (text == "slow" ? 4 : size);
        ++ended;
      };
      spawn(client, ask_once("slow"));
      for (std::size_t i = 0; i < large_ones; ++i) spawn(client, ask_once("?"));
      while (ended < large_ones + 1) co_await run_ready_tasks(client);
      co_await client.stop();
      co_await server.stop();
    });
    EXPECT_EQ(answered, large_ones + 1) << size;
    EXPECT_EQ(server.queued().sum(), 0u) << size;
  }
}

TEST(SocketEnvironment, held_back_responses_are_bounded_and_only_single_ones_are_lost) {
  start_pool();
  PeerLimits limits;
  limits.held_back_bytes = 2u << 20;
  SocketEnvironment server(limits), client;
  Dispatcher dispatcher;
  constexpr std::size_t size = 1u << 20;
  dispatcher.on<Echo>([&server](Echo) -> Task<Echo::Reply> {
    co_await sleep_for(server, 50ms);
    Echo::Reply reply{std::string(size, 'x')};
    co_return reply;
  });
  Address const here = *server.listen("127.0.0.1:0");
  constexpr std::size_t request_count = 64;
  std::size_t answered = 0, failed = 0, most_queued = 0;
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    auto const ask_once = [&]() -> Task<void> {
      Echo const request{"?"};
      Result<Echo::Reply> const reply = co_await ask(client, here, request, client.now() + long_enough);
      (reply ? answered : failed) += 1;
      EXPECT_TRUE(reply || reply.error().proof != Proof::not_run);
    };
    for (std::size_t i = 0; i < request_count; ++i) spawn(client, ask_once());
    while (answered + failed < request_count) {
      most_queued = std::max(most_queued, server.queued().sum());
      co_await run_ready_tasks(client);
    }
    co_await client.stop();
    co_await server.stop();
  });
  EXPECT_GE(answered, limits.large.bytes / size) << "responses that fit are delivered";
  EXPECT_LE(most_queued, limits.small.bytes + limits.large.bytes + limits.held_back_bytes + size);
}

// Guards against running out of memory: concurrent large bodies from several peers ended the process.
TEST(SocketEnvironment, a_large_request_over_the_limit_is_rejected_and_small_ones_are_still_handled) {
  start_pool();
  PeerLimits limits;
  limits.accepted_request_bytes = 1u << 20;
  SocketEnvironment server(limits), client;
  Dispatcher dispatcher;
  std::size_t run = 0;
  dispatcher.on<Echo>([&server, &run](Echo q) -> Task<Echo::Reply> {
    ++run;
    co_await sleep_for(server, 200ms);
    Echo::Reply reply{std::to_string(q.text.size())};
    co_return reply;
  });
  Address const here = *server.listen("127.0.0.1:0");
  std::vector<std::string> answers, refusals;
  run_on_pool([&]() -> Task<void> {
    server.serve(dispatcher);
    auto const ask_once = [&](std::size_t const size) -> Task<void> {
      Echo const request{std::string(size, 'x')};
      Result<Echo::Reply> const reply = co_await ask(client, here, request, client.now() + long_enough);
      if (reply) {
        answers.push_back(reply->text);
        co_return;
      }
      EXPECT_EQ(reply.error().proof, Proof::not_run);
      refusals.push_back(reply.error().step);
    };
    for (std::size_t const size : {2000000, 700000, 100}) spawn(client, ask_once(size));
    while (answers.size() + refusals.size() < 3) co_await run_ready_tasks(client);
    EXPECT_EQ(server.queued().accepted_requests, 0u);
    co_await ask_once(700000);
    co_await client.stop();
    co_await server.stop();
  });
  EXPECT_EQ(run, 3u);
  EXPECT_EQ(refusals, std::vector<std::string>{rejected_step});
  std::sort(answers.begin(), answers.end());
  EXPECT_EQ(answers, (std::vector<std::string>{"100", "2000000", "700000"}));
}

TEST(SocketEnvironment, small_requests_are_handled_before_large_ones_that_were_sent_first) {
  start_pool();
  SocketEnvironment env;
  Dispatcher dispatcher;
  std::vector<std::size_t> order;
  dispatcher.on<Echo>([&order](Echo q) -> Task<Echo::Reply> {
    order.push_back(q.text.size());
    Echo::Reply reply{std::move(q.text)};
    co_return reply;
  });
  Address const here = *env.listen("127.0.0.1:0");
  constexpr std::size_t large = 1u << 20, small = 10;
  std::size_t answered = 0;
  run_on_pool([&]() -> Task<void> {
    env.serve(dispatcher);
    auto const ask_once = [&](std::size_t const size) -> Task<void> {
      Echo const request{std::string(size, 'x')};
      Result<Echo::Reply> const reply = co_await ask(env, here, request, env.now() + long_enough);
      answered += reply && reply->text.size() == size;
    };
    for (std::size_t i = 0; i < 4; ++i) spawn(env, ask_once(large));
    for (std::size_t i = 0; i < 4; ++i) spawn(env, ask_once(small));
    while (answered < 8) co_await run_ready_tasks(env);
    co_await env.stop();
  });
  EXPECT_EQ(order, (std::vector<std::size_t>{small, small, small, small, large, large, large, large}));
}

}  // namespace
}  // namespace banktide
