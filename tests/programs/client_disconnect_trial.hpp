// Whole nodes on real sockets, from the client's connection to the backend's: up to
// three nodes in two zones, one of them with a backend that the test drives by hand.
// Nodes run tasks that never end, so they are kept until the process exits.
#pragma once

#include "programs/mesh_node.hpp"
#include "tests/transport/backend_stand_in.hpp"
#include "transport/socket_environment.hpp"

#include <gtest/gtest.h>
#include <future>

namespace banktide {

/// How long a test waits for an event before it fails; it checks no timing.
inline constexpr Duration event_timeout = 20s;
/// Longer than `event_timeout`, so that no deadline ends a request instead.
inline constexpr Duration route_timeout = 120s;

inline constexpr DataPathHeaders trial_header_names{"X-Attempt", "X-Remaining", "X-Target", "X-Answering", "X-Key",
                                                    "X-Caller",  "X-Not-Run",   "X-Load",   "X-Seal",      "X-Tenant"};

/// Runs a script on the pool's thread and waits for its end.
template <class Script>
void run_on_pool_thread(Script script) {
  start_pool();
  std::promise<void> over;
  auto const whole = [&]() -> Task<void> {
    try {
      co_await script();
    } catch (std::exception const& e) {
      ADD_FAILURE() << e.what();
    }
    over.set_value();
  };
  asio::io_context& io = crossplat::threadpool::shared_instance().service();
  asio::post(io, [&] { asio::co_spawn(io, whole(), asio::detached); });
  over.get_future().get();
}

inline asio::io_context& pool_io() { return crossplat::threadpool::shared_instance().service(); }

/// Lets other tasks of the thread run until `holds` returns true or `event_timeout` is over.
inline Task<bool> wait_until(std::function<bool()> const holds) {
  Instant const end = std::chrono::steady_clock::now() + event_timeout;
  while (!holds() && std::chrono::steady_clock::now() < end) co_await asio::post(pool_io(), asio::use_awaitable);
  co_return holds();
}

/// Whether the connection was closed or reset before `event_timeout` was over.
inline Task<bool> wait_for_end(std::shared_ptr<Peer> const peer) {
  asio::steady_timer limit(peer->socket.get_executor(), event_timeout);
  limit.async_wait([peer](ErrorCode const& cancelled) {
    ErrorCode ignored;
    if (!cancelled) peer->socket.cancel(ignored);
  });
  char byte = 0;
  ErrorCode error;
  co_await peer->socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
  co_return error&& error != asio::error::operation_aborted;
}

/// The backend's listener; it hands each connection to the test.
class TestBackend {
 public:
  explicit TestBackend(asio::io_context& io) : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}
  Address address() const { return address_of(acceptor_.local_endpoint()); }

  /// The next connection; throws if none arrives before `event_timeout` is over.
  Task<std::shared_ptr<Peer>> accept() {
    asio::steady_timer limit(acceptor_.get_executor(), event_timeout);
    limit.async_wait([this](ErrorCode const& cancelled) {
      ErrorCode ignored;
      if (!cancelled) acceptor_.cancel(ignored);
    });
    ErrorCode error;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) throw std::runtime_error("no connection came to the backend");
    co_return std::make_shared<Peer>(std::move(socket));
  }

 private:
  tcp::acceptor acceptor_;
};

// Requests to `orders.test` are idempotent, those to `payments.test` are not; both go to one service.
inline ServiceConfiguration two_routes_to_orders() {
  ServiceConfiguration all;
  all.services = {{"orders", "/health", 0, false, 0s}};
  for (std::string const name : {"orders", "payments"}) {
    Route route;
    route.name = name;
    route.host = name + ".test";
    route.prefix = "/";
    route.repeatable = name == "orders";
    route.attempt_limit = 3;
    route.timeout = route_timeout;
    route.target_latency = route_timeout;
    route.targets = {WeightedService{0, 1}};
    all.routes.push_back(route);
  }
  return all;
}

/// Options of the nodes of a trial.
struct TestNodeOptions {
  DataPathHeaders headers = trial_header_names;
  ServiceConfiguration configuration = two_routes_to_orders();
};

/// One node with its peer connections and its HTTP server for clients.
class TestNode {
 public:
  TestNode(std::string const& id, std::string const& zone, TestNodeOptions const& options = {})
      : peers_(*env_.listen("127.0.0.1:0")) {
    make_adapter(options.headers);
    MeshNodeSettings settings;
    settings.follower.id = id;
    settings.follower.zone = zone;
    settings.follower.address = peers_;
    settings.service = "orders";
    ConnectionsFactory const factory = [this](Address const& address, std::size_t const limit) {
      return std::make_unique<BackendConnections>(env_.io(), address, limit);
    };
    node_ = std::make_unique<MeshNode<SocketEnvironment>>(env_, settings, adapter_, factory);
    HttpHandler const handler = [this](HttpRequest q, std::shared_ptr<HttpExchange> x) {
      return node_->request(std::move(q), std::move(x));
    };
    server_ = std::make_unique<HttpServer>(env_.io(), handler, HttpServerLimits{});
    clients_ = *server_->listen("127.0.0.1:0");
    env_.serve(dispatcher_);
    node_->start(dispatcher_);
    node_->path().set_router(std::make_shared<Router const>(options.configuration));
  }
  TestNode(TestNode const&) = delete;

  Address const& clients() const { return clients_; }
  Address const& peers() const { return peers_; }
  MeshNode<SocketEnvironment>& node() { return *node_; }
  HttpServer& server() { return *server_; }

