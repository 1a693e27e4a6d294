// Mutation testing: marked places can be broken on purpose, to show that a check
// detects the fault. Only the simulator and the tests enable this; in other builds
// `broken_on_purpose` is constant false.
#pragma once

#include <string>

namespace banktide {

#ifdef BANKTIDE_MUTANTS
inline std::string mutant_name;
inline bool broken_on_purpose(char const* const name) { return mutant_name == name; }
#else
constexpr bool broken_on_purpose(char const*) { return false; }
#endif

}  // namespace banktide
