// Runs in every registry and counts maintenance windows down. The acting registry
// writes the remaining times back every few seconds and at each change of phase, so
// that they survive a restart of all registries. Two acting registries at once are
// harmless: a countdown is only written over the revision it was computed from.
#pragma once

#include "coordination/maintenance_view.hpp"
#include "protocol/digest.hpp"

#include <functional>

namespace banktide {

/** Edits a plan and returns whether there is anything to write, or an error if the edit isn't possible. */
using MaintenanceEdit = std::function<Result<bool>(MaintenancePlan&)>;

/** `Store` changes the register; it has the interface of RegisterClient. */
template <Environment Env, class Store>
class MaintenanceKeeper {
 public:
  MaintenanceKeeper(Env& env, Store& store, std::function<bool()> acting)
      : env_(env), store_(store), acting_(std::move(acting)) {}

  /** Returns the newest value known to the registry. */
  std::function<RegisterValue()> known;
  /** Called with each value that this keeper has written. */
  std::function<void(RegisterValue const&)> on_written;

  MaintenancePlan plan() const { return view_.at(env_.now()); }

  Task<void> run() {
    while (true) {
      co_await sleep_for(env_, step_interval);
      if (known) view_.take(known(), env_.now());
      if (acting_() && write_due()) co_await write_countdown();
      view_.log_phases(env_.now());
    }
  }

  /** Applies an edit to the newest plan; `edit` may be called more than once. */
  Task<Result<MaintenancePlan>> change(MaintenanceEdit const edit) {
    Instant counted_at{};
    auto const edit_newest = [&](RegisterValue const& newest) -> Result<RegisterValue> {
      Result<MaintenancePlan> plan = unpack_maintenance(newest.bytes);
      if (!plan) return tl::unexpected<Error>(plan.error());
      counted_at = env_.now();
      // A newer revision than ours has just been counted down by another registry.
      if (newest.revision == view_.revision()) plan->advance(counted_at - view_.counted_at());
      Result<bool> const changed = edit(*plan);
      if (!changed) return tl::unexpected<Error>(changed.error());
      return *changed ? next_value(newest, *plan) : newest;
    };
    Result<RegisterValue> const done =
        co_await store_.change(Register::maintenance, "", env_.now() + register_timeout, edit_newest);
    if (!done) co_return tl::unexpected<Error>(done.error());
    adopt_written(*done, counted_at);
    co_return plan();
  }

 private:
  static constexpr Duration step_interval = 100ms;
  static constexpr Duration write_interval = 5s;
  static constexpr Duration register_timeout = 900ms;

  bool write_due() const {
    if (!view_.plan_as_written().current()) return false;
    Duration const elapsed = env_.now() - view_.counted_at();
    MaintenancePlan plan = view_.plan_as_written();
    return plan.advance(elapsed) || elapsed >= write_interval;
  }

  Task<void> write_countdown() {
    Revision const revision = view_.revision();
    Instant const counted_at = env_.now();
    MaintenancePlan const plan = view_.at(counted_at);
    auto const write_over_own = [&](RegisterValue const& newest) -> Result<RegisterValue> {
      if (newest.revision != revision) return make_error("maintenance", "", "a concurrent change was written first");
      return next_value(newest, plan);
    };
    Result<RegisterValue> const done =
        co_await store_.change(Register::maintenance, "", env_.now() + register_timeout, write_over_own);
    if (done) adopt_written(*done, counted_at);
  }

  static RegisterValue next_value(RegisterValue const& newest, MaintenancePlan const& plan) {
    RegisterValue next = newest;
    next.revision = newest.revision + 1;
    next.bytes = pack_maintenance(plan);
    next.digest = digest_of(next.bytes);
    return next;
  }

  void adopt_written(RegisterValue const& held, Instant const counted_at) {
    view_.take(held, counted_at);
    view_.log_phases(env_.now());
    if (on_written) on_written(held);
  }

  Env& env_;
  Store& store_;
  std::function<bool()> const acting_;
  MaintenanceView view_;
};

}  // namespace banktide
