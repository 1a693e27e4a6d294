// The HTTP server against raw sockets on the same io_context: the exact bytes that
// clients receive for valid and malformed input.
#include "transport/http_server.hpp"

#include "transport/http_codec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <algorithm>
#include <map>
#include <random>
#include <stdexcept>

namespace banktide {
namespace {

using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr Duration watchdog = 60s;  // only ends hanging tests; not a bound on speed

// Opened once; any number of tasks may wait for it.
class Gate {
 public:
  explicit Gate(asio::io_context& io) : timer_(io, Instant::max()) {}
  void open() {
    open_ = true;
    timer_.cancel();
  }
  Task<void> wait() {
    ErrorCode ignored;
    if (!open_) co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

 private:
  asio::steady_timer timer_;
  bool open_ = false;
};

class RawClient {
 public:
  explicit RawClient(asio::io_context& io) : socket(io) {}

  Task<void> connect(Address const address) {
    co_await socket.async_connect(*endpoint_of(address), asio::use_awaitable);
  }
  Task<void> send(std::string const bytes) {
    ErrorCode ignored;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ignored));
  }
  // The next answer with its headers as received; status 0 if the connection ended first.
  Task<HttpReply> next(bool const to_head = false) {
    ReplyParser parser(1u << 20, 1u << 30);
    parser.skip(to_head);
    ErrorCode error;
    while (!parser.is_done()) {
      std::size_t const used = parser.parse(unread, error, false);
      unread.erase(0, used);
      if (error) throw std::runtime_error("not an answer: " + error.message());
      if (parser.is_done()) break;
      if (!co_await read_more()) {
        EXPECT_FALSE(parser.got_some()) << "an answer ended early";
        HttpReply none;
        co_return none;
      }
    }
    HttpReply reply;
    reply.status = parser.status;
    reply.headers = std::move(parser.headers);
    reply.body = std::move(parser.body);
    co_return reply;
  }
  Task<bool> read_more() {
    char bytes[4096];
    std::size_t const count =
        co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, end));
    unread.append(bytes, count);
    co_return !end;
  }
  Task<std::string> rest() {
    bool more = true;
    while (more) more = co_await read_more();
    co_return unread;
  }
  void reset() {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  tcp::socket socket;
  std::string unread;
  ErrorCode end;
};

std::string value_of(HttpReply const& reply, std::string_view const name) {
  std::string const* const value = find_header(reply.headers, name);
  return value ? *value : "";
}

class HttpServerTest : public ::testing::Test {
 protected:
  void serve(HttpHandler handler, HttpServerLimits const limits = HttpServerLimits()) {
    server = std::make_unique<HttpServer>(io, std::move(handler), limits);
    address = *server->listen("127.0.0.1:0");
  }
  // Answers with the request's target and body, and remembers the request.
  HttpHandler echo() {
    return [this](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
      HttpReply reply;
      reply.status = 200;
      reply.body = request.target + "|" + request.body;
      seen.push_back(std::move(request));
      co_return reply;
    };
  }
  void run(std::function<Task<void>()> script) {
    std::exception_ptr failure;
    bool ended = false;
    asio::co_spawn(io, script(), [&](std::exception_ptr const e) {
      failure = e;
      ended = true;
      io.stop();
    });
    io.run_for(watchdog);
    EXPECT_TRUE(ended) << "the script hangs";
    if (failure) std::rethrow_exception(failure);
  }
  Task<HttpReply> one_answer(std::string const bytes) {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(bytes);
    HttpReply reply = co_await client.next();
    co_return reply;
  }
  // Lets all ready tasks run.
  Task<void> run_ready_tasks() { co_await asio::post(io, asio::use_awaitable); }

  asio::io_context io{1};
  std::vector<HttpRequest> seen;
  std::unique_ptr<HttpServer> server;
  Address address;
};

std::string get(std::string const& target, std::string const& more = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n" + more + "\r\n";
}

