// The HTTP/1.1 server at the edge of a process: it reads requests (kept-alive and
// pipelined ones too), hands each whole one to a handler and writes the answers in
// the order of the requests. It owns everything that concerns one client connection
// only: limits, time-outs, hop-by-hop headers, lengths and closing. All of it runs
// on the thread of the io_context it is given; one coarse timer serves every connection.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <functional>
#include <memory>

namespace banktide {

/// What a client may send, how long it may take, and what the server holds at most.
struct HttpServerLimits {
  std::size_t header_bytes = 16u << 10;
  std::size_t body_bytes = 64u << 20;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
  std::size_t connections = 3000;
  std::size_t buffered_bytes = 48u << 20;  ///< request bodies and unsent answers, all connections together
};

/// What is known of the client of a request. A FIN may come from a client that has closed or from
/// one that only has nothing more to say: TCP tells them apart only when something is sent.
enum class ClientState : std::uint8_t {
  connected,
  finished_sending,  ///< a FIN came; the answer is still written, and lost if the client had closed
  gone,              ///< reset: nobody will read the answer, and it is dropped
};

/// A request on its way, as its handler sees it beside the request's content.
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
  /// Closes the listener and every connection at once.
  ~HttpServer();
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;

  /// Begins to accept; the address returned has the port that was taken.
  Result<Address> listen(Address const& address);
  /// Takes effect for requests that begin after this.
  void set_limits(HttpServerLimits limits);
  /// Serves on, but the last answer due on each connection closes it.
  void drain();
  void close_listener();
  std::size_t connections() const;
  /// Connections with a request that isn't whole, or an answer whose last byte isn't written.
  std::size_t busy() const;
  /// Requests that are with the handler.
  std::size_t in_flight() const;
  /// Bytes of request bodies and unsent answers held now.
  std::size_t buffered() const;

 private:
  std::shared_ptr<HttpServerCore> core_;
};

}  // namespace banktide
