// Kept-alive HTTP connections to one backend, for the node that is its only caller.
// The point of this module is what it proves: a call that ends without the backend's
// own whole answer says whether the backend can have seen it (`unknown`) or not
// (`not_run`), and an answer is only taken if it carries the id of the call.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <memory>
#include <string>

namespace banktide {

/// One call of the backend.
struct BackendCall {
  HttpRequest request;
  std::string attempt_header;  ///< the header that an answer must carry back; empty: any answer is ours
  std::string attempt_id;      ///< its value
  Instant deadline{};
  bool repeatable = false;          ///< may be sent again when a kept connection turns out to be dead
  SharedCancellation cancellation;  ///< ends the call with its connection; null: it always goes on to its end
};

struct BackendPool;

/// What the node asks of its connections to one backend.
class BackendCaller {
 public:
  virtual ~BackendCaller() = default;
  virtual Task<Result<HttpReply>> call(BackendCall call) = 0;
  virtual void close() = 0;
};

class BackendConnections : public BackendCaller {
 public:
  BackendConnections(asio::io_context& io, Address address, std::size_t connection_limit);
  /// Like `close`; running calls go on to their end.
  ~BackendConnections() override;
  BackendConnections(BackendConnections const&) = delete;
  BackendConnections& operator=(BackendConnections const&) = delete;

  /// Sends the request and waits for its answer. Steps of a mishap: "request" (not writable as
  /// HTTP), "connect" (reasons "refused", "timeout", "limit" or the system's), "write", "read",
  /// "garbled" (bytes that are no answer of ours), "deadline" and "cancelled".
  Task<Result<HttpReply>> call(BackendCall call) override;

  /// Drops the idle connections and keeps none from now on; running calls go on.
  void close() override;

  std::size_t idle() const;
  /// Idle, in use or being opened.
  std::size_t open() const;
  /// How many were ever opened, failed attempts included.
  std::uint64_t opened() const;

 private:
  std::shared_ptr<BackendPool> pool_;
};

}  // namespace banktide
