// A registry's record of the backend instances that have signed off. It is kept in memory: several registries have
// each entry, and the node that received the sign-off repeats it while a heartbeat of the instance may still arrive.
#pragma once

#include "protocol/sign_off_messages.hpp"
#include "state/recent_ids.hpp"
#include "transport/environment.hpp"

namespace banktide {

class SignOffLog {
 public:
  void attach(Dispatcher& dispatcher) {
    dispatcher.on<SignOffRecord>([this](SignOffRecord const record) -> Task<SignOffRecordReply> {
      SignOffRecordReply reply{add(record)};
      co_return reply;
    });
    dispatcher.on<SignOffQuery>([this](SignOffQuery const query) -> Task<SignOffQueryReply> {
      SignOffQueryReply reply{instances_.contains(query.instance)};
      co_return reply;
    });
  }

  /// False if the record isn't a valid one; then nothing of it is kept.
  bool add(SignOffRecord const& record) {
    if (record.instances.empty() || record.instances.size() > max_instances_per_record) return false;
    for (std::string const& instance : record.instances)
      if (instance.empty() || instance.size() > max_id_length) return false;
    for (std::string const& instance : record.instances) instances_.insert(instance);
    return true;
  }
  bool contains(std::string const& instance) const { return instances_.contains(instance); }
  std::size_t size() const { return instances_.size(); }

  static constexpr std::size_t max_entries = 4096;
  static constexpr std::size_t max_instances_per_record = 64;
  static constexpr std::size_t max_id_length = 256;

 private:
  RecentIds instances_{max_entries};
};

}  // namespace banktide
