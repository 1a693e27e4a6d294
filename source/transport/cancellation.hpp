// Cancellation of a request whose result is no longer needed. One object accompanies
// the request; the operation that the request currently awaits registers a listener.
#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace banktide {

class Cancellation {
 public:
  bool requested() const { return requested_; }

  /** Notifies the listener, if there is one; only once. */
  void request() {
    if (std::exchange(requested_, true)) return;
    std::function<void()> const react = std::move(listener_);
    listener_ = nullptr;
    if (react) react();
  }

 private:
  friend class CancellationListener;
  std::function<void()> listener_;
  bool requested_ = false;
};

using SharedCancellation = std::shared_ptr<Cancellation>;

/** A null cancellation is never cancelled. */
inline bool is_cancelled(SharedCancellation const& cancellation) { return cancellation && cancellation->requested(); }

/** Calls `react` on cancellation during its lifetime, at once if already cancelled. Only one listener at a time. */
class CancellationListener {
 public:
  CancellationListener(SharedCancellation cancellation, std::function<void()> react)
      : cancellation_(std::move(cancellation)) {
    if (!cancellation_) return;
    if (cancellation_->requested())
      react();
    else
      cancellation_->listener_ = std::move(react);
  }
  CancellationListener(CancellationListener const&) = delete;
  CancellationListener& operator=(CancellationListener const&) = delete;
  ~CancellationListener() {
    if (cancellation_) cancellation_->listener_ = nullptr;
  }

 private:
  SharedCancellation const cancellation_;
};

}  // namespace banktide
