#include <algorithm>
#include <functional>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock.h"
#include "http1/client_connection.h"
#include "http1/http_service.h"
#include "http1/pooled_http_client.h"
#include "http1/tcp_listener.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kPort = 18431;

SocketAddress Address(uint16_t offset) {
  return SocketAddress{.ip = "127.0.0.1",
                       .port = static_cast<uint16_t>(kPort + offset)};
}

// Runs the loop until `is_over` returns true, for at most 5 s.
bool RunUntil(EventLoop& loop, const std::function<bool()>& is_over) {
  if (is_over()) {
    return true;
  }
  const TimerId limit = loop.Schedule(seconds(5), [&loop] { loop.Stop(); });
  bool was_over = false;
  std::function<void()> check = [&] {
    was_over = is_over();
    if (was_over) {
      loop.Stop();
    } else {
      loop.Schedule(milliseconds(1), check);
    }
  };
  check();
  loop.Run();
  loop.Cancel(limit);
  return was_over;
}

// A client that sends raw bytes and records all received bytes.
struct RawClient {
  RawClient(EventLoop& loop, const SocketAddress& address)
      : connection(TcpConnection::Connect(loop, address)) {
    connection->SetHandlers(
        TcpConnection::Handlers{.connected = nullptr,
                                .received =
                                    [this] {
                                      received += connection->input();
                                      connection->input().clear();
                                    },
                                .ended =
                                    [this](ConnectionEnd end) {
                                      has_ended = true;
                                      was_reset = end == ConnectionEnd::kReset;
                                    }});
  }
  ~RawClient() { connection->Close(); }

  TcpConnectionPtr connection;
  std::string received;
  bool has_ended = false;
  bool was_reset = false;
};

std::unique_ptr<HttpService> Serve(EventLoop& loop,
                                   const Clock& clock,
                                   const SocketAddress& address,
                                   ServerLimits limits,
                                   ServerConnection::RequestHandler handler) {
  return boost::leaf::try_handle_all(
      [&] {
        return HttpService::Create(loop, clock, address, limits,
                                   std::move(handler));
      },
      [] { return std::unique_ptr<HttpService>(); });
}

void Echo(const ServerExchangePtr& exchange) {
  exchange->Respond(200, {}, exchange->head().target + exchange->body());
}

// A client that does not notice the close of its connection sends a request,
// and finds that nobody has read it.
void CheckCrossing(const SocketAddress& address,
                   const ServerLimits& limits,
                   const std::function<void(HttpService&)>& close_connections) {
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(loop, clock, address, limits, Echo);
  std::optional<ConnectionClose> close;
  service->SetCloseHandler(
      [&](const ConnectionClose& ended) { close = ended; });
  RawClient client(loop, address);
  client.connection->SetReading(false);
  cr_assert(RunUntil(loop, [&] { return service->connections() == 1; }));
  close_connections(*service);
  cr_assert(RunUntil(loop, [&] { return client.connection->HasPeerClosed(); }));
  client.connection->Send("POST /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto send_more = [&] {
    client.connection->Send("x");
    return client.has_ended;
  };
  cr_assert(RunUntil(loop, send_more));
  cr_expect(client.was_reset);
  cr_assert(RunUntil(loop, [&] { return close.has_value(); }));
  cr_expect_eq(close->dropped_bytes, 0, "%zu bytes were read",
               close->dropped_bytes);
}

}  // namespace

