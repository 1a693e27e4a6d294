// HTTP requests and replies between processes, and calls forwarded between nodes
// on the first data path.
#pragma once

#include "protocol/slice_lease_messages.hpp"

#include <optional>

namespace banktide {

// ---- forwarded calls

struct Header {
  std::string name;
  std::string value;
  bool operator==(Header const&) const = default;
  BANKTIDE_FIELDS(name, value)
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  BANKTIDE_FIELDS(method, target, headers, body)
};

struct HttpReply {
  std::uint16_t status = 0;
  std::vector<Header> headers;
  std::string body;
  BANKTIDE_FIELDS(status, headers, body)
};

enum class Outcome : std::uint8_t { answered = 0, not_run = 1, unknown = 2 };

struct ForwardCallReply {
  Outcome outcome = Outcome::unknown;
  HttpReply reply;
  std::string step;
  std::string peer;
  std::string reason;
  BANKTIDE_FIELDS(outcome, reply, step, peer, reason)
};
struct ForwardCall {
  static constexpr std::uint8_t kind = 40;
  using Reply = ForwardCallReply;
  std::string service;
  std::string instance;  // empty: the gateway chooses one
  bool crossed = false;
  bool keyed = false;
  std::uint32_t slice = 0;
  std::uint32_t budget_ms = 0;
  Revision routing = 0;
  std::string sender;        // the incarnation of the sending process
  std::string from;          // the address of that process
  std::int64_t sent_us = 0;  // by the clock of that process
  HttpRequest request;
  BANKTIDE_FIELDS(service, instance, crossed, keyed, slice, budget_ms, routing, sender, from, sent_us, request)
};

// Reads the clock of a process, to relate the times in its messages to the own
// clock.
struct ClockReply {
  std::string sender;
  std::int64_t clock_us = 0;
  BANKTIDE_FIELDS(sender, clock_us)
};
struct ClockRequest {
  static constexpr std::uint8_t kind = 41;
  using Reply = ClockReply;
  std::uint8_t unused = 0;
  BANKTIDE_FIELDS(unused)
};

}  // namespace banktide
