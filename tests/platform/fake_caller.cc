#include "platform/fake_caller.h"

#include <fmt/format.h>

#include <utility>

#include "http1/message_writer.h"
#include "platform/header_names.h"

namespace pistachiowalk::testing {
namespace {

using std::chrono::milliseconds;

constexpr double kMeanThinkTimeMs = 120.0;
constexpr milliseconds kTimeLimit{4000};
// The caller closes the connection when no response has ended by then.
constexpr Duration kResponseTimeout = kTimeLimit + milliseconds(600);
constexpr uint32_t kMaximumEvents = 24;
constexpr uint32_t kMaximumPromptTokens = 1500;
constexpr uint32_t kMaximumResumptions = 8;
constexpr ParseLimits kResponseLimits{.header_bytes = 32 * 1024,
                                      .body_bytes = 4 * 1024 * 1024};

// Number of complete events.
uint32_t CountEvents(const std::string& body) {
  uint32_t count = 0;
  for (size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

}  // namespace

FakeCaller::FakeCaller(EventLoop& loop,
                       InvariantChecker& checker,
                       RequestSource request_source,
                       uint64_t seed)
    : m_loop(loop),
      m_checker(checker),
      m_request_source(std::move(request_source)),
      m_random(seed) {}

FakeCaller::~FakeCaller() {
  m_loop.Cancel(m_timer);
  if (m_connection) {
    m_connection->Close();
  }
}

void FakeCaller::Start() {
  ScheduleNext(
      milliseconds(std::uniform_int_distribution<int>(0, 500)(m_random)));
}

void FakeCaller::ScheduleNext(Duration pause) {
  m_loop.Cancel(m_timer);
  m_timer = m_loop.Schedule(pause, [this] { SendNext(); });
}

void FakeCaller::SendNext() {
  if (m_is_stopped) {
    return;
  }
  if (!m_connection || !m_connection->CanReuse()) {
    if (m_connection) {
      m_connection->Close();
    }
    m_target = m_request_source.choose_node(m_random);
    m_connection = new ClientConnection(
        TcpConnection::Connect(m_loop, m_target.address), kResponseLimits);
  }
  Send();
}

SoakRequest FakeCaller::DrawRequest() {
  const CallerRoute route = m_request_source.choose_route(m_random);
  const CallerKey key = m_request_source.choose_key(m_random);
  const bool is_stream = route.kind == RouteKind::kStream;
  const std::string id = fmt::format("{:016x}", m_random());
  m_key = key.key;
  m_resumptions = 0;
  m_prompt_tokens = std::uniform_int_distribution<uint32_t>(
      50, kMaximumPromptTokens)(m_random);
  const uint32_t events =
      std::uniform_int_distribution<uint32_t>(1, kMaximumEvents)(m_random);
  SoakRequest request{
      .id = id,
      .kind = route.kind,
      .is_resumable = route.is_resumable,
      .customer = key.customer,
      .path = route.path,
      .body = "body of " + id,
      .tokens = is_stream ? double(m_prompt_tokens) + events : 200.0,
      .events = events,
      .node = m_target.node};
  if (is_stream) {
    request.deadly_part = m_request_source.choose_deadly_part(m_random);
  }
  return request;
}

std::optional<SoakRequest> FakeCaller::MakeResumption() {
  if (!std::exchange(m_can_resume, false)) {
    return std::nullopt;
  }
  SoakRequest request = m_request;
  ++m_resumptions;
  request.id = fmt::format("{:016x}", m_random());
  request.resumes_after += CountEvents(m_response.body);
  if (request.resumed_id.empty()) {
    request.resumed_id = m_request.id;
  }
  request.node = m_target.node;
  return request;
}

void FakeCaller::NoteBroken() {
  const uint32_t events =
      m_request.resumes_after + CountEvents(m_response.body);
  m_can_resume = m_request_source.resumes_streams && m_request.is_resumable &&
                 m_request.deadly_part.empty() && events > 0 &&
                 events < m_request.events &&
                 m_resumptions < kMaximumResumptions;
}

HttpHeaders FakeCaller::MakeHeaders(const SoakRequest& request) const {
  HttpHeaders headers = {
      {"Host", "soak.example"},
      {platform::kAttemptIdHeader, request.id},
      {platform::kDeadlineHeader, std::to_string(kTimeLimit.count())},
      {platform::kCredentialHeader, m_key},
      {"Content-Length", std::to_string(request.body.size())}};
  if (request.kind == RouteKind::kStream) {
    headers.push_back({platform::kTokenCountHeader,
                       fmt::format("{},{}", m_prompt_tokens, request.events)});
    headers.push_back({platform::kModelHeader, "m"});
    headers.push_back(
        {platform::kPromptPrefixHeader,
         fmt::format(
             "{:x}:{},{}{}:50", m_prompt_tokens % 7 + 1, m_prompt_tokens - 50,
             request.deadly_part.empty() ? "" : request.deadly_part + ":10,",
             request.id)});
  }
  if (!request.resumed_id.empty()) {
    headers.push_back({platform::kResumesHeader, request.resumed_id});
    headers.push_back(
        {platform::kLastEventIdHeader, std::to_string(request.resumes_after)});
  }
  return headers;
}

void FakeCaller::Send() {
  const std::optional<SoakRequest> resumption = MakeResumption();
  m_request = resumption ? *resumption : DrawRequest();
  m_id = m_request.id;
  const HttpHeaders headers = MakeHeaders(m_request);
  std::string bytes;
  AppendRequestHead(bytes, "POST", m_request.path + "x", headers);
  bytes += m_request.body;
  m_response = SoakResponse{};
  m_checker.RecordSent(m_request, m_clock.Now());
  m_loop.Cancel(m_timer);
  m_timer = m_loop.Schedule(kResponseTimeout, [this] { OnTimeout(); });
  m_connection->Send(
      bytes,
      ClientConnection::ResponseHandlers{
          .head =
              [this](const ResponseHead& head) {
                m_response.status = head.status;
                m_response.has_seal =
                    FindHeader(head.headers, platform::kServerSealHeader) !=
                    nullptr;
                const std::string* id =
                    FindHeader(head.headers, platform::kAttemptIdHeader);
                if (id != nullptr && *id != m_id) {
                  m_checker.RecordViolation("mixed", m_id + " got " + *id);
                }
                return true;
              },
          .body = [this](std::string_view part) { m_response.body += part; },
          .end = [this](ResponseEnd end) { OnEnd(end); }});
}

void FakeCaller::OnEnd(ResponseEnd end) {
  const std::string id = std::exchange(m_id, "");
  if (end == ResponseEnd::kComplete) {
    m_response.is_complete = true;
    m_checker.RecordResponse(id, m_response, m_clock.Now());
    // A take-up that was refused may succeed at another node.
    if (m_response.status / 100 != 2 && !m_request.resumed_id.empty()) {
      m_response.body.clear();
      NoteBroken();
    }
  } else {
    m_checker.RecordDisconnect(id, m_clock.Now());
    NoteBroken();
  }
  std::exponential_distribution<double> pause(1.0 / kMeanThinkTimeMs);
  ScheduleNext(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(pause(m_random))));
}

void FakeCaller::OnTimeout() {
  m_connection->Close();
  m_checker.RecordDisconnect(std::exchange(m_id, ""), m_clock.Now());
  NoteBroken();
  SendNext();
}

}  // namespace pistachiowalk::testing