TEST_F(HttpServerTest, pipelined_requests_are_handled_concurrently_and_answered_in_order) {
  Gate gate(io);
  serve([&](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
    if (request.target == "/3") gate.open();
    if (request.target == "/1") co_await gate.wait();
    HttpReply reply;
    reply.status = 200;
    reply.body = request.target;
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(get("/1") + get("/2") + get("/3"));
    for (std::string const expected : {"/1", "/2", "/3"}) {
      HttpReply const reply = co_await client.next();
      EXPECT_EQ(reply.body, expected);
      EXPECT_EQ(value_of(reply, "Keep-Alive"), "timeout=14");
      EXPECT_EQ(value_of(reply, "Connection"), "");
    }
    EXPECT_EQ(server->connections(), 1u);
    EXPECT_EQ(server->buffered(), 0u);
  });
}

TEST_F(HttpServerTest, at_most_sixteen_requests_of_a_connection_are_handled_concurrently) {
  Gate gate(io);
  std::size_t most = 0;
  std::size_t started = 0;
  serve([&](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
    most = std::max(most, server->in_flight());
    if (++started == 16) gate.open();
    co_await gate.wait();
    HttpReply reply;
    reply.status = 200;
    reply.body = request.target;
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    std::string all;
    for (int i = 0; i < 60; ++i) all += get("/" + std::to_string(i));
    co_await client.send(all);
    for (int i = 0; i < 60; ++i) {
      HttpReply const reply = co_await client.next();
      EXPECT_EQ(reply.body, "/" + std::to_string(i));
    }
    EXPECT_EQ(most, 16u);
  });
}

TEST_F(HttpServerTest, bodies_with_a_length_or_chunks_are_read_completely_in_pieces_of_any_size) {
  serve(echo());
  run([&]() -> Task<void> {
    std::string const bytes =
        "POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
        "\r\nPUT /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nX-Trailer: dropped\r\n\r\n";
    for (std::size_t piece : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
      RawClient client(io);
      co_await client.connect(address);
      for (std::size_t at = 0; at < bytes.size(); at += piece) {
        co_await client.send(bytes.substr(at, piece));
        co_await run_ready_tasks();
      }
      HttpReply const first = co_await client.next();
      HttpReply const second = co_await client.next();
      EXPECT_EQ(first.body, "/length|hello");
      EXPECT_EQ(second.body, "/chunks|hello");
      EXPECT_EQ(seen.back().headers, (std::vector<Header>{{"Host", "a"}}));
    }
  });
}