Test(connection, pipelined_requests_are_answered_in_order) {
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(loop, clock, Address(0), ServerLimits{}, Echo);
  RawClient client(loop, Address(0));
  client.connection->Send(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
      "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
  const size_t one = client.received.find("/1");
  const size_t two = client.received.find("/2abc");
  const size_t three = client.received.find("/3");
  cr_assert(one < two && two < three && three != std::string::npos);
}

Test(connection, a_slow_header_is_refused_and_an_idle_connection_closed) {
  EventLoop loop;
  const SystemClock clock;
  const ServerLimits limits{.header_timeout = milliseconds(300),
                            .idle_timeout = milliseconds(300)};
  const auto service = Serve(loop, clock, Address(1), limits, Echo);
  RawClient slow(loop, Address(1));
  slow.connection->Send("GET /1 HT");
  RawClient idle(loop, Address(1));
  cr_assert(RunUntil(loop, [&] { return slow.has_ended && idle.has_ended; }));
  cr_assert(slow.received.starts_with("HTTP/1.1 408 "));
  cr_assert(idle.received.empty());
}

Test(connection, an_aborted_response_is_seen_as_incomplete) {
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(loop, clock, Address(2), ServerLimits{},
                             [](const ServerExchangePtr& exchange) {
                               exchange->Begin(200, "OK", {});
                               exchange->SendChunk("data: 1\n\n");
                               exchange->Abort();
                             });
  RawClient client(loop, Address(2));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
  cr_assert(client.received.find("data: 1") != std::string::npos);
  ResponseParser parser{ParseLimits{}};
  parser.Feed(client.received);
  cr_assert(parser.FeedEnd() == ParseStatus::kFailed);
}

Test(connection, the_handler_is_notified_when_the_client_disconnects) {
  EventLoop loop;
  const SystemClock clock;
  ServerExchangePtr open;
  bool is_disconnected = false;
  const auto service =
      Serve(loop, clock, Address(3), ServerLimits{},
            [&](const ServerExchangePtr& exchange) {
              open = exchange;
              exchange->SetDisconnectHandler(
                  [&is_disconnected] { is_disconnected = true; });
            });
  RawClient client(loop, Address(3));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return open != nullptr; }));
  client.connection->Close();
  cr_assert(RunUntil(loop, [&] { return is_disconnected; }));
  // Responding after the disconnect has no effect.
  open->Respond(200, {}, "late");
}

Test(connection, a_client_that_leaves_behind_further_requests_is_noticed) {
  EventLoop loop;
  const SystemClock clock;
  ServerExchangePtr open;
  bool is_disconnected = false;
  const auto service =
      Serve(loop, clock, Address(40), ServerLimits{},
            [&](const ServerExchangePtr& exchange) {
              open = exchange;
              exchange->SetDisconnectHandler(
                  [&is_disconnected] { is_disconnected = true; });
            });
  RawClient client(loop, Address(40));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return open != nullptr; }));
  constexpr size_t kMoreThanIsRead = size_t{64} * 1024;
  client.connection->Send(std::string(kMoreThanIsRead, 'x'));
  cr_assert(
      RunUntil(loop, [&] { return client.connection->unsent_bytes() == 0; }));
  client.connection->Close();
  cr_assert(RunUntil(loop, [&] { return is_disconnected; }));
}

Test(connection, a_stopping_service_finishes_open_requests_and_closes) {
  EventLoop loop;
  const SystemClock clock;
  ServerExchangePtr open;
  const auto service =
      Serve(loop, clock, Address(4), ServerLimits{},
            [&](const ServerExchangePtr& exchange) { open = exchange; });
  RawClient busy(loop, Address(4));
  RawClient idle(loop, Address(4));
  busy.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return open != nullptr; }));
  service->CloseAfterResponses();
  service->CloseIdleConnections();
  cr_assert(RunUntil(loop, [&] { return idle.has_ended; }));
  open->Respond(200, {}, "answer");
  cr_assert(RunUntil(loop, [&] { return busy.has_ended; }));
  cr_assert(busy.received.find("Connection: close") != std::string::npos);
  cr_assert(busy.received.ends_with("answer"));
  RawClient late(loop, Address(4));
  cr_assert(RunUntil(loop, [&] { return late.has_ended; }));
}

Test(connection, a_connection_is_not_reused_after_a_timeout) {
  EventLoop loop;
  const SystemClock clock;
  int requests = 0;
  const auto service = Serve(loop, clock, Address(5), ServerLimits{},
                             [&](const ServerExchangePtr& exchange) {
                               if (++requests > 1) {
                                 exchange->Respond(200, {}, "second");
                               }
                             });
  PooledHttpClient http_client(loop, Address(5));
  HttpClientResponse first;
  HttpClientResponse second;
  bool has_first = false;
  bool has_second = false;
  http_client.Call(
      HttpClientRequest{
          .method = "GET", .target = "/", .timeout = milliseconds(100)},
      [&](const HttpClientResponse& response) {
        first = response;
        has_first = true;
      });
  cr_assert(RunUntil(loop, [&] { return has_first; }));
  cr_assert(!first.is_complete());
  http_client.Call(HttpClientRequest{.method = "GET", .target = "/"},
                   [&](const HttpClientResponse& response) {
                     second = response;
                     has_second = true;
                   });
  cr_assert(RunUntil(loop, [&] { return has_second; }));
  cr_assert(second.status == 200 && second.body == "second");
}

