// Persistent HTTP connections to one backend, for the node that is its only caller.
// A call that ends without a complete answer of the backend reports whether the
// backend may have received it (`unknown`) or can't have (`not_run`), and an answer
// is only accepted if it carries the id of the call.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <memory>
#include <string>

namespace banktide {

/// One call to the backend.
struct BackendCall {
  HttpRequest request;
  std::string attempt_header;  ///< the header that an answer must return; empty: any answer matches
  std::string attempt_id;      ///< the value of that header
  Instant deadline{};
  bool repeatable = false;          ///< may be sent again if a reused connection turns out to be closed
  SharedCancellation cancellation;  ///< ends the call and its connection; null: never cancelled
};

struct BackendPool;

/// The interface of the node to its connections to one backend.
class BackendCaller {
 public:
  virtual ~BackendCaller() = default;
  virtual Task<Result<HttpReply>> call(BackendCall call) = 0;
  virtual void close() = 0;
};

class BackendConnections : public BackendCaller {
 public:
  BackendConnections(asio::io_context& io, Address address, std::size_t connection_limit);
  /// Like `close`; calls in progress continue to their end.
  ~BackendConnections() override;
  BackendConnections(BackendConnections const&) = delete;
  BackendConnections& operator=(BackendConnections const&) = delete;

  /// Sends the request and waits for its answer. Steps of an error: "request" (not valid as HTTP),
  /// "connect" (reasons "refused", "timeout", "limit" or that of the system), "write", "read",
  /// "garbled" (not a valid answer to this call), "deadline" and "cancelled".
  Task<Result<HttpReply>> call(BackendCall call) override;

  /// Closes the idle connections and keeps none from now on; calls in progress continue.
  void close() override;

  std::size_t idle() const;
  /// The number of connections that are idle, in use or being opened.
  std::size_t open() const;
  /// The number of connections ever opened, including failed attempts.
  std::uint64_t opened() const;

 private:
  std::shared_ptr<BackendPool> pool_;
};

}  // namespace banktide