TEST_F(HttpServerTest, a_large_body_is_received_and_returned) {
  serve(echo());
  run([&]() -> Task<void> {
    std::string const body(3u << 20, 'b');
    HttpReply const reply = co_await one_answer(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(reply.body, "/|" + body);
  });
}

TEST_F(HttpServerTest, malformed_ambiguous_and_oversized_requests_are_rejected_and_the_connection_ends_cleanly) {
  HttpServerLimits limits;
  limits.header_bytes = 1000;
  limits.body_bytes = 100;
  serve(echo(), limits);
  std::string const post = "POST / HTTP/1.1\r\nHost: a\r\n";
  std::vector<std::pair<std::string, std::uint16_t>> const cases{
      {post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400},
      {post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nhello", 400},
      {post + "Content-Length: 4, 5\r\n\r\nhello", 400},
      {post + "Content-Length: -4\r\n\r\nhello", 400},
      {post + "Content-Length: +4\r\n\r\nhello", 400},
      {post + "Content-Length : 4\r\n\r\nhell", 400},
      {post + "Transfer-Encoding: gzip\r\n\r\n", 400},
      {post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400},
      {post + "Host: b\r\n\r\n", 400},
      {"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"GET / HTTP/1.1\nHost: a\n\n", 400},
      {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400},
      {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"\x16\x03\x01\x02", 400},
      {get("/", "X: " + std::string(2000, 'x') + "\r\n"), 431},
      {"GET /" + std::string(2000, 'x') + " HTTP/1.1\r\n\r\n", 431},
      {post + "Content-Length: 101\r\n\r\n" + std::string(101, 'x'), 413},
      {post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n", 413},
  };
  run([&]() -> Task<void> {
    for (auto const& [bytes, status] : cases) {
      RawClient client(io);
      co_await client.connect(address);
      co_await client.send(bytes + get("/behind"));
      HttpReply const reply = co_await client.next();
      EXPECT_EQ(reply.status, status) << bytes;
      EXPECT_EQ(value_of(reply, "Connection"), "close") << bytes;
      EXPECT_EQ(value_of(reply, "Content-Length"), "0") << bytes;
      std::string const rest = co_await client.rest();
      EXPECT_EQ(rest, "") << bytes;
      EXPECT_EQ(client.end, asio::error::eof) << bytes;
    }
    EXPECT_TRUE(seen.empty());
  });
}

TEST_F(HttpServerTest, many_short_headers_count_together_against_the_limit) {
  HttpServerLimits limits;
  limits.header_bytes = 1000;
  serve(echo(), limits);
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send("GET / HTTP/1.1\r\nHost: a\r\n");
    for (int i = 0; i < 200 && server->connections() > 0; ++i) {
      co_await client.send("X: 123456789\r\n");
      co_await run_ready_tasks();
    }
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.status, 431);
  });
}

TEST_F(HttpServerTest, a_rejection_reaches_a_client_that_is_still_sending) {
  HttpServerLimits limits;
  limits.body_bytes = 1000;
  serve(echo(), limits);
  run([&]() -> Task<void> {
    std::string const body(1u << 20, 'b');
    HttpReply const reply = co_await one_answer(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_EQ(reply.status, 413);
  });
}

TEST_F(HttpServerTest, a_slow_header_is_answered_408_after_the_answers_before_it) {
  HttpServerLimits limits;
  limits.header_timeout = 1ms;
  serve(echo(), limits);
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(get("/1") + "GET /2 HTTP/1.1\r\nHo");
    HttpReply const first = co_await client.next();
    HttpReply const second = co_await client.next();
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.status, 408);
    EXPECT_EQ(value_of(second, "Connection"), "close");
    EXPECT_EQ(seen.size(), 1u);
  });
}

TEST_F(HttpServerTest, continue_is_sent_to_clients_that_expect_it) {
  serve(echo());
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    HttpReply const interim = co_await client.next();
    EXPECT_EQ(interim.status, 100);
    co_await client.send("ok");
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "/|ok");
  });
}

TEST_F(HttpServerTest, over_the_limit_of_buffered_bytes_requests_are_answered_503_with_retry_after) {
  HttpServerLimits limits;
  limits.buffered_bytes = 1000;
  serve(echo(), limits);
  run([&]() -> Task<void> {
    std::string const declared = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n";
    std::string const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n";
    for (std::string const& bytes : {declared, chunked + std::string(2000, 'x')}) {
      HttpReply const reply = co_await one_answer(bytes);
      EXPECT_EQ(reply.status, 503);
      EXPECT_EQ(value_of(reply, "Retry-After"), "0.2");
      EXPECT_EQ(value_of(reply, "Connection"), "close");
    }
    HttpReply const fits = co_await one_answer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(fits.status, 200);
    EXPECT_EQ(server->buffered(), 0u);
    EXPECT_EQ(seen.size(), 1u);
  });
}

TEST_F(HttpServerTest, an_idle_connection_is_closed_without_an_answer) {
  HttpServerLimits limits;
  limits.idle_timeout = 1ms;
  serve(echo(), limits);
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    std::string const rest = co_await client.rest();
    EXPECT_EQ(rest, "");
    EXPECT_EQ(server->connections(), 0u);
  });
}

