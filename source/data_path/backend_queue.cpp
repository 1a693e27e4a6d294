#include "data_path/backend_queue.hpp"

#include <algorithm>

namespace banktide {

void BackendQueue::set_slots(std::uint32_t const slots) { slots_ = std::max<std::uint32_t>(slots, 1); }

Duration BackendQueue::time_per_start() const { return estimate_.overall() / static_cast<int>(slots_); }

Duration BackendQueue::expected_wait(std::uint32_t const rank) const {
  if (running_ < slots_) return Duration::zero();
  std::size_t ahead = 1;
  for (QueuedRequest const& q : waiting_) ahead += q.rank <= rank;
  return time_per_start() * static_cast<int>(ahead);
}

Admission BackendQueue::admit(Instant const now, QueuedRequest const& request) {
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    return Admission::run;
  }
  Instant const done = now + expected_wait(request.rank) + estimate_.expected(request.work_class);
  if (done > request.useful_until || waiting_.size() >= longest) return Admission::refuse;
  auto const after = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](QueuedRequest const& q) { return q.rank > request.rank; });
  waiting_.insert(after, request);
  refuse_hopeless(now);
  return Admission::wait;
}

void BackendQueue::finished(Instant const now, std::uint32_t const work_class, Duration const took,
                            bool const measured) {
  if (measured) estimate_.ran(work_class, took);
  if (running_ > 0) --running_;
  refuse_hopeless(now);
  start_next(now);
}

void BackendQueue::start_next(Instant const now) {
  while (running_ < slots_ && !waiting_.empty()) {
    QueuedRequest const next = waiting_.front();
    waiting_.pop_front();
    bool const in_time = now + estimate_.expected(next.work_class) / 2 <= next.useful_until;
    (in_time ? decisions_.run : decisions_.refuse).push_back(next.id);
    if (in_time) ++running_;
  }
}

void BackendQueue::refuse_hopeless(Instant const now) {
  Duration const step = time_per_start();
  Duration wait = Duration::zero();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    bool const hopeless = now + wait + estimate_.expected(it->work_class) / 2 > it->useful_until;
    if (hopeless) {
      decisions_.refuse.push_back(it->id);
      it = waiting_.erase(it);
    } else {
      wait += step;
      ++it;
    }
  }
}

bool BackendQueue::withdraw(std::uint64_t const id) {
  auto const it = std::find_if(waiting_.begin(), waiting_.end(), [id](QueuedRequest const& q) { return q.id == id; });
  if (it == waiting_.end()) return false;
  waiting_.erase(it);
  return true;
}

void BackendQueue::refuse_all() {
  for (QueuedRequest const& q : waiting_) decisions_.refuse.push_back(q.id);
  waiting_.clear();
}

BackendQueue::Decisions BackendQueue::take_decisions() { return std::exchange(decisions_, Decisions{}); }

}  // namespace banktide
