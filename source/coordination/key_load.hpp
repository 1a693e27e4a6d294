// The load of a row of keys that a backend serves: its requests per second, and how they are distributed over the
// keys, so that a hot row can be split where its load is. The mean covers the time since the row was granted, at most
// 10 s; it restarts when the latest count deviates by more than chance explains.
#pragma once

#include "protocol/key_messages.hpp"

namespace banktide {

class KeyLoad {
 public:
  KeyLoad(std::uint16_t from, std::uint16_t to, Instant since);

  void count(std::uint16_t key);
  /// Takes over the counts of another row's load for the keys that both contain.
  void inherit(KeyLoad const& other);
  /// Updates the rate from the counts, if enough time has passed.
  void measure(Instant now);

  /// Requests per second; negative until measured.
  float rate() const { return measured_ ? rate_ : -1; }
  float seconds() const { return static_cast<float>(seconds_); }
  /// Cuts that split the row into parts of about the given rate; a hotter key becomes a part by itself.
  std::vector<KeyCut> cuts(float part, std::size_t limit) const;

 private:
  float share_of(std::uint16_t from, std::uint16_t to) const;

  std::uint16_t from_;
  std::uint16_t to_;
  Instant since_;
  bool measured_ = false;
  std::uint32_t count_ = 0;
  float rate_ = 0;
  double seconds_ = 0;
  std::vector<std::uint16_t> counts_;  // of each key, since the last measurement
  std::vector<float> weights_;         // decayed count of each key
};

}  // namespace banktide
