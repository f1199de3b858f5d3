#include <charconv>
#include <chrono>
#include <optional>

#include "bundle/bundle.h"
#include "daemon/active_bundle.h"
#include "daemon/caller_api.h"
#include "daemon/peer_ranking.h"
#include "daemon/problem_response.h"
#include "daemon/resume_forwarder.h"
#include "membership/node_port.h"

// The part of CallerApi that hands streams over and resumes them.
namespace pistachiowalk {
namespace {

// Peers to which a resume request is forwarded before it fails.
constexpr size_t kMaximumResumePeers = 4;
// Peers that are tried for the handover of one stream.
constexpr size_t kMaximumHandoverPeers = 2;
constexpr size_t kMaximumRequestIdCharacters = 256;

std::optional<uint64_t> ParseNumber(const std::string& text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Returns the data centre of the node that created a request id.
DataCenterName ParseDataCenter(const std::string& request) {
  return DataCenterName(request.substr(0, request.find('.')));
}

std::vector<std::string> PeerUrls(const std::vector<NodeView>& views) {
  std::vector<std::string> urls;
  for (const NodeView& view : views) {
    if (urls.size() < kMaximumResumePeers) {
      urls.push_back(view.http_url);
    }
  }
  return urls;
}

Problem MakeReconnectProblem(ProblemKind kind, std::string detail) {
  return Problem{.kind = kind,
                 .outcome = RunOutcome::kUnknown,
                 .detail = std::move(detail),
                 .retry_after = {}};
}

}  // namespace

RequestSession* CallerApi::FindSession(const RequestId& request) {
  for (RequestSession& session : m_sessions) {
    if (session.spec().id == request) {
      return &session;
    }
  }
  return nullptr;
}

void CallerApi::HandleReconnect(const HttpExchangePtr& exchange) {
  const std::string request = exchange->path().substr(kRequestsPath.size());
  const Customer* customer =
      m_context.bundle.current() ? Authenticate(*exchange) : nullptr;
  const std::string last_event = exchange->Header("Last-Event-ID");
  const auto last_index = ParseNumber(last_event);
  if (customer == nullptr) {
    Reject(exchange, MakeReconnectProblem(ProblemKind::kUnauthenticated, ""));
    return;
  }
  if (request.size() > kMaximumRequestIdCharacters ||
      (!last_event.empty() && !last_index)) {
    Reject(exchange, MakeReconnectProblem(ProblemKind::kMalformedRequest,
                                          "Last-Event-ID is a token's index"));
    return;
  }
  RequestSession* session = FindSession(RequestId(request));
  if (session != nullptr && session->spec().customer == customer->name &&
      session->spec().kind == RequestKind::kGeneration) {
    session->Attach(exchange, last_index ? *last_index + 1 : 0);
    return;
  }
  const uint64_t hops =
      ParseNumber(exchange->QueryArgument("hops")).value_or(2);
  if (hops == 0) {
    Reject(exchange, MakeReconnectProblem(ProblemKind::kUnknownRequest, ""));
    return;
  }
  const DataCenterName data_center = ParseDataCenter(request);
  const std::vector<NodeView> nodes =
      data_center == m_context.data_center
          ? RankPeers(m_context.nodes, RequestId(request))
          : m_context.nodes.GatewaysOf(data_center);
  const uint32_t hops_left = data_center == m_context.data_center ? 0 : 1;
  ForwardResume(m_context.client, exchange,
                ResumeRequest{.node_urls = PeerUrls(nodes),
                              .request_id = request,
                              .hops = hops_left});
}

void CallerApi::HandOverStreams() {
  std::vector<RequestSessionPtr> sessions;
  for (RequestSession& session : m_sessions) {
    if (session.CanBeHandedOver()) {
      sessions.emplace_back(&session);
    }
  }
  for (const RequestSessionPtr& session : sessions) {
    HandOver(session, 0);
  }
}

void CallerApi::HandOver(const RequestSessionPtr& session, size_t peers_tried) {
  const std::vector<NodeView> peers =
      RankPeers(m_context.nodes, session->spec().id);
  if (peers.empty() && peers_tried == 0) {
    return;
  }
  if (peers_tried >= std::min(peers.size(), kMaximumHandoverPeers)) {
    session->FinishHandover(false);
    return;
  }
  m_context.nodes.SendAcknowledged(
      peers[peers_tried].node, NodeMessageKind::kStreamHandover,
      EncodeStreamHandover(session->PrepareHandover()),
      [this, session, peers_tried](bool is_delivered) {
        if (is_delivered) {
          session->FinishHandover(true);
        } else {
          HandOver(session, peers_tried + 1);
        }
      });
}

void CallerApi::AcceptHandover(const StreamHandover& handover) {
  const auto bundle = m_context.bundle.current();
  auto chat = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<ChatRequest>> {
        BOOST_LEAF_AUTO(parsed, ParseChatRequest(handover.body));
        return std::optional<ChatRequest>(std::move(parsed));
      },
      [] { return std::optional<ChatRequest>(); });
  if (!bundle || !chat || FindSession(handover.request) != nullptr) {
    // NOTE: The same handover can be delivered twice.
    return;
  }
  RequestSpec spec;
  spec.id = handover.request;
  spec.customer = handover.customer;
  spec.service = handover.service;
  spec.kind = RequestKind::kGeneration;
  spec.deadline = m_context.clock.Now() +
                  std::chrono::milliseconds(handover.remaining_milliseconds);
  const RequestSessionPtr session(
      new RequestSession(m_context, nullptr, bundle, std::move(spec),
                         RequestPayload{.chat = std::move(chat), .plain = {}},
                         [this](RequestSession& ended) { EndSession(ended); }));
  AddSession(session);
  session->StartHandedOver(handover.tokens);
  if (m_is_draining) {
    HandOver(session, 0);
  }
}

}  // namespace pistachiowalk
