// Coalesces remote reads. The value is read periodically and whenever a caller needs
// a read that begins after its call. All callers that arrive while a read is in
// progress share the next one, so the read rate is bounded regardless of the number
// of callers.
#pragma once

#include "transport/environment.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace banktide {

struct SharedReadingSettings {
  Duration interval = 200ms;  // from the end of a read to the next one, without waiting callers
  Duration min_pause = 10ms;  // the same, with waiting callers
};

template <Environment Env>
class SharedReading {
 public:
  /// `read` performs one read and returns whether it succeeded.
  SharedReading(Env& env, SharedReadingSettings settings, std::function<Task<bool>()> read)
      : env_(env), settings_(settings), read_(std::move(read)), requested_(env) {}

  /// Runs the read loop until the process ends.
  Task<void> run() {
    while (true) {
      Instant const started_at = env_.now();
      bool const succeeded = co_await read_();
      if (succeeded) latest_start_ = started_at;
      for (typename Env::Alarm* const waiting : *waiters_) waiting->wake();
      co_await sleep_for(env_, settings_.min_pause);
      co_await requested_.wait(env_.now() + settings_.interval - settings_.min_pause);
    }
  }

  /// Waits for a successful read that begins after this call. Returns false if there is
  /// none before the deadline.
  Task<bool> read_fresh(Instant const deadline) {
    Instant const called_at = env_.now();
    Waiter waiter(env_, waiters_);
    requested_.wake();
    while (!started_since(called_at) && env_.now() < deadline) co_await waiter.alarm.wait(deadline);
    co_return started_since(called_at);
  }

  /// The start of the latest successful read, if there was one.
  std::optional<Instant> latest_start() const { return latest_start_; }

 private:
  using Alarms = std::vector<typename Env::Alarm*>;  // in the order of the calls

  // Removes its alarm from the list even if the waiting coroutine is destroyed.
  struct Waiter {
    Waiter(Env& env, std::shared_ptr<Alarms> all) : alarm(env), list(std::move(all)) { list->push_back(&alarm); }
    ~Waiter() { std::erase(*list, &alarm); }
    Waiter(Waiter const&) = delete;
    Waiter& operator=(Waiter const&) = delete;
    typename Env::Alarm alarm;
    std::shared_ptr<Alarms> const list;
  };

  bool started_since(Instant const called_at) const { return latest_start_ && *latest_start_ >= called_at; }

  Env& env_;
  SharedReadingSettings const settings_;
  std::function<Task<bool>()> const read_;
  typename Env::Alarm requested_;
  std::shared_ptr<Alarms> const waiters_ = std::make_shared<Alarms>();
  std::optional<Instant> latest_start_;
};

}  // namespace banktide
