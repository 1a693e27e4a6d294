// One reading for many askers. A process that reads something at a distance, by
// itself every now and then and whenever it is asked for a fresh reading, would
// read once for each asker; here all who ask while a reading is under way share the
// next one, so the number of readings is bounded however many ask.
#pragma once

#include "transport/environment.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace banktide {

struct SharedReadingSettings {
  Duration interval = 200ms;  // from one reading's end to the next, while nobody asks
  Duration min_pause = 10ms;  // the same, while somebody asks
};

template <Environment Env>
class SharedReading {
 public:
  /// `read` reads once and says whether that succeeded.
  SharedReading(Env& env, SharedReadingSettings settings, std::function<Task<bool>()> read)
      : env_(env), settings_(settings), read_(std::move(read)), requested_(env) {}

  /// Reads for as long as the process runs.
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

  /// Waits for a successful reading that began after this call; false if there was
  /// none until the deadline.
  Task<bool> read_fresh(Instant const deadline) {
    Instant const called_at = env_.now();
    Waiter waiter(env_, waiters_);
    requested_.wake();
    while (!started_since(called_at) && env_.now() < deadline) co_await waiter.alarm.wait(deadline);
    co_return started_since(called_at);
  }

  /// When the newest successful reading began, if there was one.
  std::optional<Instant> latest_start() const { return latest_start_; }

 private:
  using Alarms = std::vector<typename Env::Alarm*>;  // in the order of asking

  // Takes its alarm off the list also when its coroutine is destroyed.
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
