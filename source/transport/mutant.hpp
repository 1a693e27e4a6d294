// Places where the code can be broken on purpose, so that a check is seen to
// fail. Only the simulator and the tests are built with them; everywhere else
// the question is a constant no.
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
