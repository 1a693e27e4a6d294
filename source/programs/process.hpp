// Set-up shared by all programs: the thread pool of one thread, signal handling,
// and a main thread that only starts things and waits.
#pragma once

#include "programs/settings.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>

namespace banktide {

/** Keeps SIGHUP pending until `run_until_shutdown` handles it: its default action would end a process that starts. */
inline void block_hang_up() {
  sigset_t hang_up;
  sigemptyset(&hang_up);
  sigaddset(&hang_up, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &hang_up, nullptr);
}

#ifndef __SANITIZE_ADDRESS__  // the sanitizer's runtime can't be called before it is initialised
// Runs before any library's constructors, so that SIGHUP is unblocked only while the loader runs.
__attribute__((section(".preinit_array"), used)) static void (*const block_hang_up_first)() = block_hang_up;
#endif

class Process {
 public:
  Process() {
    std::signal(SIGPIPE, SIG_IGN);
    start_pool();
  }

  // Runs a set-up step on the pool's thread and waits for its result.
  template <class F>
  auto run_on_thread(F f) {
    std::promise<decltype(f())> p;
    asio::post(crossplat::threadpool::shared_instance().service(), [&]() { p.set_value(f()); });
    return p.get_future().get();
  }

  // On SIGHUP: reloads the settings, applies those that `apply` handles, and logs
  // the names of those that need a restart. If any setting is invalid, nothing changes.
  template <class Define, class Apply>
  static void reload(Settings& in_force, Define define, int const argc, char** const argv, Apply apply) {
    Settings fresh(in_force.program());
    define(fresh);
    std::vector<std::string> const errors = fresh.load(argc, argv);
    for (std::string const& e : errors) log_warn("reload_refused", {{"step", "check_settings"}, {"reason", e}});
    if (!errors.empty()) return;
    std::string applied, needs_restart;
    for (std::string const& name : fresh.changed_from(in_force)) {
      bool const now = name == "log-level" || apply(name, fresh);
      if (name == "log-level") logger().setLogLevel(log4cplus::getLogLevelManager().fromString(fresh.text(name)));
      (now ? applied : needs_restart) += (now ? applied : needs_restart).empty() ? name : "," + name;
    }
    log_info("reload", {{"taken", applied}, {"needs_restart", needs_restart}});
  }

  // Waits for SIGTERM or SIGINT, runs `leave` on the pool's thread, and then polls
  // `idle` until it returns true or `timeout` is over.
  template <class Leave, class Idle, class Reload>
  void run_until_shutdown(Leave leave, Idle idle, Reload reload, Duration const timeout) {
    asio::io_context& io = crossplat::threadpool::shared_instance().service();
    std::promise<void> done;
    asio::signal_set signals(io);
    run_on_thread([&]() {
      for (int const s : {SIGTERM, SIGINT, SIGHUP}) signals.add(s);
      unblock_hang_up();
      asio::co_spawn(
          io,
          [&]() -> Task<void> {
            while (true) {
              int const signal_number = co_await signals.async_wait(asio::use_awaitable);
              if (signal_number != SIGHUP) break;
              reload();
            }
            log_info("leaving", {});
            leave();
            asio::steady_timer timer(io);
            Instant const end = std::chrono::steady_clock::now() + timeout;
            while (std::chrono::steady_clock::now() < end && !idle()) {
              timer.expires_after(20ms);
              co_await timer.async_wait(asio::use_awaitable);
            }
            log_info("gone", {{"idle", idle() ? "yes" : "no"}});
            done.set_value();
          },
          asio::detached);
      return true;
    });
    done.get_future().get();
  }

 private:
  static void unblock_hang_up() {
    sigset_t hang_up;
    sigemptyset(&hang_up);
    sigaddset(&hang_up, SIGHUP);
    pthread_sigmask(SIG_UNBLOCK, &hang_up, nullptr);
  }
};

}  // namespace banktide
