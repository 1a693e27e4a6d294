// HTTP/1.1 with cpprestsdk, on the pool's single thread: a listener that passes complete
// requests to a coroutine, and a client that makes one call per connection. The library
// would resend on a reused connection that turns out to be closed, and follow redirects;
// neither may happen here. Only complete replies are returned: one with neither length
// nor chunks, or with ambiguous framing, is an error.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

namespace banktide {

inline constexpr std::size_t body_limit = 1u << 20;

template <class T>
Task<T> await_task(pplx::task<T> t) {
  co_await asio::async_initiate<asio::use_awaitable_t<> const, void()>(
      [](auto handler, pplx::task<T> inner) {
        auto shared_handler = std::make_shared<decltype(handler)>(std::move(handler));
        inner.then([shared_handler](pplx::task<T> const done) {
          try {
            done.wait();
          } catch (...) {
          }
          asio::post(crossplat::threadpool::shared_instance().service(),
                     [shared_handler]() { std::move (*shared_handler)(); });
        });
      },
      asio::use_awaitable, t);
  co_return t.get();
}

// Whether the library sends this target unchanged. For example, it takes a leading "//"
// as a host and would then call another path.
inline bool is_sent_unchanged(std::string const& target) {
  try {
    return web::uri_builder(web::uri("http://127.0.0.1:1")).append(web::uri(target)).to_uri().resource().to_string() ==
           target;
  } catch (web::uri_exception const&) {
    return false;
  }
}

// The library joins repeated headers with ", ", which is only ambiguous for Set-Cookie:
// a new cookie starts where a comma is followed by a name and "=". A quoted value could
// contain that pattern, so such an answer is rejected.
inline std::optional<std::vector<std::string>> split_cookies(std::string const& joined_cookies) {
  if (joined_cookies.find('"') != std::string::npos && joined_cookies.find(',') != std::string::npos)
    return std::nullopt;
  std::vector<std::string> out;
  std::size_t from = 0;
  for (std::size_t comma = joined_cookies.find(", "); comma != std::string::npos;
       comma = joined_cookies.find(", ", comma + 2)) {
    std::size_t const end = joined_cookies.find_first_of("=;, ", comma + 2);
    if (end == std::string::npos || joined_cookies[end] != '=' || end == comma + 2) continue;
    out.push_back(joined_cookies.substr(from, comma - from));
    from = comma + 2;
  }
  out.push_back(joined_cookies.substr(from));
  return out;
}

inline bool is_cookie(std::string const& name) {
  std::string const expected = "set-cookie";
  return name.size() == expected.size() && std::equal(name.begin(), name.end(), expected.begin(), [](char a, char b) {
           return std::tolower(static_cast<unsigned char>(a)) == b;
         });
}

// Reads the lines of a request body as they arrive. A sender that is much faster than
// its lines are processed is cut off before it exhausts memory.
class LineReader {
 public:
  static constexpr std::size_t line_limit = 1u << 20, backlog = 8u << 20;
  explicit LineReader(web::http::http_request const& q) : in_(q.body().streambuf()) {}

  Task<std::optional<std::string>> next() {
    while (true) {
      std::size_t const end = unread_.find('\n');
      if (end != std::string::npos) {
        std::string line = unread_.substr(0, end);
        unread_.erase(0, end + 1);
        co_return line;
      }
      if (ended_ || unread_.size() > line_limit) {
        ended_ = true;
        if (unread_.empty()) co_return std::nullopt;
        co_return std::exchange(unread_, "");
      }
      try {
        int const first = co_await await_task(in_.getc());
        std::size_t const n = in_.in_avail();
        ended_ = first < 0 || n == 0 || n > backlog;
        if (ended_) continue;
        std::vector<unsigned char> raw(std::min<std::size_t>(n, 64u << 10));
        std::size_t const got = co_await await_task(in_.getn(raw.data(), raw.size()));
        unread_.append(raw.begin(), raw.begin() + static_cast<std::ptrdiff_t>(got));
      } catch (std::exception const& e) {
        log_warn("caller_gone", {{"step", "read_lines"}, {"reason", e.what()}});
        unread_.clear();
        ended_ = true;
      }
    }
  }

 private:
  concurrency::streams::streambuf<unsigned char> in_;
  std::string unread_;
  bool ended_ = false;
};

// Writes the lines of a reply as they are produced. The reply starts with the first line.
class LineWriter {
 public:
  static constexpr std::size_t backlog = 256u << 10;
  explicit LineWriter(web::http::http_request q) : q_(std::move(q)), ended_(std::make_shared<bool>(false)) {}

  bool has_started() const { return started_; }
  bool full() const { return started_ && !*ended_ && buffer_.in_avail() > backlog; }
  bool write(std::string line) {
    if (!started_) start();
    if (*ended_) return false;
    line += '\n';
    buffer_.putn_nocopy(reinterpret_cast<unsigned char const*>(line.data()), line.size());
    buffer_.sync();
    return true;
  }
  void end() {
    if (started_) buffer_.close(std::ios_base::out);
  }

