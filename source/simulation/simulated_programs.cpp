// The three programs on simulated machines, compiled once for the simulator and
// for every test that plays with them.
#include "simulation/sim_machines.hpp"

namespace banktide {

template class Proxy<SimProcess, SimEdge>;
template class Registry<SimProcess>;
template class Acceptor<SimProcess, SimDisk>;

}  // namespace banktide
