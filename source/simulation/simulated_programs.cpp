// Instantiates the three programs for simulated machines, once for the simulator and
// all tests that use it.
#include "simulation/sim_machines.hpp"

namespace banktide {

template class Proxy<SimProcess, SimEdge>;
template class Registry<SimProcess>;
template class Acceptor<SimProcess, SimDisk>;

}  // namespace banktide
