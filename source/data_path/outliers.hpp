// Which backends of a service fail far more of their requests than the others:
// these get few new ones. A service whose backends all fail alike has no outliers,
// since the fault then lies elsewhere.
#pragma once

#include <cstdint>
#include <vector>

namespace banktide {

/// For each backend, by the percentage of its requests that failed, whether it is an
/// outlier. At most a third of them are, the worst ones.
std::vector<bool> find_outliers(std::vector<std::uint32_t> const& failed_percent);

}  // namespace banktide
