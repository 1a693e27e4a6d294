// The build defines BANKTIDE_COMMIT for this file alone, so that a new commit compiles nothing else again.
#include "transport/build_info.hpp"

namespace banktide {

std::string source_commit() { return BANKTIDE_COMMIT; }

}  // namespace banktide
