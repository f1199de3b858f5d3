#include "http1/http_service.h"

#include <algorithm>
#include <vector>

#include "http1/give_way.h"
#include "http1/message_writer.h"

namespace pistachiowalk {
namespace {

// Interval between checks of the connections' timeouts, which are in the range
// of seconds.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);
// Callers reuse connections that were idle for longer than this, but a refused
// new connection costs more than an old one.
constexpr Duration kMinimumIdleTime = std::chrono::seconds(1);
// Time in which the sockets of clients that read take what was sent.
constexpr Duration kFlushTime = std::chrono::milliseconds(1);
// Told to callers whose bodies gave way.
constexpr Duration kNoRoomRetryAfter = std::chrono::seconds(1);

}  // namespace

boost::leaf::result<std::unique_ptr<HttpService>> HttpService::Create(
    EventLoop& loop,
    const Clock& clock,
    const SocketAddress& address,
    ServerLimits limits,
    ServerConnection::RequestHandler handler) {
  std::unique_ptr<HttpService> service(
      new HttpService(loop, clock, limits, std::move(handler)));
  BOOST_LEAF_ASSIGN(
      service->m_listener,
      TcpListener::Create(loop, address,
                          [self = service.get()](TcpConnectionPtr connection) {
                            self->OnConnection(std::move(connection));
                          }));
  service->CheckTimeouts();
  return service;
}

HttpService::HttpService(EventLoop& loop,
                         const Clock& clock,
                         ServerLimits limits,
                         ServerConnection::RequestHandler handler)
    : m_loop(loop),
      m_clock(clock),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_output_budget(std::make_shared<OutputBudget>()) {
  SetBudget(std::make_shared<BodyBudget>());
  m_output_budget->SetExcessHandler([this] {
    if (m_unread_timer == 0) {
      m_unread_timer = m_loop.Schedule(kFlushTime, [this] {
        m_unread_timer = 0;
        CloseUnread();
      });
    }
  });
}

HttpService::~HttpService() {
  m_loop.Cancel(m_timeout_check);
  m_loop.Cancel(m_room_timer);
  m_loop.Cancel(m_unread_timer);
  m_budget->SetRoomHandler(nullptr);
  m_output_budget->SetExcessHandler(nullptr);
  const std::set<ServerConnectionPtr> connections = std::move(m_connections);
  m_connections.clear();
  for (const ServerConnectionPtr& connection : connections) {
    connection->Close();
  }
}

void HttpService::SetLimits(const ServerLimits& limits) {
  m_limits = limits;
  for (const ServerConnectionPtr& connection : m_connections) {
    connection->SetLimits(limits);
  }
}

void HttpService::CloseAfterResponses() {
  m_closes_after_response = true;
  for (const ServerConnectionPtr& connection : m_connections) {
    connection->CloseAfterResponse();
  }
}

void HttpService::CloseIdleConnections() {
  m_listener->Close();
  const std::vector<ServerConnectionPtr> connections(m_connections.begin(),
                                                     m_connections.end());
  for (const ServerConnectionPtr& connection : connections) {
    connection->CloseWhenIdle();
  }
}

bool HttpService::IsDelivering() const {
  return std::any_of(m_connections.begin(), m_connections.end(),
                     [](const ServerConnectionPtr& connection) {
                       return connection->is_delivering();
                     });
}

void HttpService::RefuseUnfinishedRequests(const HttpHeaders& headers) {
  const std::vector<ServerConnectionPtr> connections(m_connections.begin(),
                                                     m_connections.end());
  for (const ServerConnectionPtr& connection : connections) {
    connection->RefuseUnfinishedRequest(headers);
  }
}

void HttpService::OnConnection(TcpConnectionPtr connection) {
  if (m_connections.size() >= m_maximum_connections) {
    ++m_counts.connections;
    if (!CloseIdlest()) {
      connection->Close();
      return;
    }
  }
  const ServerConnectionPtr server(new ServerConnection(
      m_clock, std::move(connection), m_limits, m_budget, m_output_budget,
      m_handler, [this](ServerConnection& ended) {
        m_counts.late_bodies += ended.body_timeouts();
        m_counts.short_requests += ended.overfull_refusals();
        m_counts.late_readers += ended.has_output_timed_out() ? 1 : 0;
        if (m_on_close) {
          m_on_close(ended.DescribeClose());
        }
        m_connections.erase(ServerConnectionPtr(&ended));
      }));
  m_connections.insert(server);
  if (m_closes_after_response) {
    server->CloseAfterResponse();
  }
  server->Start();
}

bool HttpService::CloseIdlest() {
  const TimePoint now = m_clock.Now();
  const auto order = [](const ServerConnectionPtr& connection) {
    return std::pair(!connection->is_unused(), connection->idle_since());
  };
  ServerConnectionPtr chosen;
  for (const ServerConnectionPtr& connection : m_connections) {
    if (connection->is_idle() && !connection->is_closing() &&
        now - connection->idle_since() >= kMinimumIdleTime &&
        (!chosen || order(connection) < order(chosen)) &&
        (connection->is_output_full() ||
         (!connection->is_delivering() && !connection->HasPendingInput()))) {
      chosen = connection;
    }
  }
  if (chosen) {
    chosen->Displace();
  }
  return chosen != nullptr;
}

void HttpService::SetBudget(std::shared_ptr<BodyBudget> budget) {
  m_budget = std::move(budget);
  m_budget->SetRoomHandler([this] { ShareRoomSoon(); });
}

void HttpService::ShareRoomSoon() {
  if (m_room_timer == 0) {
    m_room_timer = m_loop.Schedule(Duration::zero(), [this] {
      m_room_timer = 0;
      ShareRoom();
    });
  }
}

void HttpService::ShareRoom() {
  std::vector<ServerConnectionPtr> waiting;
  bool is_reserve_used[2] = {false, false};
  for (const ServerConnectionPtr& connection : m_connections) {
    if (connection->waiting_since()) {
      waiting.push_back(connection);
    }
    if (const auto is_long = connection->reserve_is_long()) {
      is_reserve_used[*is_long ? 1 : 0] = true;
    }
  }
  std::stable_sort(
      waiting.begin(), waiting.end(),
      [](const ServerConnectionPtr& a, const ServerConnectionPtr& b) {
        return *a->waiting_since() < *b->waiting_since();
      });
  for (const ServerConnectionPtr& connection : waiting) {
    connection->ResumeIfRoom();
    bool& is_used = is_reserve_used[connection->waits_for_long() ? 1 : 0];
    if (connection->waiting_since() && !is_used) {
      connection->ResumeWithReserve();
      is_used = connection->reserve_is_long().has_value();
    }
  }
}

void HttpService::RefuseThatGiveWay(bool is_long) {
  std::vector<ServerConnectionPtr> connections;
  std::vector<ReceivedBody> bodies;
  for (const ServerConnectionPtr& connection : m_connections) {
    if (const auto body = connection->DescribeBody(is_long)) {
      connections.push_back(connection);
      bodies.push_back(*body);
    }
  }
  for (const size_t chosen :
       ChooseBodiesToGiveWay(bodies, m_budget->FreeBytes(is_long, false))) {
    ++(bodies[chosen].waited ? m_counts.waiting_bodies
                             : m_counts.stalled_bodies);
    connections[chosen]->RefuseUnfinishedRequest(
        {RetryAfterHeader(kNoRoomRetryAfter)});
  }
}

void HttpService::CloseUnread() {
  std::vector<ServerConnectionPtr> connections;
  std::vector<UnreadOutput> outputs;
  for (const ServerConnectionPtr& connection : m_connections) {
    if (const auto output = connection->DescribeOutput()) {
      connections.push_back(connection);
      outputs.push_back(*output);
    }
  }
  for (const size_t chosen :
       ChooseConnectionsToGiveWay(outputs, m_output_budget->ExcessBytes())) {
    ++m_counts.unread_outputs;
    connections[chosen]->CloseUnread();
  }
}

void HttpService::CheckTimeouts() {
  const TimePoint now = m_clock.Now();
  const std::vector<ServerConnectionPtr> connections(m_connections.begin(),
                                                     m_connections.end());
  for (const ServerConnectionPtr& connection : connections) {
    connection->CheckTimeouts(now);
  }
  if (m_budget->waiters() > 0) {
    ShareRoom();
    RefuseThatGiveWay(/*is_long=*/false);
    RefuseThatGiveWay(/*is_long=*/true);
  }
  m_timeout_check =
      m_loop.Schedule(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
}

}  // namespace pistachiowalk
