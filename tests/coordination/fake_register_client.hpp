// A fake register client: a linearizable shared value with delays that tests can make unreachable.
#pragma once

#include "simulation/sim_world.hpp"

namespace banktide {

/** The state shared by all fake clients. */
struct SharedRegister {
  RegisterValue held;
  bool reachable = true;
  std::size_t writes = 0;
};

class FakeRegisterClient {
 public:
  FakeRegisterClient(SimProcess& process, SharedRegister& shared) : process_(process), shared_(shared) {}
  template <class Step>
  Task<Result<RegisterValue>> change(Register, std::string, Instant, Step step) {
    co_await sleep_for(process_, std::chrono::milliseconds(1 + process_.chance()() % 30));
    if (!shared_.reachable) co_return make_error("change", "", "no majority", Proof::not_run);
    Result<RegisterValue> next = step(shared_.held);
    if (next && next->revision != shared_.held.revision) ++shared_.writes;
    if (next) shared_.held = *next;
    co_await sleep_for(process_, std::chrono::milliseconds(1 + process_.chance()() % 30));
    co_return next;
  }

 private:
  SimProcess& process_;
  SharedRegister& shared_;
};

}  // namespace banktide
