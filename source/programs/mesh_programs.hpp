// The programs on the new data path: the same executables as the product's own,
// started with an adapter for the interface of whoever runs them.
#pragma once

#include "protocol/interface_adapter.hpp"

#include <string>
#include <vector>

namespace banktide {

/** Runs a node until it is told to go; the exit code. `arguments` are the command line's words. */
int run_mesh_proxy(std::vector<std::string> const& arguments, InterfaceAdapter const& adapter);

/** Runs a registry until it is told to go; the exit code. */
int run_mesh_registry(std::vector<std::string> const& arguments, InterfaceAdapter const& adapter);

}  // namespace banktide
