#include "data_path/outliers.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace banktide {

namespace {

constexpr std::uint32_t min_percent = 12;        // at or below this no backend is an outlier
constexpr std::uint32_t median_factor = 3;       // an outlier fails more than this many times the median
constexpr std::size_t max_outliers_divisor = 3;  // at most a third of all backends

}  // namespace

std::vector<bool> find_outliers(std::vector<std::uint32_t> const& failed_percent) {
  std::vector<bool> outlier(failed_percent.size(), false);
  std::size_t const max_outliers = failed_percent.size() / max_outliers_divisor;
  if (max_outliers == 0) return outlier;
  std::vector<std::size_t> worst_first(failed_percent.size());
  std::iota(worst_first.begin(), worst_first.end(), std::size_t{0});
  std::stable_sort(worst_first.begin(), worst_first.end(),
                   [&](std::size_t const a, std::size_t const b) { return failed_percent[a] > failed_percent[b]; });
  std::uint32_t const median = failed_percent[worst_first[worst_first.size() / 2]];
  std::uint32_t const threshold = std::max(min_percent, median * median_factor);
  for (std::size_t i = 0; i < max_outliers; ++i) outlier[worst_first[i]] = failed_percent[worst_first[i]] > threshold;
  return outlier;
}

}  // namespace banktide
