// Leases of slices of keys, on the first data path.
#pragma once

#include "protocol/message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace banktide {

// ---- leases of key slices

// A slice of a service's keys, under one mapping of keys to slices.
struct Slice {
  std::string service;
  std::uint64_t mapping = 0;
  std::uint32_t slice = 0;
  auto operator<=>(Slice const&) const = default;
  BANKTIDE_FIELDS(service, mapping, slice)
};

struct SliceClaim {
  Slice slice;
  std::uint64_t epoch = 0;
  bool operator==(SliceClaim const&) const = default;
  BANKTIDE_FIELDS(slice, epoch)
};
struct LeaseReply {
  bool voting = false;
  std::vector<std::uint8_t> granted;
  std::vector<std::uint64_t> epochs;
  BANKTIDE_FIELDS(voting, granted, epochs)
};
struct LeaseRequest {
  static constexpr std::uint8_t kind = 30;
  using Reply = LeaseReply;
  std::string holder;
  std::vector<SliceClaim> want;
  std::vector<SliceClaim> release;
  BANKTIDE_FIELDS(holder, want, release)
};

}  // namespace banktide
