// Tells the parts of a request's way that nobody waits for its result any more. One
// object goes along with the request; whatever the request waits for just then listens.
#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace banktide {

class Cancellation {
 public:
  bool requested() const { return requested_; }

  /** Tells the listener, if there is one; once. */
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

/** Without a cancellation nothing is ever cancelled. */
inline bool is_cancelled(SharedCancellation const& cancellation) { return cancellation && cancellation->requested(); }

/** Reacts to a cancellation for as long as it lives, at once if it came before. One at a time. */
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
