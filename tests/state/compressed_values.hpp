// Values of the register `routing` with compressed texts, as registries hold them.
#pragma once

#include "protocol/digest.hpp"
#include "protocol/zone_messages.hpp"
#include "state/compressed_text.hpp"

namespace banktide {

inline RegisterValue compressed_value(Revision const revision, std::string const& text) {
  RegisterValue value;
  value.revision = revision;
  value.bytes = compress(text);
  value.digest = digest_of(value.bytes);
  return value;
}

/// Returns the value's text; empty if its bytes aren't a compressed text.
inline std::string text_of(RegisterValue const& value) { return decompress(value.bytes).value_or(""); }

}  // namespace banktide