TEST_F(HttpServerTest, over_the_connection_limit_the_oldest_idle_one_is_closed_or_the_new_one_is_rejected) {
  Gate gate(io);
  Gate started(io);
  HttpServerLimits limits;
  limits.connections = 2;
  serve(
      [&](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
        if (server->in_flight() == 2) started.open();
        if (request.target == "/wait") co_await gate.wait();
        HttpReply reply;
        reply.status = 200;
        co_return reply;
      },
      limits);
  run([&]() -> Task<void> {
    RawClient first(io), second(io), third(io), fourth(io);
    co_await first.connect(address);
    co_await second.connect(address);
    co_await third.connect(address);
    std::string const rest = co_await first.rest();
    EXPECT_EQ(rest, "");
    co_await second.send(get("/wait"));
    co_await third.send(get("/wait"));
    co_await started.wait();
    co_await fourth.connect(address);
    co_await fourth.send(get("/"));
    HttpReply const refused = co_await fourth.next();
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(value_of(refused, "Retry-After"), "0.2");
    gate.open();
    HttpReply const reply = co_await second.next();
    EXPECT_EQ(reply.status, 200);
  });
}

TEST_F(HttpServerTest, close_and_keep_alive_requests_of_the_client_are_honoured) {
  serve(echo());
  run([&]() -> Task<void> {
    RawClient closing(io), old(io), old_kept(io);
    co_await closing.connect(address);
    co_await closing.send(get("/1", "Connection: close\r\n") + get("/2"));
    HttpReply const last = co_await closing.next();
    EXPECT_EQ(last.body, "/1|");
    EXPECT_EQ(value_of(last, "Connection"), "close");
    std::string const rest = co_await closing.rest();
    EXPECT_EQ(rest, "");
    EXPECT_EQ(seen.size(), 1u);

    co_await old.connect(address);
    co_await old.send("GET /old HTTP/1.0\r\n\r\n");
    HttpReply const once = co_await old.next();
    EXPECT_EQ(value_of(once, "Connection"), "close");

    co_await old_kept.connect(address);
    for (int i = 0; i < 2; ++i) {
      co_await old_kept.send("GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
      HttpReply const kept = co_await old_kept.next();
      EXPECT_EQ(value_of(kept, "Connection"), "keep-alive");
    }
  });
}

TEST_F(HttpServerTest, headers_other_than_hop_by_hop_ones_pass_unchanged) {
  serve([&](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
    seen.push_back(request);
    HttpReply reply;
    reply.status = 200;
    reply.body = "ok";
    reply.headers = {{"X-b", "2"},
                     {"x-A", "1"},
                     {"Connection", "X-Hop"},
                     {"X-Hop", "gone"},
                     {"Content-Length", "9"},
                     {"Transfer-Encoding", "chunked"},
                     {"X-Bad", "a\r\nB: c"},
                     {"X-b", "3"}};
    co_return reply;
  });
  run([&]() -> Task<void> {
    std::string const hops =
        "X-b: 2\r\nx-A: 1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: h\r\nKeep-Alive: timeout=4\r\n"
        "Proxy-Authorization: p\r\nTE: trailers\r\nTrailer: t\r\nUpgrade: h2c\r\nX-b: 3\r\n";
    HttpReply const reply = co_await one_answer(get("/", hops));
    std::vector<Header> const passed{{"Host", "a.example"}, {"X-b", "2"}, {"x-A", "1"}, {"X-b", "3"}};
    EXPECT_EQ(seen.at(0).headers, passed);
    std::vector<Header> const answered{
        {"X-b", "2"}, {"x-A", "1"}, {"X-b", "3"}, {"Content-Length", "2"}, {"Keep-Alive", "timeout=14"}};
    EXPECT_EQ(reply.headers, answered);
  });
}

TEST_F(HttpServerTest, answers_without_a_body_send_none) {
  serve([&](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
    HttpReply reply;
    reply.status = static_cast<std::uint16_t>(std::stoi(request.target.substr(1)));
    reply.body = "body";
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(get("/204") + get("/304") + "HEAD /200 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/199") +
                         get("/200", "Connection: close\r\n"));
    HttpReply const empty = co_await client.next();
    EXPECT_EQ(empty.status, 204);
    EXPECT_EQ(value_of(empty, "Content-Length"), "");
    HttpReply const unchanged = co_await client.next();
    EXPECT_EQ(unchanged.status, 304);
    HttpReply const head = co_await client.next(true);
    EXPECT_EQ(value_of(head, "Content-Length"), "4");
    HttpReply const mistake = co_await client.next();
    EXPECT_EQ(mistake.status, 500);
    HttpReply const last = co_await client.next();
    EXPECT_EQ(last.body, "body");
    std::string const rest = co_await client.rest();
    EXPECT_EQ(rest, "");
  });
}

