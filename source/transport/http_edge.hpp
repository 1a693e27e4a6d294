// HTTP/1.1 by cpprestsdk, on the pool's one thread: a listener that hands whole
// requests to a coroutine, and a client that makes one call on one fresh
// connection. The library would send again on a reused connection that turns
// out closed, and follows redirects; neither may happen here. A reply is whole
// before it is shown: one with neither length nor chunks, or with doubtful
// framing, is a mishap.
#pragma once

#include "protocol/messages.hpp"
#include "transport/surroundings.hpp"

#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

namespace banktide {

inline constexpr std::size_t body_limit = 1u << 20;

template <class T>
Task<T> await_task(pplx::task<T> t) {
  co_await asio::async_initiate<asio::use_awaitable_t<> const, void()>(
      [](auto handler, pplx::task<T> inner) {
        auto kept = std::make_shared<decltype(handler)>(std::move(handler));
        inner.then([kept](pplx::task<T> const done) {
          try {
            done.wait();
          } catch (...) {
          }
          asio::post(crossplat::threadpool::shared_instance().service(), [kept]() { std::move (*kept)(); });
        });
      },
      asio::use_awaitable, t);
  co_return t.get();
}

class HttpListener {
 public:
  using Handler = std::function<Task<HttpReply>(HttpRequest)>;

  // `address` is ip:port with the port given.
  HttpListener(asio::io_context& io, Address const& address, Handler handler) : io_(io), handler_(std::move(handler)), listener_("http://" + address + "/") {
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
      return mishap("listen", listener_.uri().to_string(), e.what());
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
    if (q.headers().content_length() > body_limit) {
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
    for (Header const& h : reply.headers) out.headers().add(h.name, h.value);
    co_await await_task(q.reply(out));
  }

  asio::io_context& io_;
  Handler handler_;
  web::http::experimental::listener::http_listener listener_;
};

// One call on one fresh connection. Only a failure to connect is proof that
// nothing was sent.
template <Clock W>
class HttpCaller {
 public:
  explicit HttpCaller(W& w, std::string host = "127.0.0.1") : w_(w), host_(std::move(host)) {}

  Task<Result<HttpReply>> run(std::uint16_t const port, HttpRequest q, Instant const deadline) { return run_at(host_ + ":" + std::to_string(port), std::move(q), deadline); }

  Task<Result<HttpReply>> run_at(Address const peer, HttpRequest q, Instant const deadline) {
    Duration const left = deadline - w_.now();
    if (left <= 1ms) co_return mishap("connect", peer, "deadline", Proof::not_run);
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::milliseconds>(left) + 1ms);
    config.set_max_redirects(0);
    web::http::http_request request(q.method);
    for (Header const& h : q.headers) request.headers().add(h.name, h.value);
    request.headers().remove("Connection");
    request.headers().add("Connection", "close");
    if (!q.body.empty()) {
      std::string const type = request.headers().content_type();
      request.set_body(std::vector<unsigned char>(q.body.begin(), q.body.end()));
      if (type.empty()) request.headers().remove("Content-Type");
      else request.headers().set_content_type(type);
    }
    pplx::cancellation_token_source cancel;
    typename W::Alarm alarm(w_);
    bool over = false;
    std::shared_ptr<bool> finished = std::make_shared<bool>(false);
    std::shared_ptr<typename W::Alarm> limit = std::make_shared<typename W::Alarm>(w_);
    spawn(w_, [](std::shared_ptr<typename W::Alarm> a, std::shared_ptr<bool> done, pplx::cancellation_token_source c, Instant until) -> Task<void> {
      co_await a->wait(until);
      if (!*done) c.cancel();
    }(limit, finished, cancel, deadline));
    Result<HttpReply> out = mishap("call_backend", peer, "");
    try {
      request.set_request_uri(web::uri(q.target));
      web::http::client::http_client client(web::uri("http://" + peer), config);
      web::http::http_response r = co_await await_task(client.request(request, cancel.get_token()));
      out = co_await read(std::move(r), q.method, peer);
    } catch (web::uri_exception const& e) {
      out = mishap("connect", peer, e.what(), Proof::not_run);
    } catch (std::exception const& e) {
      std::string const reason = e.what();
      bool const unsent = reason.starts_with("Failed to connect to any resolved endpoint");
      out = mishap(unsent ? "connect" : "call_backend", peer, over ? "deadline" : reason, unsent ? Proof::not_run : Proof::unknown);
    }
    *finished = true;
    limit->wake();
    co_return out;
  }

 private:
  Task<Result<HttpReply>> read(web::http::http_response r, std::string const method, Address const peer) {
    HttpReply reply;
    reply.status = r.status_code();
    if (reply.status < 200 || reply.status > 599) co_return mishap("read_reply", peer, "status " + std::to_string(reply.status));
    std::string length, coding;
    for (auto const& [name, value] : r.headers()) {
      std::string n = name;
      for (char& c : n) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      if (n == "content-length") length = value;
      else if (n == "transfer-encoding") coding = value;
      reply.headers.push_back({name, value});
    }
    bool const bodyless = method == "HEAD" || reply.status == 204 || reply.status == 304;
    bool const counted = !length.empty() && length.size() < 10 && length.find_first_not_of("0123456789") == std::string::npos;
    if (!bodyless && !(counted && coding.empty()) && !(coding == "chunked" && length.empty())) co_return mishap("read_reply", peer, "neither one length nor chunks");
    if (counted && !bodyless && std::stoul(length) > body_limit) co_return mishap("read_reply", peer, "body over the limit");
    if (bodyless) co_return reply;
    std::vector<unsigned char> const body = co_await await_task(r.extract_vector());
    if (counted && body.size() != std::stoul(length)) co_return mishap("read_reply", peer, "body differs from its length");
    if (body.size() > body_limit) co_return mishap("read_reply", peer, "body over the limit");
    reply.body.assign(body.begin(), body.end());
    co_return reply;
  }

  W& w_;
  std::string const host_;
};

}  // namespace banktide
