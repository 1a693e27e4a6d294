// Many calls to a backend that misbehaves in all known ways, chosen by seed. The
// backend counts the requests that it started; a result must be the complete answer to
// the same call, and a call that may not be repeated is started at most once.
#include "tests/transport/backend_stand_in.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace banktide {
namespace {

enum class Behaviour : unsigned {
  whole,
  unmatched_before,           // an answer to another call comes first
  duplicate_after,            // followed by the same answer again
  duplicate_later,            // the same answer again, before the next answer
  reset,                      // instead of an answer
  closed,                     // instead of an answer
  without_length,             // ends with the connection
  without_length_then_reset,  // without a length, then the connection is reset
  early,                      // before a long body has been read; the connection stays open
  truncated,                  // shorter than its length
  unmatched_only,             // only an answer with another id
  closing,                    // complete, then the connection is closed in order
  count
};

struct Record {
  std::map<std::string, unsigned> started;
  std::map<std::string, std::string> whole_answers;  // by id, for answers sent completely
};

class MisbehavingBackend {
 public:
  MisbehavingBackend(asio::io_context& io, std::uint64_t const seed)
      : random(seed), acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), io_(io) {
    asio::co_spawn(io_, accept_all(), asio::detached);
  }
  Address address() const { return address_of(acceptor_.local_endpoint()); }
  void stop() { acceptor_.close(); }

  Record record;
  std::mt19937_64 random;

 private:
  Task<void> accept_all() {
    ErrorCode error;
    while (true) {
      tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      asio::co_spawn(io_, serve(std::make_shared<Peer>(std::move(socket))), asio::detached);
    }
  }

  Task<void> serve(std::shared_ptr<Peer> const peer) {
    std::string delayed_answer;
    bool open = true;
    while (open) {
      std::string const head = co_await next_head(*peer);
      if (head.empty()) co_return;
      std::string const id = value_of(head, "X-Attempt");
      ++record.started[id];
      std::string const length = value_of(head, "Content-Length");
      std::size_t const body = length.empty() ? 0 : std::stoul(length);
      Behaviour const behaviour = static_cast<Behaviour>(random() % static_cast<unsigned>(Behaviour::count));
      if (behaviour != Behaviour::early) {
        bool const whole = co_await read_body(*peer, body);
        if (!whole) co_return;
      }
      std::string const text = "answer to " + id + std::string(random() % 5000, '.');
      open = co_await answer_as(*peer, behaviour, id, text, delayed_answer);
      if (open && behaviour == Behaviour::early) {
        bool const whole = co_await read_body(*peer, body);
        if (!whole) co_return;
      }
    }
  }

  // False if the connection has ended.
  Task<bool> answer_as(Peer& peer, Behaviour const behaviour, std::string const id, std::string const text,
                       std::string& delayed_answer) {
    std::string const matching = answer(id, text);
    std::string const before = std::exchange(delayed_answer, "");
    std::string const without_length_answer = "HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\n\r\n" + text;
    switch (behaviour) {
      case Behaviour::reset:
        peer.reset();
        co_return false;
      case Behaviour::closed:
        peer.socket.close();
        co_return false;
      case Behaviour::without_length:
        record.whole_answers[id] = text;
        co_await put(peer, before + without_length_answer);
        peer.socket.close();
        co_return false;
      case Behaviour::without_length_then_reset:
        co_await put(peer, before + without_length_answer);
        peer.reset();
        co_return false;
      case Behaviour::truncated:
        co_await put(peer, before + matching.substr(0, matching.size() - 1 - random() % text.size()));
        peer.socket.close();
        co_return false;
      case Behaviour::unmatched_only:
        co_await put(peer, answer("nobody", text));
        peer.socket.close();
        co_return false;
      case Behaviour::closing:
        record.whole_answers[id] = text;
        co_await put(peer, before + answer(id, text, "Connection: close\r\n"));
        peer.socket.close();
        co_return false;
      case Behaviour::unmatched_before:
        record.whole_answers[id] = text;
        co_return co_await put(peer, before + answer("nobody", "surplus") + matching);
      case Behaviour::duplicate_after:
        record.whole_answers[id] = text;
        co_return co_await put(peer, before + matching + matching);
      case Behaviour::duplicate_later:
        delayed_answer = matching;
        break;
      default:
        break;
    }
    record.whole_answers[id] = text;
    co_return co_await put(peer, before + matching);
  }