TEST_F(HttpServerTest, a_handler_that_throws_is_answered_500) {
  serve([&](HttpRequest, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
    throw std::runtime_error("mistake");
    co_return HttpReply();
  });
  run([&]() -> Task<void> {
    HttpReply const reply = co_await one_answer(get("/"));
    EXPECT_EQ(reply.status, 500);
  });
}

TEST_F(HttpServerTest, a_client_that_finished_sending_is_noticed_and_still_answered) {
  Gate gate(io);
  ClientState reported_state = ClientState::connected;
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> exchange) -> Task<HttpReply> {
    exchange->on_hang_up = [&](ClientState const state) {
      reported_state = state;
      gate.open();
    };
    co_await gate.wait();
    HttpReply reply;
    reply.status = 200;
    reply.body = "still";
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(get("/"));
    client.socket.shutdown(tcp::socket::shutdown_send);
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.body, "still");
    EXPECT_EQ(value_of(reply, "Connection"), "close");
    EXPECT_EQ(reported_state, ClientState::finished_sending);
    std::string const rest = co_await client.rest();
    EXPECT_EQ(rest, "");
  });
}

TEST_F(HttpServerTest, a_reset_is_noticed_while_the_request_is_handled_and_its_answer_is_dropped) {
  Gate started(io), gone(io);
  std::shared_ptr<HttpExchange> kept;
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> exchange) -> Task<HttpReply> {
    kept = exchange;
    exchange->on_hang_up = [&](ClientState) { gone.open(); };
    started.open();
    co_await gone.wait();
    HttpReply reply;
    reply.status = 200;
    reply.body = "late";
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(get("/"));
    co_await started.wait();
    client.reset();
    co_await gone.wait();
    EXPECT_TRUE(kept->client_gone());
    while (server->in_flight() > 0) co_await run_ready_tasks();
    EXPECT_EQ(server->connections(), 0u);
    EXPECT_EQ(server->buffered(), 0u);
  });
}

TEST_F(HttpServerTest, a_reset_after_the_client_finished_sending_is_noticed) {
  Gate started(io), finished(io), gone(io);
  serve([&](HttpRequest, std::shared_ptr<HttpExchange> exchange) -> Task<HttpReply> {
    exchange->on_hang_up = [&](ClientState const state) { (state == ClientState::gone ? gone : finished).open(); };
    started.open();
    co_await gone.wait();
    HttpReply reply;
    reply.status = 200;
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient client(io);
    co_await client.connect(address);
    co_await client.send(get("/"));
    client.socket.shutdown(tcp::socket::shutdown_send);
    co_await finished.wait();
    client.reset();
    co_await gone.wait();
    EXPECT_EQ(server->connections(), 0u);
  });
}

TEST_F(HttpServerTest, draining_answers_all_received_requests_and_closes_with_the_last_answer) {
  Gate gate(io), started(io);
  serve([&](HttpRequest request, std::shared_ptr<HttpExchange>) -> Task<HttpReply> {
    seen.push_back(request);
    if (seen.size() == 2) started.open();
    co_await gate.wait();
    HttpReply reply;
    reply.status = 200;
    reply.body = request.target;
    co_return reply;
  });
  run([&]() -> Task<void> {
    RawClient busy(io), idle(io);
    co_await busy.connect(address);
    co_await idle.connect(address);
    co_await busy.send(get("/1") + get("/2"));
    co_await started.wait();
    server->drain();
    co_await busy.send(get("/behind"));
    co_await run_ready_tasks();
    gate.open();
    HttpReply const first = co_await busy.next();
    HttpReply const second = co_await busy.next();
    EXPECT_EQ(value_of(first, "Connection"), "");
    EXPECT_EQ(second.body, "/2");
    EXPECT_EQ(value_of(second, "Connection"), "");
    HttpReply const after = co_await busy.next();
    EXPECT_EQ(after.body, "/behind");
    EXPECT_EQ(value_of(after, "Connection"), "close");
    std::string const rest = co_await busy.rest();
    EXPECT_EQ(rest, "");
    EXPECT_EQ(seen.size(), 3u);
    co_await idle.send(get("/3"));
    HttpReply const third = co_await idle.next();
    EXPECT_EQ(third.body, "/3");
    EXPECT_EQ(value_of(third, "Connection"), "close");
  });
}

