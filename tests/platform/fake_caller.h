#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/system_clock.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "soak/invariant_checker.h"

namespace pistachiowalk::testing {

// A node and the address at which callers reach it.
struct CallerTarget {
  std::string node;
  SocketAddress address;
};

// A route that callers may request.
struct CallerRoute {
  std::string path;
  RouteKind kind = RouteKind::kIdempotent;
  bool is_resumable = false;
};

struct CallerKey {
  std::string key;
  std::string customer;
};

// A caller that sends one request at a time and keeps its connection until the
// node closes it.
class FakeCaller {
 public:
  struct RequestSource {
    std::function<CallerTarget(std::mt19937_64& random)> choose_node;
    std::function<CallerRoute(std::mt19937_64& random)> choose_route;
    std::function<CallerKey(std::mt19937_64& random)> choose_key;
    // The part of a stream's prompt that crashes endpoints, or "".
    std::function<std::string(std::mt19937_64& random)> choose_deadly_part;
    // The caller goes on with resumable streams that broke off.
    bool resumes_streams = false;
  };

  FakeCaller(EventLoop& loop,
             InvariantChecker& checker,
             RequestSource request_source,
             uint64_t seed);
  ~FakeCaller();
  FakeCaller(const FakeCaller&) = delete;
  FakeCaller& operator=(const FakeCaller&) = delete;

  void Start();
  // Sends no request after the one in flight.
  void Stop() { m_is_stopped = true; }
  bool is_idle() const { return m_id.empty(); }

 private:
  void ScheduleNext(Duration pause);
  void SendNext();
  void Send();
  // A new request of a random route and customer.
  SoakRequest DrawRequest();
  // The request that goes on with the stream that broke off last, if any.
  std::optional<SoakRequest> MakeResumption();
  HttpHeaders MakeHeaders(const SoakRequest& request) const;
  // Keeps the stream to go on with it.
  void NoteBroken();
  void OnEnd(ResponseEnd end);
  void OnTimeout();

  EventLoop& m_loop;
  SystemClock m_clock;
  InvariantChecker& m_checker;
  RequestSource m_request_source;
  std::mt19937_64 m_random;
  CallerTarget m_target;
  ClientConnectionPtr m_connection;
  std::string m_id;
  SoakRequest m_request;
  // The key and the prompt's tokens of `m_request`.
  std::string m_key;
  uint32_t m_prompt_tokens = 0;
  bool m_can_resume = false;
  // How often the caller has tried to go on with the stream.
  uint32_t m_resumptions = 0;
  SoakResponse m_response;
  TimerId m_timer = 0;
  bool m_is_stopped = false;
};

}  // namespace pistachiowalk::testing