Test(connection, a_call_to_a_closed_port_gives_not_connected) {
  EventLoop loop;
  PooledHttpClient http_client(loop, Address(6));
  bool is_over = false;
  HttpClientResponse result;
  http_client.Call(HttpClientRequest{.method = "GET", .target = "/"},
                   [&](const HttpClientResponse& response) {
                     result = response;
                     is_over = true;
                   });
  cr_assert(RunUntil(loop, [&] { return is_over; }));
  cr_assert(result.end == ResponseEnd::kNotConnected);
}

namespace {

// Larger than the send buffer of a socket.
constexpr size_t kLongBodyBytes = size_t{24} * 1024 * 1024;

void RespondLong(const ServerExchangePtr& exchange) {
  exchange->Respond(200, {}, std::string(kLongBodyBytes, 'x'));
}

}  // namespace

Test(connection, a_long_last_response_is_delivered_before_the_close) {
  EventLoop loop;
  const SystemClock clock;
  const auto service =
      Serve(loop, clock, Address(8), ServerLimits{}, RespondLong);
  RawClient client(loop, Address(8));
  client.connection->Send(
      "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
      "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
  cr_assert(client.received.size() > kLongBodyBytes);
  cr_assert(client.received.size() < kLongBodyBytes + 1000);
  cr_assert(RunUntil(loop, [&] { return service->connections() == 0; }));
}

Test(connection, a_stopping_service_delivers_long_responses_to_slow_readers) {
  EventLoop loop;
  const SystemClock clock;
  const auto service =
      Serve(loop, clock, Address(9), ServerLimits{}, RespondLong);
  RawClient client(loop, Address(9));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return !client.received.empty(); }));
  client.connection->SetReading(false);
  service->CloseAfterResponses();
  service->CloseIdleConnections();
  loop.Schedule(milliseconds(300), [&] {
    cr_assert(service->IsDelivering());
    client.connection->SetReading(true);
  });
  cr_assert(RunUntil(loop, [&] {
    return client.received.size() > kLongBodyBytes && !service->IsDelivering();
  }));
}

