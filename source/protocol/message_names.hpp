// Names of message kinds for logs.
#pragma once

#include <cstdint>
#include <string_view>

namespace banktide {

/// The name of a message kind; "other" if it is unknown.
std::string_view message_name(std::uint8_t kind);

}  // namespace banktide
