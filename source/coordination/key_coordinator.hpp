// Runs in every registry: receives the nodes' key reports and, while it is the acting coordinator, writes the key
// tables that its planner makes. Two coordinators acting at once do no harm: a table only replaces the one that it
// was made from.
#pragma once

#include "protocol/digest.hpp"
#include "state/key_planner.hpp"
#include "transport/environment.hpp"

#include <functional>

namespace banktide {

/// `Store` reads and changes the register: `read(Register, Held, Instant)` and
/// `change(Register, std::string, Instant, step)`, as RegisterClient does.
template <Environment Env, class Store>
class KeyCoordinator {
 public:
  KeyCoordinator(Env& env, Store& store, KeySettings settings, std::function<bool()> acting)
      : env_(env), store_(store), planner_(settings), acting_(std::move(acting)), alarm_(env) {}

  void attach(Dispatcher& dispatcher) {
    dispatcher.on<KeyReport>([this](KeyReport report) -> Task<KeyReportReply> {
      bool const urgent = !report.released.empty() || !report.ended.empty() || report.state != KeyHolderState::serving;
      newest_reported_ = std::max(newest_reported_, report.table);
      planner_.on_report(env_.now(), std::move(report));
      if (urgent && acting_()) alarm_.wake();
      KeyReportReply reply{planner_.table().revision};
      co_return reply;
    });
  }

  /// Takes in a chosen value of the register that was received elsewhere.
  void on_chosen(RegisterValue const& held) { accept(held); }
  /// Called with each table that this coordinator has written or read.
  std::function<void(RegisterValue const&)> on_table;
  /// Returns the zones whose backends must not hold keys; may be left empty.
  std::function<std::set<std::string>()> withheld_zones;

  Task<void> run() {
    while (!stopped_) {
      co_await alarm_.wait(env_.now() + tick_period);
      planner_.tick(env_.now());
      if (!acting_()) {
        table_is_current_ = false;
        continue;
      }
      if (!table_is_current_ || newest_reported_ > planner_.table().revision) co_await refresh();
      if (table_is_current_) co_await write_plan();
    }
  }
  void stop() {
    stopped_ = true;
    alarm_.wake();
  }

  KeyTable const& table() const { return planner_.table(); }

 private:
  static constexpr Duration tick_period = 100ms;
  static constexpr Duration register_timeout = 2s;

  void accept(RegisterValue const& held) {
    if (held.revision <= held_.revision) return;
    Result<KeyTable> table = unpack_key_table(held.bytes, held.revision);
    if (!table) {
      log_warn("key_table_unreadable", {{"reason", table.error().reason}});
      return;
    }
    held_ = held;
    planner_.on_table(env_.now(), std::move(*table));
    if (on_table) on_table(held_);
  }

  Task<void> refresh() {
    Result<RegisterValue> const read = co_await store_.read(Register::keys, held_, env_.now() + register_timeout);
    table_is_current_ = read.has_value();
    if (!read) {
      log_info("key_table_not_read", {{"reason", read.error().reason}});
      co_return;
    }
    accept(*read);
  }

  Task<void> write_plan() {
    if (withheld_zones) planner_.withhold_zones(withheld_zones());
    std::optional<KeyTable> const plan = planner_.plan(env_.now());
    if (!plan) co_return;
    RegisterValue next;
    next.revision = plan->revision;
    next.bytes = pack_key_table(*plan);
    next.digest = digest_of(next.bytes);
    auto const replace_previous = [next](RegisterValue const& newest) -> Result<RegisterValue> {
      if (newest.revision + 1 != next.revision) return make_error("key table", "", "another table was written first");
      RegisterValue written = next;
      written.requests = newest.requests;
      return written;
    };
    std::string const request = "keys-" + std::to_string(env_.chance()());
    Result<RegisterValue> const done =
        co_await store_.change(Register::keys, request, env_.now() + register_timeout, replace_previous);
    if (done) {
      accept(*done);
    } else {
      log_info("key_table_not_written", {{"revision", std::to_string(next.revision)}, {"reason", done.error().reason}});
      table_is_current_ = false;  // it may have been written nevertheless: read before the next plan
    }
  }

  Env& env_;
  Store& store_;
  KeyPlanner planner_;
  std::function<bool()> acting_;
  typename Env::Alarm alarm_;
  RegisterValue held_;
  Revision newest_reported_ = 0;
  bool table_is_current_ = false;
  bool stopped_ = false;
};

}  // namespace banktide
