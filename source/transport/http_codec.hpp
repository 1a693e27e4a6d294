// What the HTTP server and the backend connections share: the message parser
// (Beast's, with a sink that fills our own types without copies of names it does
// not need), the rules on headers that concern one connection only, and the
// writing of a message's head. Nothing here touches a socket's state.
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

/// The address `ip:port` as an endpoint.
Result<asio::ip::tcp::endpoint> endpoint_of(Address const& address);

/// The address of an endpoint, as `endpoint_of` reads it.
Address address_of(asio::ip::tcp::endpoint const& endpoint);

/// The one buffer that every connection of this thread reads into; what is not
/// parsed before the next read has to be copied out of it.
std::span<char> read_scratch();

/// Whether two header names (or tokens) are the same, whatever their case.
bool same_name(std::string_view a, std::string_view b);

/// The value of the first header of that name, or nullptr.
std::string const* find_header(std::vector<Header> const& headers, std::string_view name);

/// Whether the headers of that name, read as comma-separated lists, hold the token.
bool header_has_token(std::vector<Header> const& headers, std::string_view name, std::string_view token);

/// Whether a header may be written: its name is a token and its value has no
/// CR, LF or NUL.
bool is_safe(Header const& header);

/// Removes the headers that concern one connection only, those that `Connection`
/// names among them.
void remove_hop_by_hop(std::vector<Header>& headers);

/// How long a connection may rest after an answer with these headers and still be
/// used again: a second less than its `Keep-Alive: timeout`.
Duration usable_idle_time(std::vector<Header> const& headers);

/// Appends `name: value CRLF`.
void append_header(std::string& head, std::string_view name, std::string_view value);

/// The status line and the headers, hop-by-hop and unsafe ones left out, without the
/// empty line that ends them.
std::string reply_head(std::uint16_t status, std::vector<Header> headers);

/// Beast's parser, filling our own types. Trailers are checked and dropped.
template <bool is_request>
class MessageParser final : public boost::beast::http::basic_parser<is_request> {
 public:
  MessageParser(std::size_t header_bytes, std::size_t body_bytes);

  /// Parses what it can and returns how many bytes it used; `need_more` is not
  /// an error here. With `stop_at_header` it returns once when the header is whole.
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
