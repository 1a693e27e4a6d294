// Reading and writing of frames in chunks.
#include "transport/peer_socket.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace banktide {

namespace {

constexpr int user_timeout_ms = 1500;
constexpr int kernel_unsent_limit = 32 << 10;
constexpr std::size_t read_chunk = 64u << 10;
constexpr std::size_t write_chunk = 32u << 10;
constexpr std::size_t max_copied_payload = 8u << 10;

// The bytes of a batch of frames, in order. Small payloads are copied next to their
// headers, large ones are written in place.
class FrameBytes {
 public:
  explicit FrameBytes(std::vector<OutgoingFrame> const& frames) {
    std::size_t copied_bytes = 0;
    for (OutgoingFrame const& f : frames) copied_bytes += FrameHead::size + (is_copied(f) ? f.head.length : 0);
    copied_.reserve(copied_bytes);  // so that parts stay valid
    for (OutgoingFrame const& f : frames) add(f);
  }

  bool all_consumed() const { return next_ == parts_.size(); }

  std::vector<asio::const_buffer> chunk() const {
    std::vector<asio::const_buffer> out;
    std::size_t left = write_chunk;
    for (std::size_t i = next_; i < parts_.size() && left > 0; ++i) {
      out.push_back(asio::buffer(parts_[i], left));
      left -= out.back().size();
    }
    return out;
  }

  void consume(std::size_t bytes) {
    while (next_ < parts_.size() && bytes >= parts_[next_].size()) bytes -= parts_[next_++].size();
    if (next_ < parts_.size()) parts_[next_] += bytes;
  }

 private:
  static bool is_copied(OutgoingFrame const& f) { return f.head.length <= max_copied_payload; }

  void add(OutgoingFrame const& f) {
    std::size_t const at = copied_.size();
    copied_.resize(at + FrameHead::size);
    f.head.write(copied_.data() + at);
    if (f.payload && is_copied(f)) copied_ += *f.payload;
    add_part(asio::buffer(copied_.data() + at, copied_.size() - at));
    if (f.payload && !is_copied(f)) add_part(asio::buffer(*f.payload));
  }

  void add_part(asio::const_buffer const part) {
    bool const follows =
        !parts_.empty() && static_cast<char const*>(parts_.back().data()) + parts_.back().size() == part.data();
    if (follows)
      parts_.back() = asio::const_buffer(parts_.back().data(), parts_.back().size() + part.size());
    else
      parts_.push_back(part);
  }

  Bytes copied_;
  std::vector<asio::const_buffer> parts_;
  std::size_t next_ = 0;
};

void close_unless_cancelled(asio::steady_timer& timer, std::shared_ptr<PeerSocket> const& socket) {
  timer.async_wait([socket](boost::system::error_code const& cancelled) {
    boost::system::error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
}

Task<boost::system::error_code> skip(PeerSocket& socket, std::size_t left, std::function<void()> const& on_progress) {
  Bytes chunk(std::min(left, read_chunk), '\0');
  boost::system::error_code ec;
  while (left > 0 && !ec) {
    std::size_t const count = std::min(left, chunk.size());
    co_await asio::async_read(socket, asio::buffer(chunk, count), asio::redirect_error(asio::use_awaitable, ec));
    left -= count;
    if (!ec && on_progress) on_progress();
  }
  co_return ec;
}

}  // namespace

void prepare(PeerSocket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  // If the option isn't supported, only more bytes are buffered in the kernel.
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kernel_unsent_limit,
               sizeof kernel_unsent_limit);
}

void reset(PeerSocket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

Task<Result<ReceivedFrame>> read_frame(PeerSocket& socket, std::function<void()> const& on_progress,
                                       FrameFilter const& filter) {
  char raw[FrameHead::size];
  boost::system::error_code ec;
  co_await asio::async_read(socket, asio::buffer(raw), asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return make_error("read_frame", "", ec == asio::error::eof ? "" : ec.message());
  Result<FrameHead> const head = FrameHead::read(raw);
  if (!head) co_return tl::unexpected<Error>(head.error());
  if (on_progress) on_progress();
  ReceivedFrame frame{*head, {}};
  if (filter && !filter(*head)) {
    frame.skipped = true;
    ec = co_await skip(socket, head->length, on_progress);
    if (ec) co_return make_error("read_frame", "", ec.message());
    co_return frame;
  }
  frame.payload.reserve(head->length);  // memory pages are only used as bytes arrive
  while (frame.payload.size() < head->length) {
    std::size_t const at = frame.payload.size();
    frame.payload.resize(std::min<std::size_t>(head->length, at + read_chunk));
    co_await asio::async_read(socket, asio::buffer(&frame.payload[at], frame.payload.size() - at),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return make_error("read_frame", "", ec.message());
    if (on_progress) on_progress();
  }
  co_return frame;
}

Task<boost::system::error_code> write_frames(std::shared_ptr<PeerSocket> const socket,
                                             std::vector<OutgoingFrame> const& frames, Duration const stall_limit,
                                             std::function<void()> const& on_progress) {
  FrameBytes bytes(frames);
  asio::steady_timer stalled(socket->get_executor());
  boost::system::error_code ec;
  while (!ec && !bytes.all_consumed()) {
    stalled.expires_after(stall_limit);
    close_unless_cancelled(stalled, socket);
    std::vector<asio::const_buffer> const chunk = bytes.chunk();
    std::size_t const count = co_await socket->async_write_some(chunk, asio::redirect_error(asio::use_awaitable, ec));
    bytes.consume(count);
    if (!ec && on_progress) on_progress();
  }
  co_return ec;
}

}  // namespace banktide