Test(connection, a_service_that_is_destroyed_while_closing_leaves_nothing) {
  EventLoop loop;
  const SystemClock clock;
  auto service = Serve(loop, clock, Address(10), ServerLimits{}, RespondLong);
  RawClient client(loop, Address(10));
  client.connection->Send(
      "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return !client.received.empty(); }));
  service.reset();
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
}

// Guards against chunked and broken bodies that HTTP/1.0 clients cannot tell.
Test(connection, a_client_without_chunks_gets_none_and_sees_an_abort) {
  for (const bool is_aborted : {false, true}) {
    EventLoop loop;
    const SystemClock clock;
    const auto service = Serve(loop, clock, Address(13), ServerLimits{},
                               [&](const ServerExchangePtr& exchange) {
                                 exchange->Begin(200, "OK", {});
                                 exchange->SendChunk("data: 1\n\n");
                                 loop.Schedule(milliseconds(30), [=] {
                                   if (is_aborted) {
                                     exchange->Abort();
                                   } else {
                                     exchange->Finish();
                                   }
                                 });
                               });
    RawClient client(loop, Address(13));
    client.connection->Send(
        "GET /1 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
    cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
    cr_assert(client.received.find("chunked") == std::string::npos);
    cr_assert(client.received.ends_with("\r\n\r\ndata: 1\n\n"));
    cr_assert(client.was_reset == is_aborted);
  }
}

// Guards against a body that is sent to a node that will not read it.
Test(connection, an_unfinished_request_is_refused_at_the_stop) {
  EventLoop loop;
  const SystemClock clock;
  int requests = 0;
  const auto service = Serve(loop, clock, Address(12), ServerLimits{},
                             [&](const ServerExchangePtr&) { ++requests; });
  RawClient client(loop, Address(12));
  client.connection->Send(
      "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc");
  RawClient idle(loop, Address(12));
  bool has_waited = false;
  loop.Schedule(milliseconds(50), [&] { has_waited = true; });
  cr_assert(RunUntil(loop, [&] { return has_waited; }));
  service->CloseIdleConnections();
  service->RefuseUnfinishedRequests({{"Retry-After", "0.050"}});
  cr_assert(service->IsDelivering());
  client.connection->Send("defghi");
  cr_assert(RunUntil(loop, [&] {
    return client.has_ended && idle.has_ended && !service->IsDelivering();
  }));
  cr_assert(client.received.starts_with("HTTP/1.1 503 "));
  cr_assert(client.received.find("Retry-After: 0.050") != std::string::npos);
  cr_assert(idle.received.empty() && requests == 0);
}

Test(connection, a_long_response_is_cut_though_it_makes_progress) {
  EventLoop loop;
  SystemClock clock;
  constexpr int kParts = 10;
  std::function<void(const ServerExchangePtr&, int)> send =
      [&](const ServerExchangePtr& exchange, int part) {
        if (part == kParts) {
          exchange->Finish();
          return;
        }
        exchange->SendChunk("part");
        loop.Schedule(milliseconds(50),
                      [&send, exchange, part] { send(exchange, part + 1); });
      };
  const auto service = Serve(loop, clock, Address(14), ServerLimits{},
                             [&](const ServerExchangePtr& exchange) {
                               exchange->Begin(200, "OK", {});
                               send(exchange, 0);
                             });
  PooledHttpClient client(loop, Address(14));
  std::optional<HttpClientResponse> whole;
  client.Call(HttpClientRequest{.method = "GET",
                                .target = "/",
                                .timeout = milliseconds(200),
                                .progress_timeout = milliseconds(200)},
              [&](const HttpClientResponse& response) { whole = response; });
  cr_assert(RunUntil(loop, [&] { return whole.has_value(); }));
  cr_assert(whole->is_complete());
  cr_assert_eq(whole->received_bytes, 4 * kParts);
}

Test(connection, a_response_that_stops_midway_is_awaited_for_ever) {
  EventLoop loop;
  SystemClock clock;
  ServerExchangePtr stalled;
  const auto service = Serve(loop, clock, Address(15), ServerLimits{},
                             [&](const ServerExchangePtr& exchange) {
                               exchange->Begin(200, "OK", {});
                               exchange->SendChunk("part");
                               stalled = exchange;
                             });
  PooledHttpClient client(loop, Address(15));
  std::optional<HttpClientResponse> ended;
  const TimePoint begin = clock.Now();
  client.Call(HttpClientRequest{.method = "GET",
                                .target = "/",
                                .timeout = milliseconds(100),
                                .progress_timeout = milliseconds(300)},
              [&](const HttpClientResponse& response) { ended = response; });
  cr_assert(RunUntil(loop, [&] { return ended.has_value(); }));
  cr_assert(!ended->is_complete());
  cr_assert_eq(ended->status, 0);
  cr_assert_eq(ended->received_bytes, 4);
  cr_assert(clock.Now() - begin >= milliseconds(300));
}

Test(connection, an_idle_connection_keeps_the_memory_of_a_long_message) {
  EventLoop loop;
  SystemClock clock;
  const std::string body(4 * 1024 * 1024, 'x');
  const auto service = Serve(loop, clock, Address(7), ServerLimits{},
                             [&body](const ServerExchangePtr& exchange) {
                               exchange->Respond(200, {}, body);
                             });
  RawClient client(loop, Address(7));
  client.connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(
      RunUntil(loop, [&] { return client.received.size() > body.size(); }));
  cr_assert_leq(client.connection->input().capacity(), 64 * 1024);
}

Test(connection, a_response_that_is_reset_during_an_upload_looks_complete) {
  constexpr size_t kUploadBytes = size_t{8} * 1024 * 1024;
  EventLoop loop;
  TcpConnectionPtr peer;
  const auto listener = boost::leaf::try_handle_all(
      [&] {
        return TcpListener::Create(loop, Address(19),
                                   [&](TcpConnectionPtr connection) {
                                     peer = std::move(connection);
                                     peer->SetReading(false);
                                     peer->Send("HTTP/1.1 200 OK\r\n\r\npart");
                                   });
      },
      [] { return std::unique_ptr<TcpListener>(); });
  const ClientConnectionPtr client(new ClientConnection(
      TcpConnection::Connect(loop, Address(19)), ParseLimits{}));
  std::string body;
  std::optional<ResponseEnd> end;
  client->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                   std::to_string(kUploadBytes) + "\r\n\r\n" +
                   std::string(kUploadBytes, 'u'),
               ClientConnection::ResponseHandlers{
                   .head = [](const ResponseHead&) { return true; },
                   .body = [&](std::string_view bytes) { body += bytes; },
                   .end = [&](ResponseEnd how) { end = how; }},
               true);
  cr_assert(RunUntil(loop, [&] { return body == "part"; }));
  peer->Reset();
  cr_assert(RunUntil(loop, [&] { return end.has_value(); }));
  cr_assert(*end == ResponseEnd::kBrokenResponse);
}

// The peer sends a response without a length and closes in an orderly way,
// while the request is still being written.
static ResponseEnd AnswerEarly(uint16_t offset, const std::string& status) {
  constexpr size_t kUploadBytes = size_t{16} * 1024 * 1024;
  EventLoop loop;
  TcpConnectionPtr peer;
  const auto listener = boost::leaf::try_handle_all(
      [&] {
        return TcpListener::Create(
            loop, Address(offset), [&](TcpConnectionPtr connection) {
              peer = std::move(connection);
              peer->SetReading(false);
              peer->Send("HTTP/1.1 " + status + "\r\n\r\npart");
              peer->CloseWhenSent(seconds(5));
            });
      },
      [] { return std::unique_ptr<TcpListener>(); });
  const ClientConnectionPtr client(new ClientConnection(
      TcpConnection::Connect(loop, Address(offset)), ParseLimits{}));
  std::optional<ResponseEnd> end;
  client->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                   std::to_string(kUploadBytes) + "\r\n\r\n" +
                   std::string(kUploadBytes, 'u'),
               ClientConnection::ResponseHandlers{
                   .head = [](const ResponseHead&) { return true; },
                   .body = [](std::string_view) {},
                   .end = [&](ResponseEnd how) { end = how; }});
  cr_assert(RunUntil(loop, [&] { return end.has_value(); }));
  peer->Close();
  return *end;
}

