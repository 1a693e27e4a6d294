// Records at the registries which instances of a node's backend drain or have signed off, so that a later process of
// the node takes no late heartbeat for that of an instance in service. A drain or sign-off is recorded once a majority
// of the registries has it, and an instance counts as in service once a majority knows nothing of it, so that the two
// majorities have a registry in common.
#pragma once

#include "protocol/backend_heartbeat.hpp"
#include "protocol/sign_off_messages.hpp"
#include "state/recent_ids.hpp"
#include "transport/environment.hpp"

#include <algorithm>
#include <functional>
#include <optional>

namespace banktide {

/// The registries that sign-offs are recorded with.
struct SignOffRegistries {
  std::vector<Address> addresses;  ///< the known ones, including those that don't answer at the moment
  std::size_t count = 0;           ///< how many there are, as far as the node was told; it may know fewer addresses
  std::size_t majority() const { return std::max(addresses.size(), count) / 2 + 1; }
};

template <Environment Env>
class SignOffRecorder {
 public:
  SignOffRecorder(Env& env, std::function<SignOffRegistries()> registries)
      : env_(env), registries_(std::move(registries)) {}

  /// Returns true once a majority of the registries has the sign-off, false at the deadline.
  Task<bool> record_sign_off(std::string const instance, Instant const deadline) { return record(instance, deadline); }

  /// Returns true once a majority of the registries has the drain, false at the deadline. Asks them only once.
  Task<bool> record_drain(std::string const instance, Instant const deadline) {
    if (recorded_drains_.contains(instance)) co_return true;
    bool const recorded = co_await record(drain_entry(instance), deadline);
    if (recorded) recorded_drains_.insert(instance);
    co_return recorded;
  }

  /// Whether the instance has signed off at this or a former process; none if too few registries answer in time.
  Task<std::optional<bool>> has_signed_off(std::string const instance, Instant const deadline) {
    return find(instance, deadline);
  }

  /// Whether this or a former process acknowledged that the instance drains; none if too few registries answer in time.
  Task<std::optional<bool>> is_draining(std::string const instance, Instant const deadline) {
    return find(drain_entry(instance), deadline);
  }

  /// Repeats recent drains and sign-offs to all registries: one that was restarted has forgotten them.
  Task<void> repeat_loop() {
    while (true) {
      co_await sleep_for(env_, repeat_period);
      std::erase_if(recent_, [&](Recent const& recent) { return env_.now() - recent.at > max_heartbeat_delay; });
      if (recent_.empty()) continue;
      SignOffRecord record;
      for (Recent const& recent : recent_) record.instances.push_back(recent.entry);
      for (Address const& registry : registries_().addresses) tell(env_, registry, record);
    }
  }

 private:
  static constexpr Duration attempt_timeout = 300ms;
  static constexpr Duration retry_pause = 30ms;
  static constexpr Duration repeat_period = 1s;
  static constexpr std::size_t max_recent = 16;

  struct Recent {
    std::string entry;
    Instant at{};
  };

  Task<bool> record(std::string const entry, Instant const deadline) {
    remember(entry);
    while (env_.now() < deadline) {
      std::optional<bool> const recorded = co_await record_once(entry, attempt_deadline(deadline));
      if (recorded) co_return true;
      co_await sleep_for(env_, retry_pause);
    }
    co_return false;
  }

  Task<std::optional<bool>> find(std::string const entry, Instant const deadline) {
    while (env_.now() < deadline) {
      std::optional<bool> const known = co_await query_once(entry, attempt_deadline(deadline));
      if (known) co_return known;
      co_await sleep_for(env_, retry_pause);
    }
    co_return std::nullopt;
  }

  void remember(std::string const& entry) {
    std::erase_if(recent_, [&](Recent const& recent) { return recent.entry == entry; });
    recent_.push_back(Recent{entry, env_.now()});
    if (recent_.size() > max_recent) recent_.erase(recent_.begin());
  }

  Instant attempt_deadline(Instant const deadline) const { return std::min(deadline, env_.now() + attempt_timeout); }

  Task<std::optional<bool>> record_once(std::string const entry, Instant const deadline) {
    SignOffRegistries const registries = registries_();
    std::size_t const majority = registries.majority();
    if (registries.addresses.size() < majority) co_return std::nullopt;
    SignOffRecord const record{{entry}};
    auto const recorded = [](auto const& replies) {
      return static_cast<std::size_t>(std::count_if(
          replies.begin(), replies.end(), [](auto const& reply) { return reply.second && reply.second->recorded; }));
    };
    auto const enough = [majority, recorded](auto const& replies) { return recorded(replies) >= majority; };
    auto const replies = co_await ask_all<SignOffRecord>(env_, registries.addresses, record, deadline, enough);
    if (!enough(replies)) co_return std::nullopt;
    co_return true;
  }

  Task<std::optional<bool>> query_once(std::string const entry, Instant const deadline) {
    SignOffRegistries const registries = registries_();
    std::size_t const majority = registries.majority();
    if (registries.addresses.size() < majority) co_return std::nullopt;
    SignOffQuery const query{entry};
    auto const has_entry = [](auto const& reply) { return reply.second && reply.second->signed_off; };
    auto const found = [has_entry](auto const& replies) {
      return std::any_of(replies.begin(), replies.end(), has_entry);
    };
    auto const answered = [](auto const& replies) {
      return static_cast<std::size_t>(
          std::count_if(replies.begin(), replies.end(), [](auto const& reply) { return reply.second.has_value(); }));
    };
    auto const enough = [&](auto const& replies) { return found(replies) || answered(replies) >= majority; };
    auto const replies = co_await ask_all<SignOffQuery>(env_, registries.addresses, query, deadline, enough);
    if (found(replies)) co_return true;
    if (answered(replies) < majority) co_return std::nullopt;
    co_return false;
  }

  Env& env_;
  std::function<SignOffRegistries()> const registries_;
  std::vector<Recent> recent_;
  RecentIds recorded_drains_;
};

}  // namespace banktide
