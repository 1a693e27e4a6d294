// Events in the order they fell, numbered from 1, bounded: a view folds each
// event as it is appended, so the oldest can be trimmed. A reader asks from a
// position and is told when what it wanted has been trimmed.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace banktide {

template <class Event>
class Journal {
 public:
  explicit Journal(std::size_t const limit) : limit_(limit) {}

  std::uint64_t append(Event event) {
    events_.push_back(std::move(event));
    if (events_.size() > limit_) {
      events_.pop_front();
      ++trimmed_;
    }
    return last();
  }
  std::uint64_t last() const { return trimmed_ + events_.size(); }
  std::uint64_t trimmed() const { return trimmed_; }

  // Events after `seen`, at most `most`; none if some of them are trimmed.
  std::optional<std::vector<Event>> since(std::uint64_t const seen,
                                          std::size_t const max_events = static_cast<std::size_t>(-1)) const {
    if (seen < trimmed_ || seen > last()) return std::nullopt;
    std::vector<Event> out;
    for (std::size_t i = static_cast<std::size_t>(seen - trimmed_); i < events_.size() && out.size() < max_events; ++i)
      out.push_back(events_[i]);
    return out;
  }

 private:
  std::size_t const limit_;
  std::uint64_t trimmed_ = 0;
  std::deque<Event> events_;
};

}  // namespace banktide
