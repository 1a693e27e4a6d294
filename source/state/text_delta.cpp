#include "state/text_delta.hpp"

#include "protocol/digest.hpp"
#include "state/compressed_text.hpp"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace banktide {

namespace {

constexpr std::string_view step = "text delta";
constexpr int fastest_level = 1;
constexpr unsigned min_window_log = 10;

struct FreeCompression {
  void operator()(ZSTD_CCtx* const context) const { ZSTD_freeCCtx(context); }
};
struct FreeDecompression {
  void operator()(ZSTD_DCtx* const context) const { ZSTD_freeDCtx(context); }
};
using Compression = std::unique_ptr<ZSTD_CCtx, FreeCompression>;
using Decompression = std::unique_ptr<ZSTD_DCtx, FreeDecompression>;

tl::unexpected<Error> failure(std::string reason) { return make_error(std::string(step), "", std::move(reason)); }

// The window must reach back over the whole dictionary from the text's last byte.
int window_log(std::string_view const before, std::string_view const after) {
  unsigned const bits = static_cast<unsigned>(std::bit_width(before.size() + after.size()));
  return static_cast<int>(std::max(bits, min_window_log));
}

std::optional<std::string> compress_difference(std::string_view const before, std::string_view const after) {
  Compression const context(ZSTD_createCCtx());
  if (!context) return std::nullopt;
  std::string bytes(ZSTD_compressBound(after.size()), '\0');
  bool const ready =
      !ZSTD_isError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, fastest_level)) &&
      !ZSTD_isError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(before, after))) &&
      !ZSTD_isError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1)) &&
      !ZSTD_isError(ZSTD_CCtx_refPrefix(context.get(), before.data(), before.size()));
  if (!ready) return std::nullopt;
  std::size_t const size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), after.data(), after.size());
  if (ZSTD_isError(size)) return std::nullopt;
  bytes.resize(size);
  return bytes;
}

Result<std::string> apply_difference(std::string_view const before, std::string_view const bytes) {
  unsigned long long const length = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (length == ZSTD_CONTENTSIZE_ERROR || length == ZSTD_CONTENTSIZE_UNKNOWN) return failure("corrupt bytes");
  if (length > max_decompressed_size) return failure("text of " + std::to_string(length) + " bytes");
  Decompression const context(ZSTD_createDCtx());
  if (!context || ZSTD_isError(ZSTD_DCtx_refPrefix(context.get(), before.data(), before.size())))
    return failure("no memory");
  std::string text(static_cast<std::size_t>(length), '\0');
  std::size_t const size = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(size)) return failure(ZSTD_getErrorName(size));
  if (size != text.size()) return failure("the length differs from the declared one");
  return text;
}

}  // namespace

std::optional<TextDelta> make_text_delta(RegisterValue const& base, RegisterValue const& target) {
  if (base.revision >= target.revision) return std::nullopt;
  Result<std::string> const before = decompress(base.bytes);
  Result<std::string> const after = decompress(target.bytes);
  if (!before || !after) return std::nullopt;
  std::optional<std::string> bytes = compress_difference(*before, *after);
  if (!bytes || bytes->size() >= target.bytes.size()) return std::nullopt;
  return TextDelta{base.revision, target.revision, std::move(*bytes)};
}

Result<RegisterValue> apply_text_deltas(RegisterValue const& base, std::vector<TextDelta> const& deltas) {
  auto next =
      std::find_if(deltas.begin(), deltas.end(), [&](TextDelta const& delta) { return delta.to > base.revision; });
  if (next == deltas.end()) return failure("no newer delta");
  if (next->from != base.revision) return failure("made from another base revision");
  Result<std::string> text = decompress(base.bytes);
  if (!text) return tl::unexpected<Error>(text.error());
  RegisterValue target;
  target.revision = base.revision;
  for (; next != deltas.end(); ++next) {
    if (next->from != target.revision || next->to <= next->from) return failure("revisions out of order");
    text = apply_difference(*text, next->bytes);
    if (!text) return tl::unexpected<Error>(text.error());
    target.revision = next->to;
  }
  target.bytes = store_uncompressed(*text);
  target.digest = digest_of(target.bytes);
  return target;
}

}  // namespace banktide
