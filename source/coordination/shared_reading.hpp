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
  Duration every = 200ms;       // from one reading's end to the next, while nobody asks
  Duration least_pause = 10ms;  // the same, while somebody asks
};

template <Environment Env>
class SharedReading {
 public:
  /// `read` reads once and says whether that succeeded.
  SharedReading(Env& env, SharedReadingSettings settings, std::function<Task<bool>()> read)
      : env_(env), settings_(settings), read_(std::move(read)), asked_for_(env) {}

  /// Reads for as long as the process runs.
  Task<void> run() {
    while (true) {
      Instant const began = env_.now();
      bool const good = co_await read_();
      if (good) newest_ = began;
      for (typename Env::Alarm* const waiting : *waiting_) waiting->wake();
      co_await sleep_for(env_, settings_.least_pause);
      co_await asked_for_.wait(env_.now() + settings_.every - settings_.least_pause);
    }
  }

  /// Waits for a successful reading that began after this call; false if there was
  /// none until the deadline.
  Task<bool> read_anew(Instant const deadline) {
    Instant const came = env_.now();
    Waiting mine(env_, waiting_);
    asked_for_.wake();
    while (!began_since(came) && env_.now() < deadline) co_await mine.alarm.wait(deadline);
    co_return began_since(came);
  }

  /// When the newest successful reading began, if there was one.
  std::optional<Instant> newest() const { return newest_; }

 private:
  using Alarms = std::vector<typename Env::Alarm*>;  // in the order of asking

  // Takes its alarm off the list also when its coroutine is destroyed.
  struct Waiting {
    Waiting(Env& env, std::shared_ptr<Alarms> all) : alarm(env), list(std::move(all)) { list->push_back(&alarm); }
    ~Waiting() { std::erase(*list, &alarm); }
    Waiting(Waiting const&) = delete;
    Waiting& operator=(Waiting const&) = delete;
    typename Env::Alarm alarm;
    std::shared_ptr<Alarms> const list;
  };

  bool began_since(Instant const came) const { return newest_ && *newest_ >= came; }

  Env& env_;
  SharedReadingSettings const settings_;
  std::function<Task<bool>()> const read_;
  typename Env::Alarm asked_for_;
  std::shared_ptr<Alarms> const waiting_ = std::make_shared<Alarms>();
  std::optional<Instant> newest_;
};

}  // namespace banktide
