#include "data_path/backend_queue.hpp"

#include <algorithm>

namespace banktide {

void BackendQueue::set_slots(std::uint32_t const slots) { slots_ = std::max<std::uint32_t>(slots, 1); }

Duration BackendQueue::time_to_next_slot() const { return estimate_.overall() / static_cast<int>(slots_); }

Duration BackendQueue::weight_of(std::uint32_t const rank, std::uint32_t const work_class) const {
  return estimate_.expected(work_class) * static_cast<int>(1 + std::min(rank, max_rank));
}

Duration BackendQueue::expected_wait(std::uint32_t const rank, std::uint32_t const work_class) const {
  if (running_ < slots_ && waiting_.empty()) return Duration::zero();
  Duration const weight = weight_of(rank, work_class);
  Duration ahead = Duration::zero();
  for (Waiting const& w : waiting_)
    if (w.weight <= weight) ahead += w.work;
  return time_to_next_slot() + ahead / static_cast<int>(slots_);
}

Admission BackendQueue::admit(Instant const now, QueuedRequest const& request) {
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    return Admission::run;
  }
  Duration const work = estimate_.expected(request.work_class);
  Instant const done = now + expected_wait(request.rank, request.work_class) + work;
  if (done > request.useful_until || waiting_.size() >= max_waiting) return Admission::refuse;
  Waiting const entry{request, work, weight_of(request.rank, request.work_class)};
  auto const after =
      std::find_if(waiting_.begin(), waiting_.end(), [&](Waiting const& w) { return w.weight > entry.weight; });
  waiting_.insert(after, entry);
  refuse_late(now);
  return Admission::wait;
}

void BackendQueue::finished(Instant const now, std::uint32_t const work_class, Duration const took,
                            bool const measured) {
  if (measured) estimate_.record_run(work_class, took);
  if (running_ > 0) --running_;
  start_next(now);
  refuse_late(now);
}

void BackendQueue::start_next(Instant const now) {
  while (running_ < slots_ && !waiting_.empty()) {
    Waiting const next = waiting_.front();
    waiting_.pop_front();
    bool const in_time = now + next.work / 2 <= next.request.useful_until;
    (in_time ? decisions_.run : decisions_.refuse).push_back(next.request.id);
    if (in_time) ++running_;
  }
}

void BackendQueue::refuse_late(Instant const now) {
  Duration wait = Duration::zero();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    bool const too_late = now + wait + it->work / 2 > it->request.useful_until;
    if (too_late) {
      decisions_.refuse.push_back(it->request.id);
      it = waiting_.erase(it);
    } else {
      wait += it->work / static_cast<int>(slots_);
      ++it;
    }
  }
}

bool BackendQueue::withdraw(std::uint64_t const id) {
  auto const it = std::find_if(waiting_.begin(), waiting_.end(), [id](Waiting const& w) { return w.request.id == id; });
  if (it == waiting_.end()) return false;
  waiting_.erase(it);
  return true;
}

void BackendQueue::refuse_all() {
  for (Waiting const& w : waiting_) decisions_.refuse.push_back(w.request.id);
  waiting_.clear();
}

BackendQueue::Decisions BackendQueue::take_decisions() { return std::exchange(decisions_, Decisions{}); }

}  // namespace banktide
