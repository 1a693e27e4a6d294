#include "transport/http_codec.hpp"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <algorithm>
#include <array>
#include <charconv>

namespace banktide {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t scratch_bytes = 32u << 10;
constexpr Duration default_idle_time = 8s;  // without a `Keep-Alive: timeout`
constexpr Duration idle_time_margin = 1s;   // below the peer's own timeout
constexpr Duration min_idle_time = 200ms;   // if nothing would remain
constexpr std::size_t max_idle_seconds = 86400;
constexpr std::size_t body_reserve_limit = 1u << 20;  // larger bodies grow as they arrive

char lower(char const c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool is_token_char(char const c) {
  bool const letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  bool const digit = c >= '0' && c <= '9';
  return letter || digit || (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

std::string_view trim(std::string_view text) {
  std::size_t const first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  std::size_t const last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

// Calls `visit` with each non-empty member of a comma-separated list.
template <class Visit>
void for_each_token(std::string_view list, Visit visit) {
  while (!list.empty()) {
    std::size_t const comma = list.find(',');
    std::string_view const token = trim(list.substr(0, comma));
    if (!token.empty()) visit(token);
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

bool is_hop_by_hop(std::string_view const name) {
  static constexpr std::array<std::string_view, 7> names{
      "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "content-length"};
  if (name.size() > 6 && same_name(name.substr(0, 6), "proxy-")) return true;
  return std::any_of(names.begin(), names.end(), [&](std::string_view const n) { return same_name(n, name); });
}

}  // namespace

Result<asio::ip::tcp::endpoint> endpoint_of(Address const& address) {
  std::size_t const colon = address.rfind(':');
  if (colon == std::string::npos) return make_error("parse_address", address, "no port", Proof::not_run);
  boost::system::error_code error;
  asio::ip::address const ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  char const* const end = address.data() + address.size();
  std::from_chars_result const read = std::from_chars(address.data() + colon + 1, end, port);
  if (error || read.ec != std::errc() || read.ptr != end)
    return make_error("parse_address", address, "not an ip:port", Proof::not_run);
  return asio::ip::tcp::endpoint(ip, port);
}

Address address_of(asio::ip::tcp::endpoint const& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::span<char> read_scratch() {
  static thread_local std::array<char, scratch_bytes> scratch;
  return scratch;
}

bool same_name(std::string_view const a, std::string_view const b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char const x, char const y) { return lower(x) == lower(y); });
}

std::string const* find_header(std::vector<Header> const& headers, std::string_view const name) {
  for (Header const& header : headers)
    if (same_name(header.name, name)) return &header.value;
  return nullptr;
}

bool header_has_token(std::vector<Header> const& headers, std::string_view const name, std::string_view const token) {
  bool found = false;
  for (Header const& header : headers)
    if (same_name(header.name, name))
      for_each_token(header.value, [&](std::string_view const t) { found = found || same_name(t, token); });
  return found;
}

bool is_safe(Header const& header) {
  return !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), is_token_char) &&
         header.value.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos;
}

void remove_hop_by_hop(std::vector<Header>& headers) {
  std::vector<std::string> connection_tokens;
  for (Header const& header : headers)
    if (same_name(header.name, "connection"))
      for_each_token(header.value, [&](std::string_view const token) { connection_tokens.emplace_back(token); });
  std::erase_if(headers, [&](Header const& header) {
    if (is_hop_by_hop(header.name)) return true;
    return std::any_of(connection_tokens.begin(), connection_tokens.end(),
                       [&](std::string const& n) { return same_name(n, header.name); });
  });
}

Duration usable_idle_time(std::vector<Header> const& headers) {
  std::string const* const value = find_header(headers, "keep-alive");
  if (!value) return default_idle_time;
  constexpr std::string_view key = "timeout=";
  std::size_t const at = value->find(key);
  if (at == std::string::npos) return default_idle_time;
  std::size_t seconds = 0;
  char const* const end = value->data() + value->size();
  if (std::from_chars(value->data() + at + key.size(), end, seconds).ec != std::errc()) return default_idle_time;
  if (seconds <= 1) return min_idle_time;
  return std::chrono::seconds(std::min(seconds, max_idle_seconds)) - idle_time_margin;
}

void append_header(std::string& head, std::string_view const name, std::string_view const value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

std::string reply_head(std::uint16_t const status, std::vector<Header> headers) {
  remove_hop_by_hop(headers);
  boost::beast::string_view const reason = http::obsolete_reason(http::int_to_status(status));
  std::string head;
  head.reserve(192 + headers.size() * 48);
  head.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  head.append(reason.data(), reason.size()).append("\r\n");
  for (Header const& header : headers)
    if (is_safe(header)) append_header(head, header.name, header.value);
  return head;
}

template <bool is_request>
MessageParser<is_request>::MessageParser(std::size_t const header_bytes, std::size_t const body_bytes)
    : header_bytes_left_(header_bytes) {
  this->header_limit(static_cast<std::uint32_t>(header_bytes));
  this->body_limit(body_bytes);
}

template <bool is_request>
std::size_t MessageParser<is_request>::parse(std::string_view const bytes, ErrorCode& error,
                                             bool const stop_at_header) {
  std::size_t used = 0;
  error = {};
  while (!this->is_done() && used < bytes.size()) {
    bool const had_header = header_complete_;
    used += this->put(asio::const_buffer(bytes.data() + used, bytes.size() - used), error);
    if (error == http::error::need_more) {
      error = {};
      return used;
    }
    if (error || (stop_at_header && !had_header && header_complete_)) return used;
  }
  return used;
}

template <bool is_request>
void MessageParser<is_request>::count_header_bytes(std::size_t const bytes, ErrorCode& error) {
  if (bytes > header_bytes_left_) {
    error = http::error::header_limit;
    return;
  }
  header_bytes_left_ -= bytes;
}

template <bool is_request>
void MessageParser<is_request>::on_request_impl(Verb, View const method_text, View const target_text, int const version,
                                                ErrorCode& error) {
  method.assign(method_text.data(), method_text.size());
  target.assign(target_text.data(), target_text.size());
  version_ = version;
  count_header_bytes(method.size() + target.size() + std::string_view("  HTTP/1.1\r\n").size(), error);
}

template <bool is_request>
void MessageParser<is_request>::on_response_impl(int const code, View const reason, int const version,
                                                 ErrorCode& error) {
  status = static_cast<std::uint16_t>(code);
  version_ = version;
  count_header_bytes(reason.size() + std::string_view("HTTP/1.1 200 \r\n").size(), error);
}

template <bool is_request>
void MessageParser<is_request>::on_field_impl(Field const field, View const name, View const value, ErrorCode& error) {
  count_header_bytes(name.size() + value.size() + std::string_view(": \r\n").size(), error);
  if (error || header_complete_) return;
  // With any coding other than a single `chunked`, the end of the message would be ambiguous.
  std::string_view const text(value.data(), value.size());
  if (field == Field::transfer_encoding && (version_ == 10 || !same_name(text, "chunked"))) {
    error = http::error::bad_transfer_encoding;
    return;
  }
  headers.emplace_back();
  headers.back().name.assign(name.data(), name.size());
  headers.back().value.assign(value.data(), value.size());
}

template <bool is_request>
void MessageParser<is_request>::on_header_impl(ErrorCode&) {
  header_complete_ = true;
}

template <bool is_request>
void MessageParser<is_request>::on_body_init_impl(boost::optional<std::uint64_t> const& length, ErrorCode&) {
  if (length) body.reserve(std::min<std::size_t>(*length, body_reserve_limit));
}

template <bool is_request>
std::size_t MessageParser<is_request>::on_body_impl(View const bytes, ErrorCode&) {
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

template <bool is_request>
void MessageParser<is_request>::on_chunk_header_impl(std::uint64_t, View const extensions, ErrorCode& error) {
  count_header_bytes(extensions.size(), error);
}

template <bool is_request>
std::size_t MessageParser<is_request>::on_chunk_body_impl(std::uint64_t, View const bytes, ErrorCode&) {
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

template <bool is_request>
void MessageParser<is_request>::on_finish_impl(ErrorCode&) {}

template class MessageParser<true>;
template class MessageParser<false>;

}  // namespace banktide
