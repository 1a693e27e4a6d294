// A bounded list of events in order, numbered from 1. The oldest events are trimmed; a reader asks for
// the events after a position and gets none if some of them have been trimmed.
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

  // Returns the events after `seen`, at most `max_events`; none if some of them were trimmed.
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
