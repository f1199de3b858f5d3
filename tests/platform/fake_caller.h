#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "base/system_clock.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "soak/invariant_checker.h"

namespace pistachiowalk::testing {

// A node as callers reach it.
struct CallerTarget {
  std::string node;
  SocketAddress address;
};

// What callers may ask for.
struct CallerRoute {
  std::string path;
  RouteKind kind = RouteKind::kIdempotent;
  bool is_resumable = false;
};

struct CallerKey {
  std::string key;
  std::string customer;
};

// A caller that sends one request after another over a connection that it keeps
// until the node closes it.
class FakeCaller {
 public:
  struct World {
    std::function<CallerTarget(std::mt19937_64& random)> choose_node;
    std::function<CallerRoute(std::mt19937_64& random)> choose_route;
    std::function<CallerKey(std::mt19937_64& random)> choose_key;
  };

  FakeCaller(EventLoop& loop,
             InvariantChecker& witness,
             World world,
             uint64_t seed);
  ~FakeCaller();
  FakeCaller(const FakeCaller&) = delete;
  FakeCaller& operator=(const FakeCaller&) = delete;

  void Start();
  // Sends nothing after the request that is open.
  void Stop() { m_is_stopped = true; }
  bool is_idle() const { return m_id.empty(); }

 private:
  void Pause(Duration pause);
  void SendNext();
  void Send();
  void OnEnd(ResponseEnd end);
  void GiveUp();

  EventLoop& m_loop;
  SystemClock m_clock;
  InvariantChecker& m_witness;
  World m_world;
  std::mt19937_64 m_random;
  CallerTarget m_target;
  ClientConnectionPtr m_connection;
  std::string m_id;
  SoakResponse m_answer;
  TimerId m_timer = 0;
  bool m_is_stopped = false;
};

}  // namespace pistachiowalk::testing