Test(connection, a_success_that_ends_within_its_request_looks_complete) {
  cr_assert(AnswerEarly(20, "200 OK") == ResponseEnd::kBrokenResponse);
  cr_assert(AnswerEarly(21, "413 Content Too Large") == ResponseEnd::kComplete);
}

Test(connection, a_request_that_crosses_an_idle_close_is_read_and_dropped) {
  CheckCrossing(Address(41), ServerLimits{.idle_timeout = seconds(2)},
                [](HttpService&) {});
}

Test(connection,
     a_request_that_crosses_the_close_of_a_stop_is_read_and_dropped) {
  CheckCrossing(Address(42), ServerLimits{},
                [](HttpService& service) { service.CloseIdleConnections(); });
}

Test(connection, requests_that_wait_in_sockets_are_lost_to_the_idle_timeout) {
  constexpr size_t kClients = 8;
  EventLoop loop;
  const SystemClock clock;
  const auto service =
      Serve(loop, clock, Address(43),
            ServerLimits{.idle_timeout = milliseconds(400)}, Echo);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(loop, Address(43)));
  }
  cr_assert(RunUntil(loop, [&] { return service->connections() == kClients; }));
  for (const auto& client : clients) {
    client->connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  // NOTE: The requests are sent at the end of this iteration, before the pause.
  loop.Post([&loop] {
    loop.Post([] { std::this_thread::sleep_for(milliseconds(800)); });
  });
  cr_assert(RunUntil(loop, [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
      return client->received.ends_with("/1") || client->has_ended;
    });
  }));
  for (const auto& client : clients) {
    cr_expect(client->received.starts_with("HTTP/1.1 200 "));
  }
}

