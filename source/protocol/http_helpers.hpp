// HTTP helpers: JSON replies, header lookup and removal of hop-by-hop headers.
#pragma once

#include "protocol/json.hpp"
#include "protocol/messages.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace banktide {

inline HttpReply json_reply(std::uint16_t const status, Json const& j) {
  HttpReply r;
  r.status = status;
  r.headers.push_back({"Content-Type", "application/json"});
  r.body = j.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return r;
}

/** Header names are case-insensitive. */
inline bool same_name(std::string_view const a, std::string_view const b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char const x, char const y) {
           return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
         });
}

inline bool has_header(std::vector<Header> const& headers, std::string_view const name) {
  return std::any_of(headers.begin(), headers.end(), [&](Header const& h) { return same_name(h.name, name); });
}

inline std::string header_value(HttpRequest const& q, std::string_view const name) {
  for (Header const& h : q.headers)
    if (same_name(h.name, name)) return h.value;
  return "";
}

inline void strip_hop_by_hop_headers(std::vector<Header>& headers, bool const is_request) {
  std::string connection_tokens;
  auto const lower = [](std::string s) {
    for (char& ch : s) ch = static_cast<char>(std::tolower(static_cast<unsigned char>(ch)));
    return s;
  };
  for (Header const& h : headers)
    if (lower(h.name) == "connection") connection_tokens += "," + lower(h.value) + ",";
  std::erase(connection_tokens, ' ');
  static std::set<std::string> const hop_by_hop{
      "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
      "trailer",    "transfer-encoding", "upgrade",          "content-length"};
  std::erase_if(headers, [&](Header const& h) {
    std::string const n = lower(h.name);
    return hop_by_hop.contains(n) || n.starts_with("banktide-") || (is_request && (n == "host" || n == "expect")) ||
           connection_tokens.find("," + n + ",") != std::string::npos;
  });
}

// The reply to the forwarding node that the call was not run and will not be.
inline ForwardCallReply not_run(std::string step, std::string peer, std::string reason) {
  return ForwardCallReply{Outcome::not_run, {}, std::move(step), std::move(peer), std::move(reason)};
}

}  // namespace banktide
