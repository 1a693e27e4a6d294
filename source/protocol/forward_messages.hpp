// Forwarding of one request between nodes: the node that received it from the
// client forwards it to the node of a backend, or to a gateway of another zone.
// The reply is the answer, a proof that the request was not run, or an unknown
// outcome.
#pragma once

#include "protocol/messages.hpp"

namespace banktide {

/** The load of a backend, as its node sees it. */
struct EndpointLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /** Mean duration of recent runs on this backend, in microseconds; 0: none yet. */
  std::uint32_t run_us = 0;
  /** Percentage of the latest requests to the backend that failed. */
  std::uint32_t failed_percent = 0;
  BANKTIDE_FIELDS(running, waiting, slots, run_us, failed_percent)
};

/** Why a request was not run, in the detail that the sender needs to choose its next step. */
enum class Refusal : std::uint8_t {
  none = 0,
  /** The queue is too long for the request's deadline. */
  busy = 1,
  /** The node has no usable backend of the service. */
  no_backend = 2,
  /** The key is held by another backend, or by none at the moment. */
  key_not_held = 3,
  /** The backend itself refused the request; it counts as an arrival. */
  by_backend = 4,
  /** The deadline passed before the request could be sent to a backend. */
  too_late = 5,
  /** The node can't be connected to, or the request was never written. */
  unreachable = 6,
  /** The client no longer waits for the answer; with an unknown outcome: cancelled while it ran. */
  cancelled = 7,
};

struct ForwardReply {
  Outcome outcome = Outcome::unknown;
  Refusal refusal = Refusal::none;
  HttpReply reply;
  std::string reason;
  EndpointLoad load;
  /** Suggested delay before a refused request is retried, in milliseconds. */
  std::uint32_t retry_after_ms = 0;
  /** Time from the request's arrival at the replying node until this reply, in microseconds; 0: not measured. */
  std::uint32_t elapsed_us = 0;
  BANKTIDE_FIELDS(outcome, refusal, reply, reason, load, retry_after_ms, elapsed_us)
};

struct Forward {
  static constexpr std::uint8_t kind = 42;
  using Reply = ForwardReply;
  std::string service;
  /** The request came from another zone: the receiver is a gateway and never forwards it out again. */
  bool crossed = false;
  bool keyed = false;
  std::uint16_t key = 0;
  bool repeatable = false;
  /** Priority; 0 is the highest. */
  std::uint32_t rank = 0;
  /** Identifies the route, to distinguish kinds of work. */
  std::uint32_t work_class = 0;
  std::uint32_t remaining_ms = 0;
  /** Desired response time, counted from the arrival; 0: not stated. */
  std::uint32_t target_latency_ms = 0;
  std::string calling_service;
  /** The tenant on whose behalf it runs; empty: none. */
  std::string tenant;
  std::string attempt_id;
  HttpRequest request;
  BANKTIDE_FIELDS(service, crossed, keyed, key, repeatable, rank, work_class, remaining_ms, target_latency_ms,
                  calling_service, tenant, attempt_id, request)
};

}  // namespace banktide