 private:
  void start() {
    started_ = true;
    web::http::http_response r(200);
    r.set_body(buffer_.create_istream(), "application/x-ndjson");
    q_.reply(r).then([ended = ended_](pplx::task<void> done) {
      try {
        done.get();
      } catch (std::exception const& e) {
        log_info("reader_gone", {{"reason", e.what()}});
      }
      *ended = true;
    });
  }
  web::http::http_request q_;
  concurrency::streams::producer_consumer_buffer<unsigned char> buffer_;
  std::shared_ptr<bool> ended_;
  bool started_ = false;
};

class HttpListener {
 public:
  using Handler = std::function<Task<HttpReply>(HttpRequest)>;
  using LineRequestHandler = std::function<Task<HttpReply>(HttpRequest, LineReader&)>;
  using LineResponseHandler = std::function<Task<std::optional<HttpReply>>(HttpRequest, LineWriter&)>;

  // Registers handlers of paths whose request body, or whose reply, is a stream of lines.
  void on_line_request(std::string const& path, LineRequestHandler h) { line_request_handlers_[path] = std::move(h); }
  void on_line_response(std::string const& path, LineResponseHandler h) {
    line_response_handlers_[path] = std::move(h);
  }

  // `address` is ip:port with a fixed port.
  HttpListener(asio::io_context& io, Address const& address, Handler handler)
      : io_(io), handler_(std::move(handler)), listener_("http://" + address + "/") {
    listener_.support([this](web::http::http_request q) {
      asio::co_spawn(io_, handle(std::move(q)), [](std::exception_ptr e) {
        if (!e) return;
        try {
          std::rethrow_exception(e);
        } catch (std::exception const& x) {
          log_warn("caller_gone", {{"step", "reply"}, {"reason", x.what()}});
        }
      });
    });
  }

  Result<bool> open() {
    try {
      listener_.open().wait();
      return true;
    } catch (std::exception const& e) {
      return make_error("listen", listener_.uri().to_string(), e.what());
    }
  }
  void close() {
    try {
      listener_.close().wait();
    } catch (std::exception const&) {
    }
  }

 private:
  Task<void> handle(web::http::http_request q) {
    HttpRequest request;
    request.method = q.method();
    request.target = q.request_uri().to_string();
    for (auto const& [name, value] : q.headers()) request.headers.push_back({name, value});
    HttpReply reply;
    std::string const path = request.target.substr(0, request.target.find('?'));
    if (request.method == "GET" && line_response_handlers_.contains(path)) {
      LineWriter out(q);
      std::optional<HttpReply> const rejection = co_await line_response_handlers_[path](std::move(request), out);
      out.end();
      if (out.has_started()) co_return;
      reply = rejection ? *rejection : HttpReply{503, {{"Retry-After", "1"}}, ""};
    } else if (request.method == "POST" && line_request_handlers_.contains(path)) {
      LineReader in(q);
      reply = co_await line_request_handlers_[path](std::move(request), in);
    } else if (!is_sent_unchanged(request.target)) {
      reply.status = 400;
      reply.headers = {{"banktide-outcome", "not-run"}, {"Connection", "close"}};
      reply.body = "this target can't be sent unchanged\n";
    } else if (q.headers().content_length() > body_limit) {
      reply.status = 413;
      reply.headers = {{"banktide-outcome", "not-run"}, {"Connection", "close"}};
    } else {
      std::vector<unsigned char> const body = co_await await_task(q.extract_vector());
      request.body.assign(body.begin(), body.end());
      if (body.size() > body_limit) {
        reply.status = 413;
        reply.headers = {{"banktide-outcome", "not-run"}};
      } else {
        reply = co_await handler_(std::move(request));
      }
    }
    web::http::http_response out(reply.status);
    out.set_body(std::vector<unsigned char>(reply.body.begin(), reply.body.end()));
    out.headers().remove("Content-Type");
    // The library writes one line per header name and values unchanged: the value of the
    // first cookie therefore includes the lines of the others.
    std::string cookies;
    for (Header const& h : reply.headers) {
      if (!is_cookie(h.name))
        out.headers().add(h.name, h.value);
      else if (h.value.find_first_of("\r\n") == std::string::npos)
        cookies += (cookies.empty() ? "" : "\r\nSet-Cookie: ") + h.value;
    }
    if (!cookies.empty()) out.headers().add("Set-Cookie", cookies);
    co_await await_task(q.reply(out));
  }

  asio::io_context& io_;
  Handler handler_;
  std::map<std::string, LineRequestHandler> line_request_handlers_;
  std::map<std::string, LineResponseHandler> line_response_handlers_;
  web::http::experimental::listener::http_listener listener_;
};

// Makes each call on a new connection. Only a failure to connect proves that nothing
// was sent.
template <Clock Env>
class HttpClient {
 public:
  explicit HttpClient(Env& env, std::string host = "127.0.0.1") : env_(env), host_(std::move(host)) {}