TEST_F(HttpServerTest, a_closed_listener_refuses_connections_and_open_ones_are_still_served) {
  serve(echo());
  run([&]() -> Task<void> {
    RawClient client(io), late(io);
    co_await client.connect(address);
    co_await client.send(get("/1"));
    HttpReply const first = co_await client.next();
    EXPECT_EQ(first.status, 200);
    server->close_listener();
    ErrorCode refused;
    co_await late.socket.async_connect(*endpoint_of(address), asio::redirect_error(asio::use_awaitable, refused));
    EXPECT_EQ(refused, asio::error::connection_refused);
    co_await client.send(get("/2"));
    HttpReply const second = co_await client.next();
    EXPECT_EQ(second.status, 200);
  });
}

TEST_F(HttpServerTest, a_port_in_use_is_an_error) {
  serve(echo());
  HttpServer other(io, echo(), HttpServerLimits());
  EXPECT_FALSE(other.listen(address));
  EXPECT_FALSE(other.listen("nowhere"));
}

// Valid and corrupted requests and random bytes, in random pieces: the server never
// crashes, and each answer belongs to a handled request, in order, except for one
// rejection that ends the connection.
TEST_F(HttpServerTest, corrupted_input_never_yields_an_answer_without_a_request) {
  HttpServerLimits limits;
  limits.header_bytes = 2000;
  limits.body_bytes = 2000;
  serve(echo(), limits);
  std::mt19937_64 random(20261202);
  run([&]() -> Task<void> {
    for (int round = 0; round < 400; ++round) {
      std::string bytes;
      for (std::uint64_t parts = 1 + random() % 6; parts > 0; --parts) {
        std::string part = random() % 2 == 0
                               ? get("/" + std::to_string(random() % 100))
                               : "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        if (random() % 3 == 0) part[random() % part.size()] = static_cast<char>(random());
        if (random() % 6 == 0) part.resize(random() % part.size());
        if (random() % 10 == 0)
          for (int i = 0; i < 40; ++i) part.push_back(static_cast<char>(random()));
        bytes += part;
      }
      seen.clear();
      RawClient client(io);
      co_await client.connect(address);
      for (std::size_t at = 0; at < bytes.size();) {
        std::size_t const piece = 1 + random() % 200;
        co_await client.send(bytes.substr(at, piece));
        at += piece;
        if (random() % 2 == 0) co_await run_ready_tasks();
      }
      ErrorCode ignored;
      client.socket.shutdown(tcp::socket::shutdown_send, ignored);
      std::size_t answered = 0;
      bool refused = false;
      while (true) {
        HttpReply const reply = co_await client.next(answered < seen.size() && seen[answered].method == "HEAD");
        if (reply.status == 0) break;
        EXPECT_FALSE(refused);
        if (reply.status == 200) {
          EXPECT_EQ(reply.body, seen.at(answered).target + "|" + seen.at(answered).body);
          ++answered;
        } else {
          refused = true;
        }
      }
      EXPECT_LE(answered, seen.size());
      EXPECT_EQ(client.unread, "");
    }
    while (server->connections() > 0) co_await run_ready_tasks();
    EXPECT_EQ(server->buffered(), 0u);
  });
}

}  // namespace
}  // namespace banktide
