// A claim is a pair of a content's digest and a version.
#include "state/version_claims.hpp"

#include "protocol/digest.hpp"

#include <algorithm>

namespace banktide {

namespace {

// Marks a value that was written before claims were recorded.
constexpr char const* unknown_content = "";

// Returns the eight bytes of the digest, to keep the many claims small.
std::string claim_digest(std::string_view const content) {
  std::uint64_t digest = digest_of(content);
  std::string claim;
  for (std::size_t i = 0; i < sizeof digest; ++i, digest >>= 8) claim.push_back(static_cast<char>(digest & 0xff));
  return claim;
}

void add(RegisterValue& value, std::string claim, Revision const version) {
  value.requests.emplace_back(std::move(claim), version);
  if (value.requests.size() > max_claims) value.requests.erase(value.requests.begin());
}

}  // namespace

VersionClaim find_claim(RegisterValue const& value, Revision const version, std::string_view const content) {
  auto const claimed = std::find_if(value.requests.begin(), value.requests.end(),
                                    [version](auto const& claim) { return claim.second == version; });
  if (claimed == value.requests.end()) return VersionClaim::free;
  return claimed->first == claim_digest(content) ? VersionClaim::same_content : VersionClaim::other_content;
}

RegisterValue claim_version(RegisterValue const& now, Revision const version, std::string_view const content,
                            std::string const& bytes) {
  RegisterValue next = now;
  if (find_claim(now, version, content) == VersionClaim::free) {
    bool const unclaimed_value = now.revision == version && now.bytes != bytes;
    add(next, unclaimed_value ? unknown_content : claim_digest(content), version);
  }
  if (now.revision >= version) return next;
  next.revision = version;
  next.bytes = bytes;
  next.digest = digest_of(bytes);
  return next;
}

}  // namespace banktide
