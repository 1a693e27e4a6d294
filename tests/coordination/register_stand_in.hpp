// One register that is changed at a distance: linearizable, and unreachable when told.
#pragma once

#include "simulation/sim_world.hpp"

namespace banktide {

/** The register as a registry's client sees it: one value, changed at a distance. */
struct SharedRegister {
  RegisterValue held;
  bool reachable = true;
  std::size_t writings = 0;
};

class FakeRegisterClient {
 public:
  FakeRegisterClient(SimProcess& process, SharedRegister& shared) : process_(process), shared_(shared) {}
  template <class Step>
  Task<Result<RegisterValue>> change(Register, std::string, Instant, Step step) {
    co_await sleep_for(process_, std::chrono::milliseconds(1 + process_.chance()() % 30));
    if (!shared_.reachable) co_return make_error("change", "", "no majority", Proof::not_run);
    Result<RegisterValue> next = step(shared_.held);
    if (next && next->revision != shared_.held.revision) ++shared_.writings;
    if (next) shared_.held = *next;
    co_await sleep_for(process_, std::chrono::milliseconds(1 + process_.chance()() % 30));
    co_return next;
  }

 private:
  SimProcess& process_;
  SharedRegister& shared_;
};

}  // namespace banktide
