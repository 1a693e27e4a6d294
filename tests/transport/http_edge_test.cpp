// Calls to backends with fixed, partly malformed replies, and the exact bytes that listeners send.
#include "transport/http_edge.hpp"

#include "transport/socket_environment.hpp"

#include <future>
#include <gtest/gtest.h>

namespace banktide {
namespace {

// A backend that answers every request with the given bytes and counts its
// connections.
class FixedReplyBackend {
 public:
  FixedReplyBackend(asio::io_context& io, std::string bytes)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), bytes_(std::move(bytes)) {
    asio::co_spawn(io, serve(), asio::detached);
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections = 0;
  std::string received;

 private:
  bool is_complete() const {
    std::size_t const end = received.find("\r\n\r\n"), at = received.find("Content-Length:");
    return end != std::string::npos &&
           (at == std::string::npos || received.size() >= end + 4 + std::stoul(received.substr(at + 15)));
  }
  Task<void> serve() {
    while (true) {
      asio::ip::tcp::socket s = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections;
      char raw[65536];
      boost::system::error_code ec;
      received.clear();
      while (!ec && !is_complete()) {
        std::size_t const n =
            co_await s.async_read_some(asio::buffer(raw), asio::redirect_error(asio::use_awaitable, ec));
        received.append(raw, n);
      }
      co_await asio::async_write(s, asio::buffer(bytes_), asio::redirect_error(asio::use_awaitable, ec));
      s.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }
  }
  asio::ip::tcp::acceptor acceptor_;
  std::string const bytes_;
};

template <class F>
auto on_pool(F f) {
  start_pool();
  std::promise<decltype(f())> p;
  asio::post(crossplat::threadpool::shared_instance().service(), [&]() { p.set_value(f()); });
  return p.get_future().get();
}

// Runs the library's remaining work on the pool before the process ends, because the
// pool discards queued work at exit.
class DrainPool : public testing::Environment {
 public:
  void TearDown() override {
    for (int i = 0; i < 64; ++i) on_pool([]() { return true; });
  }
};
inline testing::Environment* const drain_pool = testing::AddGlobalTestEnvironment(new DrainPool());

// The backends live until the end of the test run, like the pool.
inline FixedReplyBackend* start_backend(SocketEnvironment& env, std::string const& bytes) {
  static std::vector<FixedReplyBackend*>* const all = new std::vector<FixedReplyBackend*>();
  return on_pool([&]() {
    all->push_back(new FixedReplyBackend(env.io(), bytes));
    return all->back();
  });
}

inline Result<HttpReply> call_port(SocketEnvironment& env, std::uint16_t const port, HttpRequest q) {
  HttpClient<SocketEnvironment> caller(env);
  std::promise<Result<HttpReply>> p;
  on_pool([&]() {
    asio::co_spawn(env.executor(), caller.run(port, std::move(q), env.now() + 20s),
                   [&](std::exception_ptr e, Result<HttpReply> r) {
                     p.set_value(e ? Result<HttpReply>(make_error("test", "", "exception")) : std::move(r));
                   });
    return true;
  });
  return p.get_future().get();
}

TEST(HttpEdge, only_a_complete_reply_is_accepted_and_nothing_is_sent_twice) {
  start_pool();
  SocketEnvironment env;
  struct Case {
    std::string bytes;
    bool good;
  };
  for (Case const& t : {
           Case{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
           Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
           Case{"HTTP/1.1 204 No Content\r\n\r\n", true},
           Case{"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", true},
           Case{"HTTP/1.1 200 OK\r\n\r\nhello", false},
           Case{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello", false},
           Case{"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello", false},
           Case{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello", false},
           Case{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                false},
           Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
           Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", false},
           Case{"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nhello", false},
           Case{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
           Case{std::string("\0\1garbage\r\n\r\n", 13), false},
           Case{"", false},
       }) {
    FixedReplyBackend* const b = start_backend(env, t.bytes);
    Result<HttpReply> const r = call_port(env, b->port(), HttpRequest{"POST", "/pay/1", {}, "x"});
    EXPECT_EQ(r.has_value(), t.good) << t.bytes << (r ? "" : r.error().reason);
    EXPECT_TRUE(r || r.error().proof == Proof::unknown) << t.bytes;
    EXPECT_EQ(b->connections, 1u) << t.bytes;
  }
}

TEST(HttpEdge, a_refused_connection_proves_not_run) {
  start_pool();
  SocketEnvironment env;
  std::uint16_t const port = on_pool([&]() {
    return asio::ip::tcp::acceptor(env.io(), {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
  });
  Result<HttpReply> const r = call_port(env, port, HttpRequest{"POST", "/", {}, "x"});
  ASSERT_FALSE(r);
  EXPECT_EQ(r.error().proof, Proof::not_run);
  EXPECT_EQ(r.error().step, "connect");
}

TEST(HttpEdge, method_path_query_headers_and_body_are_sent_unchanged) {
  start_pool();
  SocketEnvironment env;
  FixedReplyBackend* const b = start_backend(env, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  for (std::string const bad : {"//a/../b", "x", "/a b"}) {
    Result<HttpReply> const r = call_port(env, b->port(), HttpRequest{"POST", bad, {}, ""});
    EXPECT_TRUE(!r && r.error().proof == Proof::not_run) << bad;
  }
  EXPECT_EQ(b->connections, 0u);
  HttpRequest const q{"PURGE",
                      "/a/../b%2Fc%20d?x=1&y=%41&&",
                      {{"x-odd", "a  b"}, {"Content-Type", "text/odd"}},
                      std::string("b\0dy", 4)};
  ASSERT_TRUE(call_port(env, b->port(), q));
  EXPECT_TRUE(b->received.starts_with("PURGE /a/../b%2Fc%20d?x=1&y=%41&& HTTP/1.1\r\n")) << b->received;
  EXPECT_NE(b->received.find("x-odd:a  b\r\n"), std::string::npos);
  EXPECT_NE(b->received.find("Content-Type:text/odd\r\n"), std::string::npos);
  EXPECT_TRUE(b->received.ends_with(std::string("\r\n\r\nb\0dy", 8)));
}

// The exact bytes that a listener sends to a raw client.
inline std::string raw_exchange(Address const& peer, std::string const& sent) {
  asio::io_context io;
  asio::ip::tcp::socket s(io);
  s.connect(*parse_address(peer));
  asio::write(s, asio::buffer(sent));
  std::string got;
  char raw[4096];
  boost::system::error_code ec;
  while (std::size_t const n = s.read_some(asio::buffer(raw), ec)) got.append(raw, n);
  return got;
}

inline Address free_address(SocketEnvironment& env) {
  return "127.0.0.1:" + std::to_string(on_pool([&]() {
           return asio::ip::tcp::acceptor(env.io(), {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
         }));
}

TEST(HttpEdge, every_cookie_arrives_on_its_own_line_or_the_reply_is_rejected) {
  start_pool();
  SocketEnvironment env;
  FixedReplyBackend* const b = start_backend(
      env,
      "HTTP/1.1 200 OK\r\nSet-Cookie: a=1; Expires=Wed, 21 Oct 2026 07:28:00 GMT\r\nSet-Cookie: b=2; Path=/\r\nSet-Cookie: c=\r\nVary: x\r\nVary: y\r\nContent-Length: 0\r\n\r\n");
  Result<HttpReply> const r = call_port(env, b->port(), HttpRequest{"GET", "/", {}, ""});
  ASSERT_TRUE(r);
  Address const at = free_address(env);
  HttpListener listener(env.io(), at, [&](HttpRequest) -> Task<HttpReply> { co_return *r; });
  ASSERT_TRUE(listener.open());
  std::string const got = raw_exchange(at, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  listener.close();
  for (std::string const line : {"Set-Cookie: a=1; Expires=Wed, 21 Oct 2026 07:28:00 GMT\r\n",
                                 "Set-Cookie: b=2; Path=/\r\n", "Set-Cookie: c=\r\n"})
    EXPECT_NE(got.find(line), std::string::npos) << got;
  EXPECT_NE(got.find("Vary: x, y\r\n"), std::string::npos) << got;
  FixedReplyBackend* const odd =
      start_backend(env, "HTTP/1.1 200 OK\r\nSet-Cookie: a=\"1, b=2\"\r\nSet-Cookie: c=3\r\nContent-Length: 0\r\n\r\n");
  Result<HttpReply> const no = call_port(env, odd->port(), HttpRequest{"GET", "/", {}, ""});
  EXPECT_TRUE(!no && no.error().proof == Proof::unknown);
}

}  // namespace
}  // namespace banktide
