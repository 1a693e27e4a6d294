// Many calls to a backend that answers oddly in every way it may, drawn by seed. The
// backend counts the requests that it began; an answer counts only if it is the whole
// answer to that very call, and what may not be repeated is begun once at most.
#include "tests/transport/backend_stand_in.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace banktide {
namespace {

enum class Conduct : unsigned {
  whole,
  surplus_before,  // an answer to somebody else comes first
  surplus_after,   // the same answer once more
  surplus_later,   // the same once more, in front of the next answer
  reset,           // instead of an answer
  closed,          // instead of an answer
  without_length,  // ends with the connection
  cut_off,         // without a length, and the connection is reset
  early,           // before a long body is in; the connection is kept
  broken_off,      // less than its length tells
  somebody_elses,  // only an answer with another id
  closing,         // whole, and the connection ends in order
  count
};

struct Ledger {
  std::map<std::string, unsigned> begun;
  std::map<std::string, std::string> whole_answers;  // by id, where the answer came to its end
};

class OddBackend {
 public:
  OddBackend(asio::io_context& io, std::uint64_t const seed)
      : chance(seed), acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), io_(io) {
    asio::co_spawn(io_, accept_all(), asio::detached);
  }
  Address address() const { return address_of(acceptor_.local_endpoint()); }
  void stop() { acceptor_.close(); }

  Ledger ledger;
  std::mt19937_64 chance;

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
    std::string left_over;
    bool open = true;
    while (open) {
      std::string const head = co_await next_head(*peer);
      if (head.empty()) co_return;
      std::string const id = value_of(head, "X-Attempt");
      ++ledger.begun[id];
      std::string const length = value_of(head, "Content-Length");
      std::size_t const body = length.empty() ? 0 : std::stoul(length);
      Conduct const conduct = static_cast<Conduct>(chance() % static_cast<unsigned>(Conduct::count));
      if (conduct != Conduct::early) {
        bool const whole = co_await read_body(*peer, body);
        if (!whole) co_return;
      }
      std::string const text = "answer to " + id + std::string(chance() % 5000, '.');
      open = co_await answer_as(*peer, conduct, id, text, left_over);
      if (open && conduct == Conduct::early) {
        bool const whole = co_await read_body(*peer, body);
        if (!whole) co_return;
      }
    }
  }

  // False if the connection is over.
  Task<bool> answer_as(Peer& peer, Conduct const conduct, std::string const id, std::string const text,
                       std::string& left_over) {
    std::string const ours = answer(id, text);
    std::string const before = std::exchange(left_over, "");
    std::string const nameless = "HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\n\r\n" + text;
    switch (conduct) {
      case Conduct::reset:
        peer.reset();
        co_return false;
      case Conduct::closed:
        peer.socket.close();
        co_return false;
      case Conduct::without_length:
        ledger.whole_answers[id] = text;
        co_await put(peer, before + nameless);
        peer.socket.close();
        co_return false;
      case Conduct::cut_off:
        co_await put(peer, before + nameless);
        peer.reset();
        co_return false;
      case Conduct::broken_off:
        co_await put(peer, before + ours.substr(0, ours.size() - 1 - chance() % text.size()));
        peer.socket.close();
        co_return false;
      case Conduct::somebody_elses:
        co_await put(peer, answer("nobody", text));
        peer.socket.close();
        co_return false;
      case Conduct::closing:
        ledger.whole_answers[id] = text;
        co_await put(peer, before + answer(id, text, "Connection: close\r\n"));
        peer.socket.close();
        co_return false;
      case Conduct::surplus_before:
        ledger.whole_answers[id] = text;
        co_return co_await put(peer, before + answer("nobody", "surplus") + ours);
      case Conduct::surplus_after:
        ledger.whole_answers[id] = text;
        co_return co_await put(peer, before + ours + ours);
      case Conduct::surplus_later:
        left_over = ours;
        break;
      default:
        break;
    }
    ledger.whole_answers[id] = text;
    co_return co_await put(peer, before + ours);
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
      bool const came = co_await more(peer);
      if (!came) co_return "";
      end = peer.unread.find("\r\n\r\n");
    }
    std::string const head = peer.unread.substr(0, end + 4);
    peer.unread.erase(0, end + 4);
    co_return head;
  }
  Task<bool> read_body(Peer& peer, std::size_t const length) {
    while (peer.unread.size() < length) {
      bool const came = co_await more(peer);
      if (!came) co_return false;
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

class OddBackendTrial {
 public:
  explicit OddBackendTrial(std::uint64_t const seed)
      : backend(io, seed), connections(std::make_unique<BackendConnections>(io, backend.address(), 3)) {}

  void run(unsigned const callers, unsigned const calls) {
    unsigned left = callers;
    for (unsigned caller = 0; caller < callers; ++caller) {
      asio::co_spawn(io, call_again(caller, calls), [this, &left](std::exception_ptr const e) {
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

  unsigned answered = 0, proved = 0, unknown = 0;

 private:
  Task<void> call_again(unsigned const caller, unsigned const calls) {
    for (unsigned n = 0; n < calls; ++n) {
      std::string const id = std::to_string(caller) + "." + std::to_string(n);
      bool const repeatable = backend.chance() % 2 == 0;
      BackendCall call = call_of(id, repeatable, repeatable ? "GET" : "POST");
      if (!repeatable) call.request.body = std::string(backend.chance() % 3 == 0 ? 200000 : 10, 'b');
      Result<HttpReply> const result = co_await connections->call(std::move(call));
      judge(id, repeatable, result);
    }
  }

  void judge(std::string const& id, bool const repeatable, Result<HttpReply> const& result) {
    unsigned const begun = backend.ledger.begun[id];
    EXPECT_LE(begun, repeatable ? 2u : 1u) << id;
    if (result) {
      ++answered;
      ASSERT_TRUE(backend.ledger.whole_answers.contains(id)) << id << " has no whole answer, yet " << result->body;
      EXPECT_EQ(result->body, backend.ledger.whole_answers[id]);
    } else if (result.error().proof == Proof::not_run) {
      ++proved;
      EXPECT_EQ(begun, 0u) << id << ": " << result.error().step << " " << result.error().reason;
    } else {
      ++unknown;
    }
  }

  asio::io_context io{1};

 public:
  OddBackend backend;
  std::unique_ptr<BackendConnections> connections;
};

class OddBackends : public testing::TestWithParam<std::uint64_t> {};

TEST_P(OddBackends, each_answer_belongs_to_its_call_and_nothing_unrepeatable_is_begun_twice) {
  OddBackendTrial trial(GetParam());
  trial.run(3, 150);
  EXPECT_GT(trial.answered, 50u);
  EXPECT_GT(trial.unknown, 20u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, OddBackends, testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace banktide
