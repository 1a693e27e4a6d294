// What nodes say to each other about one request: the node that took it from its
// client forwards it to the node beside a backend, or to a gateway of another
// zone, and gets back the answer, a proof that it was not run, or neither.
#pragma once

#include "protocol/messages.hpp"

namespace banktide {

/** How busy a backend is, as the node beside it sees it. */
struct EndpointLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /** Mean time of recent runs on this backend, in microseconds; 0: none yet. */
  std::uint32_t run_us = 0;
  /** Of the latest requests that reached the backend, how many failed, in percent. */
  std::uint32_t failed_percent = 0;
  BANKTIDE_FIELDS(running, waiting, slots, run_us, failed_percent)
};

/** Why a request was not run, as far as the sender's next step depends on it. */
enum class Refusal : std::uint8_t {
  none = 0,
  /** The backend's queue is too long for this request's time. */
  busy = 1,
  /** No usable backend of the service stands beside that node. */
  no_backend = 2,
  /** The key is held elsewhere, or by nobody for the moment. */
  key_not_held = 3,
  /** The backend itself turned the request away; it counts as an arrival. */
  by_backend = 4,
  /** The time was over before the request could be sent to a backend. */
  too_late = 5,
  /** Not reached: the node can't be connected to, or the request was never written. */
  unreachable = 6,
  /** Nobody waits for the answer any more; with an unknown outcome: it was ended while it ran. */
  cancelled = 7,
};

struct ForwardReply {
  Outcome outcome = Outcome::unknown;
  Refusal refusal = Refusal::none;
  HttpReply reply;
  std::string reason;
  EndpointLoad load;
  /** When a refused request may be worth sending again, in milliseconds. */
  std::uint32_t retry_after_ms = 0;
  /** From the request's arrival at the node that answers until this reply, in microseconds; 0: not measured. */
  std::uint32_t elapsed_us = 0;
  BANKTIDE_FIELDS(outcome, refusal, reply, reason, load, retry_after_ms, elapsed_us)
};

struct Forward {
  static constexpr std::uint8_t kind = 42;
  using Reply = ForwardReply;
  std::string service;
  /** The request left its zone: the receiver is a gateway and never forwards it out again. */
  bool crossed = false;
  bool keyed = false;
  std::uint16_t key = 0;
  bool repeatable = false;
  /** 0 is the highest. */
  std::uint32_t rank = 0;
  /** A small number that stands for the route, to tell kinds of work apart. */
  std::uint32_t work_class = 0;
  std::uint32_t remaining_ms = 0;
  /** Within which the answer is wanted, counted from the arrival; 0: not stated. */
  std::uint32_t target_latency_ms = 0;
  std::string calling_service;
  /** In whose name it runs; empty: nobody's. */
  std::string tenant;
  std::string attempt_id;
  HttpRequest request;
  BANKTIDE_FIELDS(service, crossed, keyed, key, repeatable, rank, work_class, remaining_ms, target_latency_ms,
                  calling_service, tenant, attempt_id, request)
};

}  // namespace banktide
