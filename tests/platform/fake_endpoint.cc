#include "platform/fake_endpoint.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <cstdlib>

#include "platform/header_names.h"

namespace pistachiowalk::testing {
namespace {

using std::chrono::milliseconds;

constexpr size_t kEndlessPartBytes = 64 * 1024;
constexpr auto kEndlessPause = std::chrono::milliseconds(2);
constexpr Duration kEventGap = milliseconds(25);
// Time in which the head of a response is sent before a crash.
constexpr Duration kCrashDelay = milliseconds(20);
constexpr int kMaximumCallMs = 40;
constexpr double kFailureProbability = 0.5;

std::string HeaderValue(const HttpHeaders& headers, const char* name) {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

uint32_t ParseUint32(const std::string& text) {
  return static_cast<uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
}

}  // namespace

struct FakeEndpoint::Stream {
  ServerExchangePtr exchange;
  std::string id;
  uint32_t sent = 0;
  uint32_t events = 0;
  // Aborts the response after this many events; 0 for never.
  uint32_t abort_after = 0;
  // Its prompt crashes the endpoint.
  bool is_deadly = false;
};

FakeEndpoint::FakeEndpoint(EventLoop& loop,
                           InvariantChecker& checker,
                           std::string id,
                           std::string service,
                           SocketAddress address,
                           uint64_t seed)
    : m_loop(loop),
      m_checker(checker),
      m_id(std::move(id)),
      m_service_name(std::move(service)),
      m_started_at(
          static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(
                                    m_clock.WallNow().time_since_epoch())
                                    .count())),
      m_random(seed) {
  m_http = boost::leaf::try_handle_all(
      [&] {
        return HttpService::Create(
            loop, m_clock, address, ServerLimits{},
            [this](const ServerExchangePtr& exchange) { Serve(exchange); });
      },
      []() -> std::unique_ptr<HttpService> { std::abort(); });
}

FakeEndpoint::~FakeEndpoint() = default;

std::string FakeEndpoint::Entry(const std::string& data_center,
                                const SocketAddress& reached_at,
                                bool is_leaving) const {
  return boost::json::serialize(
      boost::json::object{{"service", m_service_name},
                          {"address", FormatSocketAddress(reached_at)},
                          {"zone", data_center},
                          {"version", m_version},
                          {"slots", 32},
                          {"state", is_leaving ? "draining" : "ready"},
                          {"cold-remaining-ms", 0},
                          {"seq", 1},
                          {"born", m_started_at}});
}

void FakeEndpoint::Serve(const ServerExchangePtr& exchange) {
  const RequestHead& head = exchange->head();
  const std::string id = HeaderValue(head.headers, platform::kAttemptIdHeader);
  if (HeaderValue(head.headers, platform::kExpectInstanceHeader) != m_id) {
    exchange->Respond(421, {{platform::kAttemptIdHeader, id}}, "");
    return;
  }
  m_checker.RecordArrival(m_id, id, m_clock.Now());
  if (m_wanted_pause) {
    HttpHeaders headers = MakeHeaders(id);
    headers.push_back({platform::kNotExecutedHeader, "1"});
    headers.push_back(
        {"Retry-After",
         fmt::format("{:.3f}",
                     std::chrono::duration<double>(*m_wanted_pause).count())});
    m_checker.RecordWantedPause(m_id, id, *m_wanted_pause, m_clock.Now());
    exchange->Respond(503, headers, "");
    return;
  }
  const std::string tokens =
      HeaderValue(head.headers, platform::kTokenCountHeader);
  const size_t comma = tokens.find(',');
  const bool is_stream = comma != std::string::npos;
  const uint32_t resumes_after =
      ParseUint32(HeaderValue(head.headers, platform::kLastEventIdHeader));
  m_checker.RecordRun(
      SoakRun{.id = id,
              .endpoint = m_id,
              .service = m_service_name,
              .customer = HeaderValue(head.headers, platform::kTenantHeader),
              .body = exchange->body(),
              .resumes_after = resumes_after,
              .version = m_version},
      m_clock.Now());
  if (m_mode == FakeEndpointMode::kHanging) {
    m_checker.RecordEndpointFault(id);
    return;
  }
  if (m_mode == FakeEndpointMode::kEndless) {
    m_checker.RecordEndpointFault(id);
    HttpHeaders headers = MakeHeaders(id);
    if (is_stream) {
      headers.push_back({"Content-Type", "text/event-stream"});
    }
    exchange->Begin(200, "OK", headers);
    SendEndlessly(exchange, (m_random() % 2 == 0 ? ": " : "data: ") +
                                std::string(kEndlessPartBytes, 'x'));
    return;
  }
  if (!is_stream) {
    const auto work = milliseconds(
        std::uniform_int_distribution<int>(2, kMaximumCallMs)(m_random));
    m_loop.Schedule(
        work, [this, exchange, id, lifetime = std::weak_ptr<int>(m_lifetime)] {
          if (!lifetime.expired()) {
            ServeCall(exchange, id);
          }
        });
    return;
  }
  auto stream = std::make_shared<Stream>(Stream{
      .exchange = exchange,
      .id = id,
      .sent = resumes_after,
      .events = ParseUint32(tokens.substr(comma + 1)),
      .is_deadly = HeaderValue(head.headers, platform::kPromptPrefixHeader)
                       .find(std::string(",") + kDeadlyPartPrefix) !=
                   std::string::npos});
  if (m_mode == FakeEndpointMode::kBreaking) {
    stream->abort_after = resumes_after + 2;
  }
  if (!DrawVersionFault(id)) {
    SendNext(stream);
  } else if (m_version_fault->delay == milliseconds(0)) {
    exchange->Respond(500, MakeHeaders(id), "failed");
  } else {
    m_loop.Schedule(m_version_fault->delay,
                    [this, stream, lifetime = std::weak_ptr<int>(m_lifetime)] {
                      if (!lifetime.expired()) {
                        SendNext(stream);
                      }
                    });
  }
}

bool FakeEndpoint::DrawVersionFault(const std::string& id) {
  if (!m_version_fault || m_clock.Now() < m_version_fault->since ||
      !std::bernoulli_distribution(m_version_fault->share)(m_random)) {
    return false;
  }
  m_checker.rollouts().RecordBadResponse(m_version, m_clock.Now());
  if (m_version_fault->delay == milliseconds(0)) {
    m_checker.RecordEndpointFault(id);
  }
  return true;
}

void FakeEndpoint::ServeCall(const ServerExchangePtr& exchange,
                             const std::string& id) {
  const HttpHeaders headers = MakeHeaders(id);
  if (m_mode == FakeEndpointMode::kBreaking) {
    m_checker.RecordEndpointFault(id);
    exchange->Abort();
    return;
  }
  std::bernoulli_distribution fails(kFailureProbability);
  if (m_mode == FakeEndpointMode::kFailing && fails(m_random)) {
    exchange->Respond(500, headers, "failed");
    return;
  }
  exchange->Respond(200, headers,
                    SoakBody(id) + std::string(m_call_bytes, 'x'));
}

void FakeEndpoint::SendEndlessly(const ServerExchangePtr& exchange,
                                 const std::string& part) {
  if (!exchange->is_open()) {
    return;
  }
  if (exchange->unsent_bytes() < kEndlessPartBytes) {
    exchange->SendChunk(part);
  }
  m_loop.Schedule(kEndlessPause, [this, exchange, part,
                                  lifetime = std::weak_ptr<int>(m_lifetime)] {
    if (!lifetime.expired()) {
      SendEndlessly(exchange, part);
    }
  });
}

HttpHeaders FakeEndpoint::MakeHeaders(const std::string& id) {
  HttpHeaders headers = {{platform::kAttemptIdHeader, id},
                         {platform::kServerSealHeader, m_id}};
  if (m_says_leaving) {
    headers.push_back({platform::kServerLeavingHeader, "1"});
    m_checker.RecordSaidLeaving(m_id, id);
  }
  if (m_named_limit) {
    headers.push_back(
        {platform::kServerLimitHeader, fmt::format("{:.1f}", *m_named_limit)});
    m_checker.RecordNamedLimit(m_id, id, *m_named_limit, m_clock.Now());
  } else {
    m_checker.RecordLimitEnd(m_id);
  }
  return headers;
}

void FakeEndpoint::SendNext(const std::shared_ptr<Stream>& stream) {
  if (!stream->exchange->is_open()) {
    return;
  }
  if (stream->abort_after != 0 && stream->sent >= stream->abort_after) {
    m_checker.RecordEndpointFault(stream->id);
    stream->exchange->Abort();
    return;
  }
  if (!stream->exchange->has_begun()) {
    HttpHeaders headers = MakeHeaders(stream->id);
    headers.push_back({"Content-Type", "text/event-stream"});
    stream->exchange->Begin(200, "OK", headers);
    if (stream->is_deadly) {
      m_loop.Schedule(kCrashDelay, [this, stream,
                                    lifetime = std::weak_ptr<int>(m_lifetime)] {
        if (!lifetime.expired()) {
          const auto crash = m_crash;
          crash(stream->id);
        }
      });
      return;
    }
  }
  if (++stream->sent == 1) {
    m_checker.RecordFirstEvent(stream->id, m_version);
  }
  stream->exchange->SendChunk(
      SoakEvent(stream->id, stream->sent, stream->events));
  if (stream->sent >= stream->events) {
    stream->exchange->Finish();
    return;
  }
  m_loop.Schedule(kEventGap,
                  [this, stream, lifetime = std::weak_ptr<int>(m_lifetime)] {
                    if (!lifetime.expired()) {
                      SendNext(stream);
                    }
                  });
}

}  // namespace pistachiowalk::testing
