// The HTTP/1.1 server of a process: it reads requests (with keep-alive and pipelining),
// passes each complete one to a handler and writes the answers in the order of the
// requests. It handles everything that concerns a single client connection: limits,
// timeouts, hop-by-hop headers, lengths and closing. Everything runs on the thread of
// the given io_context; one coarse timer serves all connections.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <functional>
#include <memory>

namespace banktide {

/// Limits on requests, timeouts and memory.
struct HttpServerLimits {
  std::size_t header_bytes = 16u << 10;
  std::size_t body_bytes = 64u << 20;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
  std::size_t connections = 3000;
  std::size_t buffered_bytes = 48u << 20;  ///< request bodies and unsent answers of all connections
};

/// The known state of a request's client. A FIN may come from a client that has closed the
/// connection or one that only finished sending: TCP distinguishes them only when something is sent.
enum class ClientState : std::uint8_t {
  connected,
  finished_sending,  ///< a FIN was received; the answer is still written, and lost if the client had closed
  gone,              ///< connection reset; the answer is discarded
};

/// The state of a request in progress that is passed to its handler with the content.
struct HttpExchange {
  Instant arrival{};  ///< when the request's first bytes were read
  ClientState client = ClientState::connected;
  std::function<void(ClientState)> on_hang_up;  ///< called when `client` changes while the handler runs

  bool client_gone() const { return client == ClientState::gone; }
  bool client_hung_up() const { return client != ClientState::connected; }
};

using HttpHandler = std::function<Task<HttpReply>(HttpRequest, std::shared_ptr<HttpExchange>)>;

struct HttpServerCore;

class HttpServer {
 public:
  HttpServer(asio::io_context& io, HttpHandler handler, HttpServerLimits limits);
  /// Closes the listener and all connections immediately.
  ~HttpServer();
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;

  /// Starts accepting; the returned address has the port that was bound.
  Result<Address> listen(Address const& address);
  /// Applies to requests that start afterwards.
  void set_limits(HttpServerLimits limits);
  /// Continues to serve, but closes each connection with its last pending answer.
  void drain();
  void close_listener();
  std::size_t connections() const;
  /// The number of connections with an incomplete request or an answer not fully written.
  std::size_t busy() const;
  /// The number of requests being handled.
  std::size_t in_flight() const;
  /// Bytes of request bodies and unsent answers held at present.
  std::size_t buffered() const;

 private:
  std::shared_ptr<HttpServerCore> core_;
};

}  // namespace banktide