  Task<bool> put(Peer& peer, std::string const bytes) {
    ErrorCode error;
    co_await asio::async_write(peer.socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
  }
  Task<bool> more(Peer& peer) {
    char bytes[4096];
    ErrorCode error;
    std::size_t const count =
        co_await peer.socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    peer.unread.append(bytes, count);
    co_return !error;
  }
  Task<std::string> next_head(Peer& peer) {
    std::size_t end = peer.unread.find("\r\n\r\n");
    while (end == std::string::npos) {
      bool const received = co_await more(peer);
      if (!received) co_return "";
      end = peer.unread.find("\r\n\r\n");
    }
    std::string const head = peer.unread.substr(0, end + 4);
    peer.unread.erase(0, end + 4);
    co_return head;
  }
  Task<bool> read_body(Peer& peer, std::size_t const length) {
    while (peer.unread.size() < length) {
      bool const received = co_await more(peer);
      if (!received) co_return false;
    }
    peer.unread.erase(0, length);
    co_return true;
  }
  static std::string value_of(std::string const& head, std::string const& name) {
    std::size_t const at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    std::size_t const from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }

  tcp::acceptor acceptor_;
  asio::io_context& io_;
};

class MisbehavingBackendTrial {
 public:
  explicit MisbehavingBackendTrial(std::uint64_t const seed)
      : backend(io, seed), connections(std::make_unique<BackendConnections>(io, backend.address(), 3)) {}

  void run(unsigned const callers, unsigned const calls) {
    unsigned left = callers;
    for (unsigned caller = 0; caller < callers; ++caller) {
      asio::co_spawn(io, call_repeatedly(caller, calls), [this, &left](std::exception_ptr const e) {
        if (e) std::rethrow_exception(e);
        if (--left > 0) return;
        connections->close();
        backend.stop();
        io.stop();
      });
    }
    io.run_for(60s);
    EXPECT_EQ(left, 0u) << "calls hang";
  }

  unsigned answered = 0, proven_not_run = 0, unknown = 0;

 private:
  Task<void> call_repeatedly(unsigned const caller, unsigned const calls) {
    for (unsigned number = 0; number < calls; ++number) {
      std::string const id = std::to_string(caller) + "." + std::to_string(number);
      bool const repeatable = backend.random() % 2 == 0;
      BackendCall call = call_of(id, repeatable, repeatable ? "GET" : "POST");
      if (!repeatable) call.request.body = std::string(backend.random() % 3 == 0 ? 200000 : 10, 'b');
      Result<HttpReply> const result = co_await connections->call(std::move(call));
      check_result(id, repeatable, result);
    }
  }

  void check_result(std::string const& id, bool const repeatable, Result<HttpReply> const& result) {
    unsigned const started = backend.record.started[id];
    EXPECT_LE(started, repeatable ? 2u : 1u) << id;
    if (result) {
      ++answered;
      ASSERT_TRUE(backend.record.whole_answers.contains(id))
          << id << " has no complete answer, but got " << result->body;
      EXPECT_EQ(result->body, backend.record.whole_answers[id]);
    } else if (result.error().proof == Proof::not_run) {
      ++proven_not_run;
      EXPECT_EQ(started, 0u) << id << ": " << result.error().step << " " << result.error().reason;
    } else {
      ++unknown;
    }
  }

  asio::io_context io{1};

 public:
  MisbehavingBackend backend;
  std::unique_ptr<BackendConnections> connections;
};

class MisbehavingBackends : public testing::TestWithParam<std::uint64_t> {};

TEST_P(MisbehavingBackends, each_answer_belongs_to_its_call_and_no_unrepeatable_call_is_started_twice) {
  MisbehavingBackendTrial trial(GetParam());
  trial.run(3, 150);
  EXPECT_GT(trial.answered, 50u);
  EXPECT_GT(trial.unknown, 20u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, MisbehavingBackends, testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace banktide