  /// Sends the node the first heartbeat of a backend.
  Task<void> register_backend(Address const address, std::uint32_t const slots) {
    heartbeat_.id = "i-1";
    heartbeat_.service = "orders";
    heartbeat_.address = address;
    heartbeat_.slots = slots;
    heartbeat_.sequence = 1;
    HttpRequest const request;
    HttpReply const reply = co_await node_->handle_interface_request(request);
    EXPECT_EQ(reply.status, 200);
  }

  /// From now on all requests are sent to that node.
  void send_to(TestNode const& other, bool const same_zone) {
    Endpoint endpoint;
    endpoint.node = "other";
    endpoint.address = other.peers();
    endpoint.zone = same_zone ? "zone-1" : "zone-2";
    endpoint.local_zone = same_zone;
    endpoint.slots = 4;
    node_->path().selector().replace({{"orders", {endpoint}}});
  }

 private:
  void make_adapter(DataPathHeaders const& headers) {
    adapter_.headers = headers;
    adapter_.interpret = [this](HttpRequest const&) -> tl::expected<InterfaceOperation, InterfaceReply> {
      return InterfaceOperation(HeartbeatOperation{heartbeat_});
    };
    adapter_.heartbeat_reply = [](HeartbeatAnswer const&) { return InterfaceReply{200, "", "", "", ""}; };
  }

  SocketEnvironment env_;
  Address const peers_;
  Address clients_;
  Dispatcher dispatcher_;
  InterfaceAdapter adapter_;
  BackendHeartbeat heartbeat_;
  std::unique_ptr<MeshNode<SocketEnvironment>> node_;
  std::unique_ptr<HttpServer> server_;
};

/// The path of a request: where its backend is, as seen from the node that accepts it.
enum class RoutingPath : std::uint8_t { same_node, same_zone, through_gateway };

/// The nodes on one path, the last of them beside the backend.
class RoutingPathTrial {
 public:
  explicit RoutingPathTrial(RoutingPath const routing_path, TestNodeOptions const& options = {})
      : ingress_(std::make_shared<TestNode>("taker", "zone-1", options)), backend_node_(ingress_) {
    if (routing_path != RoutingPath::same_node)
      backend_node_ = std::make_shared<TestNode>("holder", zone_of(routing_path), options);
    if (routing_path == RoutingPath::through_gateway)
      gateway_ = std::make_shared<TestNode>("gateway", "zone-2", options);
    backend_ = std::make_shared<TestBackend>(crossplat::threadpool::shared_instance().service());
    static std::vector<std::shared_ptr<void>>& keep_alive = *new std::vector<std::shared_ptr<void>>();
    keep_alive.insert(keep_alive.end(), {ingress_, backend_node_, gateway_, backend_});
  }

  Task<void> form(RoutingPath const routing_path, std::uint32_t const slots) {
    co_await backend_node_->register_backend(backend_->address(), slots);
    if (routing_path == RoutingPath::same_zone) ingress_->send_to(*backend_node_, true);
    if (routing_path == RoutingPath::through_gateway) {
      ingress_->send_to(*gateway_, false);
      gateway_->send_to(*backend_node_, true);
    }
  }

  TestNode& ingress() { return *ingress_; }
  TestNode& backend_node() { return *backend_node_; }
  TestNode& gateway() { return *gateway_; }
  TestBackend& backend() { return *backend_; }

 private:
  static std::string zone_of(RoutingPath const routing_path) {
    return routing_path == RoutingPath::same_zone ? "zone-1" : "zone-2";
  }

  std::shared_ptr<TestNode> ingress_, backend_node_, gateway_;
  std::shared_ptr<TestBackend> backend_;
};

/// Runs a script on the nodes of one path; `slots` is the concurrency of the backend.
inline void run_script_on(RoutingPath const routing_path, std::uint32_t const slots, TestNodeOptions const& options,
                          std::function<Task<void>(RoutingPathTrial&)> const& script) {
  run_on_pool_thread([&]() -> Task<void> {
    RoutingPathTrial trial(routing_path, options);
    co_await trial.form(routing_path, slots);
    co_await script(trial);
  });
}

/// A client's connection.
class TestClient {
 public:
  explicit TestClient(asio::io_context& io) : socket_(io) {}

  Task<void> connect(Address const address) {
    co_await socket_.async_connect(*endpoint_of(address), asio::use_awaitable);
  }
  Task<void> send(std::string const bytes) {
    co_await asio::async_write(socket_, asio::buffer(bytes), asio::use_awaitable);
  }
  void close() { socket_.close(); }
  void reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }
  void end_sending() { socket_.shutdown(tcp::socket::shutdown_send); }

  /// The next answer; status 0 if the connection ended first.
  Task<HttpReply> next() {
    ReplyParser parser(1u << 20, 1u << 30);
    ErrorCode error;
    HttpReply reply;
    while (!parser.is_done()) {
      std::size_t const used = parser.parse(unread_, error, false);
      unread_.erase(0, used);
      if (error) throw std::runtime_error("not an answer: " + error.message());
      if (parser.is_done()) break;
      char bytes[4096];
      std::size_t const count =
          co_await socket_.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return reply;
      unread_.append(bytes, count);
    }
    reply.status = parser.status;
    reply.headers = std::move(parser.headers);
    reply.body = std::move(parser.body);
    co_return reply;
  }

 private:
  tcp::socket socket_;
  std::string unread_;
};

inline std::string request_to(std::string const& route, std::string const& attempt) {
  return "GET /thing HTTP/1.1\r\nHost: " + route + ".test\r\nX-Attempt: " + attempt + "\r\n\r\n";
}

}  // namespace banktide
