// HTTP message handling shared by the server and the backend connections: the parser
// (Beast's, filling the product's own types without unneeded copies), the rules for
// hop-by-hop headers, and the formatting of message heads. Nothing here uses a socket.
#pragma once

#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banktide {

inline constexpr std::size_t default_header_bytes = 16u << 10;
inline constexpr std::size_t default_body_bytes = 64u << 20;

/// Parses the address `ip:port`.
Result<asio::ip::tcp::endpoint> endpoint_of(Address const& address);

/// Formats an endpoint as `ip:port`.
Address address_of(asio::ip::tcp::endpoint const& endpoint);

/// The buffer that all connections of this thread read into; bytes not parsed before
/// the next read have to be copied out.
std::span<char> read_scratch();

/// Compares two header names or tokens, ignoring case.
bool same_name(std::string_view a, std::string_view b);

/// The value of the first header of that name, or nullptr.
std::string const* find_header(std::vector<Header> const& headers, std::string_view name);

/// Whether the headers of that name, as comma-separated lists, contain the token.
bool header_has_token(std::vector<Header> const& headers, std::string_view name, std::string_view token);

/// Whether a header can be written safely: its name is a token and its value has no
/// CR, LF or NUL.
bool is_safe(Header const& header);

/// Removes the hop-by-hop headers, including those named by `Connection`.
void remove_hop_by_hop(std::vector<Header>& headers);

/// How long a connection may be idle after an answer with these headers and still be
/// reused: a second less than its `Keep-Alive: timeout`.
Duration usable_idle_time(std::vector<Header> const& headers);

/// Appends `name: value CRLF`.
void append_header(std::string& head, std::string_view name, std::string_view value);

/// The status line and the headers without hop-by-hop and unsafe ones, and without the
/// terminating empty line.
std::string reply_head(std::uint16_t status, std::vector<Header> headers);

/// Beast's parser, filling the product's own types. Trailers are validated and discarded.
template <bool is_request>
class MessageParser final : public boost::beast::http::basic_parser<is_request> {
 public:
  MessageParser(std::size_t header_bytes, std::size_t body_bytes);

  /// Parses as much as possible and returns the number of bytes consumed; `need_more` is
  /// not an error. With `stop_at_header` it also returns once when the header is complete.
  std::size_t parse(std::string_view bytes, boost::system::error_code& error, bool stop_at_header);

  bool is_http_1_0() const { return version_ == 10; }

  std::string method;
  std::string target;
  std::uint16_t status = 0;
  std::vector<Header> headers;
  std::string body;

 private:
  using View = boost::beast::string_view;
  using ErrorCode = boost::system::error_code;
  using Field = boost::beast::http::field;
  using Verb = boost::beast::http::verb;

  void on_request_impl(Verb, View method_text, View target_text, int version, ErrorCode& error) override;
  void on_response_impl(int code, View reason, int version, ErrorCode& error) override;
  void on_field_impl(Field field, View name, View value, ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(boost::optional<std::uint64_t> const& length, ErrorCode& error) override;
  std::size_t on_body_impl(View bytes, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, View extensions, ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain, View bytes, ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;
  void count_header_bytes(std::size_t bytes, ErrorCode& error);

  std::size_t header_bytes_left_;
  int version_ = 11;
  bool header_complete_ = false;
};

extern template class MessageParser<true>;
extern template class MessageParser<false>;
using RequestParser = MessageParser<true>;
using ReplyParser = MessageParser<false>;

}  // namespace banktide