  Task<Result<HttpReply>> run(std::uint16_t const port, HttpRequest q, Instant const deadline) {
    return run_at(host_ + ":" + std::to_string(port), std::move(q), deadline);
  }

  // Whether a process accepts connections at the port; only a refused connection counts as no.
  Task<bool> listens(std::uint16_t const port) {
    std::shared_ptr<asio::ip::tcp::socket> s = std::make_shared<asio::ip::tcp::socket>(env_.executor());
    boost::system::error_code ec;
    asio::steady_timer limit(env_.executor(), env_.now() + 300ms);
    limit.async_wait([s](boost::system::error_code const& e) {
      if (!e) s->close();
    });
    co_await s->async_connect({asio::ip::make_address(host_), port}, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec != asio::error::connection_refused;
  }

  Task<Result<HttpReply>> run_at(Address const peer, HttpRequest q, Instant const deadline) {
    Duration const remaining = deadline - env_.now();
    if (remaining <= 1ms) co_return make_error("connect", peer, "deadline", Proof::not_run);
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::milliseconds>(remaining) + 1ms);
    config.set_max_redirects(0);
    web::http::http_request request(q.method);
    for (Header const& h : q.headers) request.headers().add(h.name, h.value);
    request.headers().remove("Connection");
    if (!is_sent_unchanged(q.target)) co_return make_error("target", peer, "can't be sent unchanged", Proof::not_run);
    if (!q.body.empty()) {
      std::string const type = request.headers().content_type();
      request.set_body(std::vector<unsigned char>(q.body.begin(), q.body.end()));
      if (type.empty())
        request.headers().remove("Content-Type");
      else
        request.headers().set_content_type(type);
    }
    pplx::cancellation_token_source cancel;
    std::shared_ptr<bool> finished = std::make_shared<bool>(false);
    std::shared_ptr<typename Env::Alarm> limit = std::make_shared<typename Env::Alarm>(env_);
    spawn(env_,
          [](std::shared_ptr<typename Env::Alarm> a, std::shared_ptr<bool> done, pplx::cancellation_token_source c,
             Instant until) -> Task<void> {
            co_await a->wait(until);
            if (!*done) c.cancel();
          }(limit, finished, cancel, deadline));
    Result<HttpReply> out = make_error("call_backend", peer, "");
    try {
      request.set_request_uri(web::uri(q.target));
      web::http::client::http_client client(web::uri("http://" + peer), config);
      web::http::http_response r = co_await await_task(client.request(request, cancel.get_token()));
      out = co_await read(std::move(r), q.method, peer);
    } catch (web::uri_exception const& e) {
      out = make_error("connect", peer, e.what(), Proof::not_run);
    } catch (std::exception const& e) {
      std::string const reason = e.what();
      bool const unsent = reason.starts_with("Failed to connect to any resolved endpoint");
      out = make_error(unsent ? "connect" : "call_backend", peer, reason, unsent ? Proof::not_run : Proof::unknown);
    }
    *finished = true;
    limit->wake();
    co_return out;
  }

 private:
  Task<Result<HttpReply>> read(web::http::http_response r, std::string const method, Address const peer) {
    HttpReply reply;
    reply.status = r.status_code();
    if (reply.status < 200 || reply.status > 599)
      co_return make_error("read_reply", peer, "status " + std::to_string(reply.status));
    std::string length, coding;
    for (auto const& [name, value] : r.headers()) {
      std::string n = name;
      for (char& c : n) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      if (n == "content-length")
        length = value;
      else if (n == "transfer-encoding")
        coding = value;
      std::optional<std::vector<std::string>> const cookies_or_value =
          n == "set-cookie" ? split_cookies(value) : std::vector<std::string>{value};
      if (!cookies_or_value) co_return make_error("read_reply", peer, "ambiguous cookies");
      for (std::string const& one : *cookies_or_value) reply.headers.push_back({name, one});
    }
    bool const bodyless = method == "HEAD" || reply.status == 204 || reply.status == 304;
    bool const has_length =
        !length.empty() && length.size() < 10 && length.find_first_not_of("0123456789") == std::string::npos;
    if (!bodyless && !(has_length && coding.empty()) && !(coding == "chunked" && length.empty()))
      co_return make_error("read_reply", peer, "neither a single length nor chunked");
    if (has_length && !bodyless && std::stoul(length) > body_limit)
      co_return make_error("read_reply", peer, "body over the limit");
    if (bodyless) co_return reply;
    std::vector<unsigned char> const body = co_await await_task(r.extract_vector());
    if (has_length && body.size() != std::stoul(length))
      co_return make_error("read_reply", peer, "body differs from its length");
    if (body.size() > body_limit) co_return make_error("read_reply", peer, "body over the limit");
    reply.body.assign(body.begin(), body.end());
    co_return reply;
  }

  Env& env_;
  std::string const host_;
};

}  // namespace banktide
