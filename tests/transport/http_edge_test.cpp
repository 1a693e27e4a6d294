// Calls to crooked backends, and what listeners answer, byte for byte.
#include "transport/http_edge.hpp"

#include "transport/socket_environment.hpp"

#include <future>
#include <gtest/gtest.h>

namespace banktide {
namespace {

// A backend that answers with the given bytes, whatever it was asked, and
// counts the connections made to it.
class CrookedBackend {
 public:
  CrookedBackend(asio::io_context& io, std::string bytes)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), bytes_(std::move(bytes)) {
    asio::co_spawn(io, serve(), asio::detached);
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections = 0;
  std::string asked;

 private:
  bool whole() const {
    std::size_t const end = asked.find("\r\n\r\n"), at = asked.find("Content-Length:");
    return end != std::string::npos &&
           (at == std::string::npos || asked.size() >= end + 4 + std::stoul(asked.substr(at + 15)));
  }
  Task<void> serve() {
    while (true) {
      asio::ip::tcp::socket s = co_await acceptor_.async_accept(asio::use_awaitable);
      ++connections;
      char raw[65536];
      boost::system::error_code ec;
      asked.clear();
      while (!ec && !whole()) {
        std::size_t const n =
            co_await s.async_read_some(asio::buffer(raw), asio::redirect_error(asio::use_awaitable, ec));
        asked.append(raw, n);
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

// What the library has still to do on the pool when the last test is over is
// done before the process ends: the pool drops what it holds then.
class PoolEmptied : public testing::Environment {
 public:
  void TearDown() override {
    for (int i = 0; i < 64; ++i) on_pool([]() { return true; });
  }
};
inline testing::Environment* const pool_emptied = testing::AddGlobalTestEnvironment(new PoolEmptied());

// They stay for the whole test run, as the pool does.
inline CrookedBackend* crooked(SocketEnvironment& env, std::string const& bytes) {
  static std::vector<CrookedBackend*>* const all = new std::vector<CrookedBackend*>();
  return on_pool([&]() {
    all->push_back(new CrookedBackend(env.io(), bytes));
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

TEST(HttpEdge, only_a_whole_reply_is_an_answer_and_nothing_is_sent_twice) {
  start_pool();
  SocketEnvironment env;
  struct Trap {
    std::string bytes;
    bool good;
  };
  for (Trap const& t : {
           Trap{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
           Trap{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
           Trap{"HTTP/1.1 204 No Content\r\n\r\n", true},
           Trap{"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", true},
           Trap{"HTTP/1.1 200 OK\r\n\r\nhello", false},
           Trap{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello", false},
           Trap{"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello", false},
           Trap{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello", false},
           Trap{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                false},
           Trap{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
           Trap{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", false},
           Trap{"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nhello", false},
           Trap{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
           Trap{std::string("\0\1garbage\r\n\r\n", 13), false},
           Trap{"", false},
       }) {
    CrookedBackend* const b = crooked(env, t.bytes);
    Result<HttpReply> const r = call_port(env, b->port(), HttpRequest{"POST", "/pay/1", {}, "x"});
    EXPECT_EQ(r.has_value(), t.good) << t.bytes << (r ? "" : r.error().reason);
    EXPECT_TRUE(r || r.error().proof == Proof::unknown) << t.bytes;
    EXPECT_EQ(b->connections, 1u) << t.bytes;
  }
}

TEST(HttpEdge, a_refused_connection_is_proof_that_nothing_ran) {
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

TEST(HttpEdge, method_path_query_headers_and_body_go_as_they_came) {
  start_pool();
  SocketEnvironment env;
  CrookedBackend* const b = crooked(env, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
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
  EXPECT_TRUE(b->asked.starts_with("PURGE /a/../b%2Fc%20d?x=1&y=%41&& HTTP/1.1\r\n")) << b->asked;
  EXPECT_NE(b->asked.find("x-odd:a  b\r\n"), std::string::npos);
  EXPECT_NE(b->asked.find("Content-Type:text/odd\r\n"), std::string::npos);
  EXPECT_TRUE(b->asked.ends_with(std::string("\r\n\r\nb\0dy", 8)));
}

// What a plain client gets from a listener, byte for byte.
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

TEST(HttpEdge, every_cookie_arrives_on_its_own_line_or_the_answer_is_no_answer) {
  start_pool();
  SocketEnvironment env;
  CrookedBackend* const b = crooked(
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
  CrookedBackend* const odd =
      crooked(env, "HTTP/1.1 200 OK\r\nSet-Cookie: a=\"1, b=2\"\r\nSet-Cookie: c=3\r\nContent-Length: 0\r\n\r\n");
  Result<HttpReply> const no = call_port(env, odd->port(), HttpRequest{"GET", "/", {}, ""});
  EXPECT_TRUE(!no && no.error().proof == Proof::unknown);
}

}  // namespace
}  // namespace banktide
