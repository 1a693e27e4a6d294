// What the programs were built from.
#pragma once

#include <string>

namespace banktide {

/// The commit that was checked out when the build was configured: 12 hexadecimal digits, or `unknown` outside a
/// checkout.
std::string source_commit();

}  // namespace banktide
