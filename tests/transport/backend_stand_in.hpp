// The backend's end of a connection, driven by a test, and the calls sent to it.
#pragma once

#include "transport/backend_connections.hpp"
#include "transport/http_codec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

namespace banktide {

using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A deadline that no test is meant to reach.
inline constexpr Duration long_enough = 50s;

class Peer {
 public:
  explicit Peer(tcp::socket s) : socket(std::move(s)) {}

  // The next complete request, as bytes; empty if the connection ended first.
  Task<std::string> next() {
    RequestParser parser(1u << 20, 1u << 30);
    std::string request;
    ErrorCode error;
    while (true) {
      std::size_t const used = parser.parse(unread, error, false);
      request += unread.substr(0, used);
      unread.erase(0, used);
      if (error) throw std::runtime_error("not a request: " + error.message());
      if (parser.is_done()) break;
      char bytes[4096];
      std::size_t const count =
          co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return "";
      unread.append(bytes, count);
    }
    co_return request;
  }
  Task<void> send(std::string const bytes) {
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
  }
  void reset() {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  tcp::socket socket;
  std::string unread;  // bytes received after the last request
};

inline std::string answer(std::string const& id, std::string const& body, std::string const& more = "") {
  return "HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline BackendCall call_of(std::string const& id, bool const repeatable = true, std::string const& method = "GET") {
  BackendCall call;
  call.request.method = method;
  call.request.target = "/" + id;
  call.request.headers = {{"Host", "a"}, {"X-Attempt", id}};
  call.attempt_header = "X-Attempt";
  call.attempt_id = id;
  call.deadline = std::chrono::steady_clock::now() + long_enough;
  call.repeatable = repeatable;
  return call;
}

}  // namespace banktide