Test(connection, an_idle_connection_is_closed_before_its_idle_timeout) {
  constexpr Duration kIdleTimeout = milliseconds(600);
  constexpr size_t kClients = 6;
  constexpr Duration kStep = milliseconds(50);
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(loop, clock, Address(44),
                             ServerLimits{.idle_timeout = kIdleTimeout}, Echo);
  std::vector<std::unique_ptr<RawClient>> clients;
  std::vector<TimePoint> sent_at(kClients);
  std::vector<Duration> idle(kClients);
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(loop, Address(44)));
    loop.Schedule(kStep * i, [&, i] {
      sent_at[i] = clock.Now();
      clients[i]->connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    });
  }
  cr_assert(RunUntil(loop, [&] {
    size_t ended = 0;
    for (size_t i = 0; i < kClients; ++i) {
      if (clients[i]->has_ended) {
        ++ended;
        if (idle[i] == Duration::zero()) {
          idle[i] = clock.Now() - sent_at[i];
        }
      }
    }
    return ended == kClients;
  }));
  for (const Duration& time : idle) {
    cr_expect(time >= kIdleTimeout);
  }
}

Test(connection,
     a_smaller_idle_timeout_cuts_connections_kept_under_the_larger) {
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(loop, clock, Address(45),
                             ServerLimits{.idle_timeout = seconds(2)}, Echo);
  RawClient client(loop, Address(45));
  cr_assert(RunUntil(loop, [&] { return service->connections() == 1; }));
  service->SetLimits(ServerLimits{.idle_timeout = milliseconds(100)});
  loop.Schedule(milliseconds(1500), [&] {
    client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  });
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
  cr_expect(client.received.starts_with("HTTP/1.1 200 "));
}

Test(connection, a_larger_body_limit_does_not_reach_open_connections) {
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(loop, clock, Address(46),
                             ServerLimits{.parse = {.body_bytes = 2}}, Echo);
  RawClient client(loop, Address(46));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.received.ends_with("/1"); }));
  service->SetLimits(ServerLimits{.parse = {.body_bytes = 3}});
  client.connection->Send(
      "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
  cr_assert(RunUntil(loop, [&] {
    return client.has_ended || client.received.ends_with("/2abc");
  }));
  cr_expect(!client.has_ended);
}

Test(connection, a_request_behind_a_stream_that_ends_in_a_stop_is_dropped) {
  EventLoop loop;
  const SystemClock clock;
  std::optional<ConnectionClose> close;
  ServerExchangePtr stream;
  const auto service = Serve(loop, clock, Address(47), ServerLimits{},
                             [&](const ServerExchangePtr& exchange) {
                               if (exchange->head().target == "/2") {
                                 exchange->Respond(200, {}, "second");
                                 return;
                               }
                               stream = exchange;
                               exchange->Begin(200, "OK", {});
                               exchange->SendChunk("part");
                             });
  service->SetCloseHandler(
      [&](const ConnectionClose& ended) { close = ended; });
  RawClient client(loop, Address(47));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(
      loop, [&] { return client.received.find("part") != std::string::npos; }));
  service->CloseAfterResponses();
  stream->Finish();
  client.connection->SetReading(false);
  cr_assert(
      RunUntil(loop, [&] { return client.connection->HasPendingInput(); }));
  client.connection->Send("POST /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(
      RunUntil(loop, [&] { return client.connection->unsent_bytes() == 0; }));
  client.connection->SetReading(true);
  cr_assert(
      RunUntil(loop, [&] { return client.has_ended && close.has_value(); }));
  cr_expect(client.received.find("Connection: close") != std::string::npos);
  cr_expect(client.received.ends_with("second"));
}

