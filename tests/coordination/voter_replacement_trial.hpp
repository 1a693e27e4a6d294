// Runs sequences of replacements, lost disks, lost power and interrupted changes on
// the real stores beside a reference model: which machines are members, and which
// value was acknowledged last. The model determines when the register must be
// available (no more failures than the set must tolerate) and what a reader must see.
#pragma once

#include "tests/coordination/store_trial.hpp"

#include <ostream>

namespace banktide {

enum class Fault {
  replace,          // fails permanently; an empty machine follows a second later at another address
  replace_planned,  // the new machine joins first, then the old one leaves
  lose_disk,        // returns at once with an empty disk
  lose_power,       // without power for a few seconds
  stay_away,        // without power until it is removed, then returns with its old disk
  interrupted,      // every machine loses power during the set change of a replacement
  closing,          // the tolerated number of disks is lost while all other machines lose power
};

inline char const* name_of(Fault const t) {
  switch (t) {
    case Fault::replace:
      return "replace";
    case Fault::replace_planned:
      return "replace_planned";
    case Fault::lose_disk:
      return "lose_disk";
    case Fault::lose_power:
      return "lose_power";
    case Fault::stay_away:
      return "stay_away";
    case Fault::interrupted:
      return "interrupted";
    case Fault::closing:
      return "closing";
  }
  return "";
}

/// A fault that affects the oldest or the newest member. The age of a disk must not matter: a value acknowledged
/// just now survives the loss of the oldest voters right after others were replaced.
struct FaultStep {
  Fault fault{};
  bool oldest = true;
  friend std::ostream& operator<<(std::ostream& out, FaultStep const& s) {
    return out << name_of(s.fault) << (s.oldest ? "(oldest)" : "(newest)");
  }
};

class ReplacementTrial {
 public:
  /// How long a machine still counts as failed after it returns.
  static constexpr Duration catch_up = 4s;

  ReplacementTrial(std::uint64_t const seed, std::size_t const voters, std::uint32_t const losses,
                   std::size_t const spares)
      : stores_(seed, voters + spares, losses), losses_(losses), next_spare_(voters) {
    for (std::size_t i = 0; i < voters; ++i) {
      members_.push_back(i);
      stores_.start(i, true);
    }
  }

  bool formed() {
    std::size_t const voters = members_.size();
    return stores_.run_until([&] { return stores_.all_vote(voters); }, 30s) && acknowledge("formed");
  }

  /// Runs the steps; true if the register was available and correct after each.
  bool run_steps(std::vector<FaultStep> const& steps) {
    return std::all_of(steps.begin(), steps.end(), [this](FaultStep const& s) { return run_step(s); });
  }

  StoreTrial& stores() { return stores_; }

 private:
  static constexpr Duration patience = 3s;

  bool run_step(FaultStep const& s) {
    std::size_t const target = s.oldest ? members_.front() : members_.back();
    switch (s.fault) {
      case Fault::replace:
        return replace(target) && settle();
      case Fault::replace_planned:
        return replace_planned(target) && settle();
      case Fault::lose_disk:
        cut_power(target);
        stores_.wipe(target);
        stores_.run_for(500ms);
        restore_power(target);
        return settle();
      case Fault::lose_power:
        cut_power(target);
        stores_.run_for(3s);
        if (!acknowledge("without power")) return false;
        restore_power(target);
        return settle();
      case Fault::stay_away:
        cut_power(target);
        stores_.run_for(15s);
        if (!acknowledge("one away for long")) return false;
        restore_power(target);
        return settle();
      case Fault::interrupted:
        return interrupt_replacement(target) && settle();
      case Fault::closing:
        return lose_disks_and_power(s.oldest) && settle();
    }
    return false;
  }

  bool replace(std::size_t const failed) {
    cut_power(failed);
    std::erase(members_, failed);
    stores_.run_for(1s);
    add_spare();
    return acknowledge("just replaced");
  }

  bool replace_planned(std::size_t const failed) {
    add_spare();
    stores_.run_for(1s);
    spawn(*stores_.net.at[stores_.addresses[failed]], stores_.memberships[failed]->leave(2s));
    stores_.run_for(2s);
    cut_power(failed);
    std::erase(members_, failed);
    return acknowledge("just left");
  }

  // Each interruption of a sequence cuts the power at a different moment of the change.
  bool interrupt_replacement(std::size_t const failed) {
    cut_power(failed);
    std::erase(members_, failed);
    stores_.run_for(1s);
    add_spare();
    stores_.run_for(100ms + 137ms * static_cast<int>(++interruptions_ * 5 % 13));
    for (std::size_t const m : members_) stores_.power_off(m);
    stores_.run_for(200ms);
    for (std::size_t const m : members_) stores_.start(m, false);
    return true;
  }

  bool lose_disks_and_power(bool const oldest) {
    std::vector<std::size_t> wiped = members_;
    if (!oldest) std::reverse(wiped.begin(), wiped.end());
    wiped.resize(losses_);
    if (!acknowledge("before the closing loss")) return false;
    for (std::size_t const m : members_) stores_.power_off(m);
    for (std::size_t const m : wiped) stores_.wipe(m);
    stores_.run_for(500ms);
    for (std::size_t const m : members_) stores_.start(m, false);
    return true;
  }

  void cut_power(std::size_t const i) {
    stores_.power_off(i);
    stores_.net.unpowered.insert("core-" + std::to_string(i));
  }
  void restore_power(std::size_t const i) {
    stores_.net.unpowered.erase("core-" + std::to_string(i));
    stores_.start(i, false);
  }
  // The operators' list of seeds follows the replacements with a delay of one.
  void add_spare() {
    stores_.seeds.clear();
    for (std::size_t k = 0; k < 3 && k < members_.size(); ++k) stores_.seeds.push_back(stores_.addresses[members_[k]]);
    members_.push_back(next_spare_);
    stores_.start(next_spare_, false);
    ++next_spare_;
  }

  // After this, all members count as recovered and the next fault may follow.
  bool settle() {
    stores_.run_for(catch_up);
    return tolerates_losses_again() && read_back() && acknowledge("settled");
  }

  // All members vote in the same set, and it tolerates the configured losses.
  bool tolerates_losses_again() {
    VoterSet const& set = stores_.acceptors[members_.front()]->set();
    bool const all_vote = std::all_of(members_.begin(), members_.end(), [&](std::size_t const m) {
      return stores_.acceptors[m]->voting() && stores_.acceptors[m]->set() == set;
    });
    bool const borne = members_.size() >= quorum_size(set) + losses_;
    EXPECT_TRUE(all_vote && borne) << stores_.describe();
    return all_vote && borne;
  }

  bool acknowledge(char const* const when) {
    ++last_;
    Result<RegisterValue> const done = stores_.put(0, Register::routing, last_, std::to_string(last_), patience);
    EXPECT_TRUE(done) << when << ": " << done.error().reason;
    return done.has_value();
  }

  bool read_back() {
    Result<RegisterValue> const seen = stores_.get(1, Register::routing, patience);
    EXPECT_TRUE(seen) << "read back: " << seen.error().reason;
    if (!seen) return false;
    EXPECT_EQ(seen->bytes, std::to_string(last_));
    return seen->bytes == std::to_string(last_);
  }

  StoreTrial stores_;
  std::size_t const losses_;
  std::vector<std::size_t> members_;  // in the order in which they joined
  std::size_t next_spare_;
  std::size_t interruptions_ = 0;
  Revision last_ = 0;
};

}  // namespace banktide
