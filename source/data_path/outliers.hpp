// Outlier detection: backends of a service that fail far more of their requests than the others get
// few new ones. If all backends of a service fail alike there are no outliers, as the cause then is
// elsewhere.
#pragma once

#include <cstdint>
#include <vector>

namespace banktide {

/// Returns for each backend whether it is an outlier, given the percentage of its requests that failed.
/// At most a third of the backends are, the worst ones.
std::vector<bool> find_outliers(std::vector<std::uint32_t> const& failed_percent);

}  // namespace banktide