Test(connection, a_displaced_connection_loses_the_rest_of_its_response) {
  constexpr size_t kBytes = size_t{32} * 1024 * 1024;
  EventLoop loop;
  const SystemClock clock;
  const std::string body(kBytes, 'x');
  const auto service = Serve(loop, clock, Address(48), ServerLimits{},
                             [&](const ServerExchangePtr& exchange) {
                               exchange->Respond(200, {}, body);
                             });
  service->SetMaximumConnections(1);
  RawClient client(loop, Address(48));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.received.size() > 1000; }));
  client.connection->SetReading(false);
  std::optional<RawClient> other;
  bool has_waited = false;
  loop.Schedule(milliseconds(1200), [&] {
    other.emplace(loop, Address(48));
    loop.Schedule(milliseconds(100), [&] { has_waited = true; });
  });
  cr_assert(RunUntil(loop, [&] { return has_waited; }));
  client.connection->SetReading(true);
  cr_assert(RunUntil(loop, [&] {
    return client.has_ended || client.received.size() > kBytes;
  }));
  cr_expect(client.received.size() > kBytes, "%zu of %zu bytes",
            client.received.size(), kBytes);
}

Test(connection, a_connection_whose_response_is_on_its_way_is_idle) {
  constexpr size_t kBytes = size_t{32} * 1024 * 1024;
  EventLoop loop;
  const SystemClock clock;
  const std::string body(kBytes, 'x');
  const auto service = Serve(
      loop, clock, Address(49), ServerLimits{.idle_timeout = milliseconds(800)},
      [&](const ServerExchangePtr& exchange) {
        exchange->Respond(200, {},
                          exchange->head().target == "/2" ? "2" : body);
      });
  RawClient client(loop, Address(49));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.received.size() > 1000; }));
  client.connection->SetReading(false);
  bool has_waited = false;
  loop.Schedule(milliseconds(1300), [&] { has_waited = true; });
  cr_assert(RunUntil(loop, [&] { return has_waited; }));
  client.connection->SetReading(true);
  cr_assert(RunUntil(loop, [&] {
    return client.has_ended ||
           client.received.size() ==
               client.received.find("\r\n\r\n") + 4 + kBytes;
  }));
  client.connection->Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] {
    return client.has_ended || client.received.ends_with("2");
  }));
  cr_expect(client.received.ends_with("2"));
}

Test(connection, a_handler_that_throws_leaves_its_caller_without_an_answer) {
  EventLoop loop;
  const SystemClock clock;
  const auto service =
      Serve(loop, clock, Address(50), ServerLimits{},
            [](const ServerExchangePtr&) { throw std::bad_alloc(); });
  RawClient client(loop, Address(50));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
  cr_expect(client.received.starts_with("HTTP/1.1 500 "));
}

Test(connection, a_head_whose_rest_waits_in_the_socket_is_refused_as_late) {
  constexpr size_t kClients = 8;
  EventLoop loop;
  const SystemClock clock;
  const auto service =
      Serve(loop, clock, Address(51),
            ServerLimits{.header_timeout = milliseconds(700)}, Echo);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(loop, Address(51)));
    clients.back()->connection->Send("GET /1 HTTP/1.1\r\n");
  }
  loop.Schedule(milliseconds(400), [&] {
    for (const auto& client : clients) {
      client->connection->Send("Host: a\r\n\r\n");
    }
    loop.Post([&loop] {
      loop.Post([] { std::this_thread::sleep_for(milliseconds(700)); });
    });
  });
  cr_assert(RunUntil(loop, [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
      return client->received.ends_with("/1") || client->has_ended;
    });
  }));
  for (const auto& client : clients) {
    cr_expect(client->received.starts_with("HTTP/1.1 200 "));
  }
}

Test(connection, callers_are_not_told_how_long_a_connection_is_kept) {
  EventLoop loop;
  const SystemClock clock;
  const auto service = Serve(
      loop, clock, Address(52),
      ServerLimits{.idle_timeout = seconds(10), .announces_idle_timeout = true},
      Echo);
  RawClient client(loop, Address(52));
  client.connection->Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.received.ends_with("/1"); }));
  cr_expect(client.received.find("\r\nKeep-Alive: timeout=8\r\n") !=
            std::string::npos);
  client.received.clear();
  client.connection->Send(
      "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  cr_assert(RunUntil(loop, [&] { return client.has_ended; }));
  cr_expect(client.received.find("Keep-Alive") == std::string::npos);
}
