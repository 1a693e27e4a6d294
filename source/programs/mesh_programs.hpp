// Entry points of the mesh programs: the same executables as the stand-alone
// ones, run with an adapter for the operating platform's interface.
#pragma once

#include "protocol/interface_adapter.hpp"

#include <string>
#include <vector>

namespace banktide {

/** Runs a node until it is signalled to shut down; returns the exit code. `arguments` is the command line. */
int run_mesh_proxy(std::vector<std::string> const& arguments, InterfaceAdapter const& adapter);

/** Runs a registry until it is signalled to shut down; returns the exit code. */
int run_mesh_registry(std::vector<std::string> const& arguments, InterfaceAdapter const& adapter);

}  // namespace banktide
