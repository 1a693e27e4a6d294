// Common parts of all messages: the list of serialized fields, the reply type of
// one-way messages and the revision number.
#pragma once

#include "protocol/archive.hpp"

#include <cstdint>

namespace banktide {

#define BANKTIDE_FIELDS(...) \
  template <class A>         \
  void serialize(A& ar) {    \
    ar(__VA_ARGS__);         \
  }

using Revision = std::uint64_t;

struct NoReply {
  template <class A>
  void serialize(A&) {}
};

}  // namespace banktide
