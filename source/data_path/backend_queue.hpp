// The queue of requests for one backend. The backend's node is its only caller, so it never runs more
// requests at once than the backend has slots. Waiting requests are ordered by expected run time,
// weighted by rank, so that slot time serves as many and as important requests as possible: short
// requests overtake long ones. A request that can't be served in time is refused as soon as that is
// predicted. Pure state: the caller passes in the time.
#pragma once

#include "data_path/work_estimate.hpp"

#include <cstdint>
#include <list>
#include <vector>

namespace banktide {

/** A request for a slot of the backend. */
struct QueuedRequest {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;
  std::uint32_t work_class = 0;
  /** The latest time at which its answer is still useful. */
  Instant useful_until{};
};

enum class Admission : std::uint8_t { run, wait, refuse };

class BackendQueue {
 public:
  /** Decisions about waiting requests, made by changes of the queue. */
  struct Decisions {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> refuse;
  };

  void set_slots(std::uint32_t slots);
  std::uint32_t slots() const { return slots_; }
  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }
  WorkEstimate const& estimate() const { return estimate_; }

  /** Admits a new request: it runs, waits or is refused. It may cause others to be refused: see `take_decisions`. */
  Admission admit(Instant now, QueuedRequest const& request);
  /** Ends a running request; `took` updates the estimate of run times if `measured`. */
  void finished(Instant now, std::uint32_t work_class, Duration took, bool measured);
  /** Removes a waiting request. Returns whether it was waiting. */
  bool withdraw(std::uint64_t id);
  /** Refuses all waiting requests, as when the backend ends. */
  void refuse_all();
  /** Returns the decisions since the last call, which the owner applies. */
  Decisions take_decisions();
  /** Returns the wait that a new request would have now. */
  Duration expected_wait(std::uint32_t rank, std::uint32_t work_class) const;

 private:
  struct Waiting {
    QueuedRequest request;
    Duration work{};
    /** Requests with a lower weight run first. */
    Duration weight{};
  };

  Duration time_to_next_slot() const;
  Duration weight_of(std::uint32_t rank, std::uint32_t work_class) const;
  void start_next(Instant now);
  void refuse_late(Instant now);

  static constexpr std::size_t max_waiting = 512;
  static constexpr std::uint32_t max_rank = 7;
  std::uint32_t slots_ = 1;
  std::uint32_t running_ = 0;
  std::list<Waiting> waiting_;  // by weight, then by arrival
  WorkEstimate estimate_;
  Decisions decisions_;
};

}  // namespace banktide
