// The result of an operation: a value, or an error with the step and the peer at
// which it arose and what is proven about the call. `not_run` proves that nothing
// reached a backend and nothing will; `unknown` is everything else. On the way up a
// proof may only be weakened, never strengthened.
#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace banktide {

namespace asio = boost::asio;

using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using namespace std::chrono_literals;

inline std::int64_t as_us(Duration const d) { return std::chrono::duration_cast<std::chrono::microseconds>(d).count(); }
inline std::int64_t as_ms(Duration const d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }

enum class Proof : std::uint8_t { not_run, unknown };

struct Error {
  std::string step;
  std::string peer;
  std::string reason;
  Proof proof = Proof::unknown;
};

template <class T>
using Result = tl::expected<T, Error>;

template <class T>
using Task = asio::awaitable<T>;

inline tl::unexpected<Error> make_error(std::string step, std::string peer, std::string reason,
                                        Proof const proof = Proof::unknown) {
  return tl::unexpected<Error>(Error{std::move(step), std::move(peer), std::move(reason), proof});
}

}  // namespace banktide
