// What all messages have in common: their fields as the archives take them, the answer
// of one that wants none, and the number of a version.
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
