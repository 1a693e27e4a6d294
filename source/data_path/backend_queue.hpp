// The queue before one backend. The node beside the backend is its only caller,
// so it never sends more at once than the backend has slots. What must wait is
// ordered by its expected work, weighted by its rank, so that a slot-second goes
// to as many and as important requests as possible: short calls that other
// requests wait for pass long ones. Whatever can't be served in time is refused
// as soon as that is foreseen. Pure state: the caller gives the time.
#pragma once

#include "data_path/work_estimate.hpp"

#include <cstdint>
#include <list>
#include <vector>

namespace banktide {

/** A request that wants a slot of the backend. */
struct QueuedRequest {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;
  std::uint32_t work_class = 0;
  /** The latest instant at which its answer is still of use. */
  Instant useful_until{};
};

enum class Admission : std::uint8_t { run, wait, refuse };

class BackendQueue {
 public:
  /** What a change of the queue decided about requests that were waiting. */
  struct Decisions {
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> refuse;
  };

  void set_slots(std::uint32_t slots);
  std::uint32_t slots() const { return slots_; }
  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }
  WorkEstimate const& estimate() const { return estimate_; }

  /** A new request: it runs, waits or is refused. It may push others out: see `take_decisions`. */
  Admission admit(Instant now, QueuedRequest const& request);
  /** A running request ended; `took` counts towards the estimate when `measured`. */
  void finished(Instant now, std::uint32_t work_class, Duration took, bool measured);
  /** A waiting request's client has gone. Says whether it was waiting. */
  bool withdraw(std::uint64_t id);
  /** All that waits is refused, as when the backend goes. */
  void refuse_all();
  /** Decisions since the last call, for the owner to carry out. */
  Decisions take_decisions();
  /** The wait that a new request would have now. */
  Duration expected_wait(std::uint32_t rank, std::uint32_t work_class) const;

 private:
  struct Waiting {
    QueuedRequest request;
    Duration work{};
    /** The lower, the sooner it runs. */
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
