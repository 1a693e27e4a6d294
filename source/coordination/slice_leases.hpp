// The node's side of the key-slice leases. A term counts from before the request was sent, a call is admitted only if
// its deadline is within the term, and a slice is released only when none of its calls is in flight; a call with an
// unknown outcome counts as in flight until its deadline.
#pragma once

#include "coordination/lease_voter.hpp"

#include <map>
#include <set>

namespace banktide {

template <Environment Env>
class SliceLeases {
 public:
  explicit SliceLeases(Env& env) : env_(env) {}

  struct Lease {
    std::string instance;
    std::uint64_t epoch = 0;
    Instant until{};
    std::uint32_t in_flight = 0;
    Instant busy_until{};
    bool wanted = false;
  };

  // Admits a call for the slice if the lease ends after the call's deadline; returns the lease's epoch.
  Result<std::uint64_t> admit(Slice const& s, std::string const& instance, Instant const deadline) {
    auto const it = held_.find(s);
    if (broken_on_purpose("no_lease")) return std::uint64_t{1};
    if (it == held_.end() || it->second.instance != instance)
      return make_error("lease", s.service, "slice " + std::to_string(s.slice) + " is not held here", Proof::not_run);
    Lease& l = it->second;
    if (!l.wanted)
      return make_error("lease", s.service, "slice " + std::to_string(s.slice) + " is moving", Proof::not_run);
    if (deadline >= l.until)
      return make_error("lease", s.service, "lease ends before the call's deadline", Proof::not_run);
    ++l.in_flight;
    return l.epoch;
  }

  // Ends a call. `until` is when it is certainly over: its deadline if the outcome is unknown.
  void finish_call(Slice const& s, Instant const until) {
    auto const it = held_.find(s);
    if (it == held_.end()) return;
    if (it->second.in_flight > 0) --it->second.in_flight;
    it->second.busy_until = std::max(it->second.busy_until, until);
  }

  // One round: claims the slices that this node should serve, renews its leases, and releases the slices that it
  // should no longer serve and that have no calls in flight.
  Task<void> run_round(std::string const holder, std::map<Slice, std::string> const wanted,
                       std::vector<Address> const registries, std::size_t const majority) {
    Instant const start = env_.now();
    LeaseRequest q;
    q.holder = holder;
    for (auto it = held_.begin(); it != held_.end();) {
      Lease& l = it->second;
      auto const want = wanted.find(it->first);
      l.wanted = want != wanted.end() && want->second == l.instance;
      bool const idle = (l.in_flight == 0 && l.busy_until <= start) || broken_on_purpose("release_busy");
      if (!l.wanted && (idle || l.until <= start)) {
        q.release.push_back(SliceClaim{it->first, l.epoch});
        it = held_.erase(it);
        continue;
      }
      if (l.until <= start) {
        it = held_.erase(it);
        continue;
      }
      q.want.push_back(SliceClaim{it->first, l.epoch});
      ++it;
    }
    std::vector<std::string> instances;
    for (SliceClaim const& c : q.want) instances.push_back(held_.at(c.slice).instance);
    std::size_t const renewed = q.want.size();
    for (auto const& [slice, instance] : wanted) {
      if (held_.contains(slice)) continue;
      q.want.push_back(SliceClaim{slice, seen_epochs_[slice] + 1});
      instances.push_back(instance);
    }
    if (q.want.empty() && q.release.empty()) co_return;
    auto const replies =
        co_await ask_all<LeaseRequest>(env_, registries, q, start + 600ms, [](auto const&) { return false; });
    LeaseRequest undo;
    undo.holder = holder;
    for (std::size_t i = 0; i < q.want.size(); ++i) {
      Slice const slice = q.want[i].slice;
      std::size_t granted = 0;
      for (auto const& [at, r] : replies) {
        if (!r || !r->voting || r->granted.size() != q.want.size() || r->epochs.size() != q.want.size()) continue;
        granted += r->granted[i] != 0;
        std::uint64_t& seen = seen_epochs_[slice];
        seen = std::max(seen, r->epochs[i]);
      }
      if (granted >= majority) {
        Lease& l = held_[slice];
        if (i >= renewed) {
          l = Lease{instances[i], q.want[i].epoch, {}, 0, {}, true};
          log_info("lease_held", {{"service", slice.service},
                                  {"slice", std::to_string(slice.slice)},
                                  {"instance", instances[i]},
                                  {"epoch", std::to_string(l.epoch)}});
        }
        l.until = start + lease_term - lease_margin;
      } else if (i >= renewed && granted > 0) {
        undo.release.push_back(q.want[i]);
      }
    }
    if (!undo.release.empty())
      for (Address const& r : registries) tell(env_, r, undo);
  }

  std::map<Slice, Lease> const& held() const { return held_; }

 private:
  Env& env_;
  std::map<Slice, Lease> held_;
  std::map<Slice, std::uint64_t> seen_epochs_;
};

}  // namespace banktide
