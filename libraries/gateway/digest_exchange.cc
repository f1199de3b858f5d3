#include "gateway/digest_exchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>

#include "gateway/gateway_log_events.h"
#include "net/http_server.h"

namespace pistachiowalk {
namespace {

constexpr size_t kMaximumDatagramBytes = 65507;
constexpr int kDatagramsPerTurn = 64;
// The first byte of a datagram is the type of the digest that follows.
constexpr char kNodeKind = 'n';
constexpr char kDataCenterKind = 'c';
constexpr char kHistoriesKind = 'h';
constexpr char kConfirmationKind = 'f';
constexpr char kQuarantineKind = 'q';
constexpr char kWorkerLimitsKind = 'l';
constexpr char kEndpointCapacitiesKind = 'e';
constexpr char kStreamOriginKind = 'o';
constexpr char kStreamQueryKind = 'u';
constexpr char kReadPrefixesKind = 'p';
constexpr char kRolloutAnnouncementKind = 'a';
constexpr char kRolloutReportKind = 'r';

sockaddr_in ToSockaddr(const SocketAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

SocketAddress FromSockaddr(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return SocketAddress{.ip = text.data(), .port = ntohs(address.sin_port)};
}

// Passes the message to `handle`; false if it cannot be decoded.
template <class Message, class Handler>
bool DeliverAs(std::string_view bytes, const Handler& handle) {
  const std::optional<Message> message = DecodeMessage<Message>(bytes);
  if (message) {
    handle(*message);
  }
  return message.has_value();
}

}  // namespace

boost::leaf::result<std::unique_ptr<DigestExchange>> DigestExchange::Create(
    EventLoop& loop,
    const SocketAddress& address,
    Handlers handlers) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in local = ToSockaddr(address);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return boost::leaf::new_error(NetError{
        .code = NetErrorCode::kCannotListen,
        .detail = "UDP " + FormatSocketAddress(address) + ": " + reason});
  }
  return std::unique_ptr<DigestExchange>(
      new DigestExchange(loop, fd, std::move(handlers)));
}

DigestExchange::DigestExchange(EventLoop& loop, int fd, Handlers handlers)
    : m_loop(loop), m_fd(fd), m_handlers(std::move(handlers)) {
  m_loop.Watch(m_fd, Readiness{.readable = true},
               [this](int, Readiness) { OnReadable(); });
}

DigestExchange::~DigestExchange() {
  m_loop.Unwatch(m_fd);
  close(m_fd);
}

void DigestExchange::Send(const NodeDigest& digest,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kNodeKind + EncodeMessage(digest), receivers);
}

void DigestExchange::Send(const DataCenterDigest& digest,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kDataCenterKind + EncodeMessage(digest), receivers);
}

void DigestExchange::Send(const FollowedHistories& histories,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kHistoriesKind + EncodeMessage(histories), receivers);
}

void DigestExchange::Send(const ListConfirmation& confirmation,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kConfirmationKind + EncodeMessage(confirmation), receivers);
}

void DigestExchange::Send(const TimedQuarantineState& state,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kQuarantineKind + EncodeMessage(state), receivers);
}

void DigestExchange::Send(const WorkerLimitState& state,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kWorkerLimitsKind + EncodeMessage(state), receivers);
}

void DigestExchange::Send(const EndpointCapacityState& state,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kEndpointCapacitiesKind + EncodeMessage(state), receivers);
}

void DigestExchange::Send(const StreamOriginReport& report,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kStreamOriginKind + EncodeMessage(report), receivers);
}

void DigestExchange::Send(const StreamOriginQuery& query,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kStreamQueryKind + EncodeMessage(query), receivers);
}

void DigestExchange::Send(const ReadPrefixes& prefixes,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kReadPrefixesKind + EncodeMessage(prefixes), receivers);
}

void DigestExchange::Send(const RolloutAnnouncement& announcement,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kRolloutAnnouncementKind + EncodeMessage(announcement), receivers);
}

void DigestExchange::Send(const RolloutReport& report,
                          const std::vector<SocketAddress>& receivers) {
  SendBytes(kRolloutReportKind + EncodeMessage(report), receivers);
}

void DigestExchange::SendBytes(const std::string& bytes,
                               const std::vector<SocketAddress>& receivers) {
  for (const SocketAddress& receiver : receivers) {
    const sockaddr_in target = ToSockaddr(receiver);
    // NOTE: Errors are ignored, as the next digest replaces this one.
    sendto(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  }
}

bool DigestExchange::Deliver(std::string_view bytes,
                             const SocketAddress& from) const {
  if (bytes.empty()) {
    return false;
  }
  const std::string_view message = bytes.substr(1);
  switch (bytes.front()) {
    case kNodeKind:
      return DeliverAs<NodeDigest>(message, [&](const NodeDigest& digest) {
        m_handlers.node(digest, from);
      });
    case kDataCenterKind:
      return DeliverAs<DataCenterDigest>(message, m_handlers.data_center);
    case kHistoriesKind:
      return DeliverAs<FollowedHistories>(message, m_handlers.histories);
    case kConfirmationKind:
      return DeliverAs<ListConfirmation>(message, m_handlers.confirmation);
    case kQuarantineKind:
      return DeliverAs<TimedQuarantineState>(message, m_handlers.quarantine);
    case kWorkerLimitsKind:
      return DeliverAs<WorkerLimitState>(message, m_handlers.worker_limits);
    case kEndpointCapacitiesKind:
      return DeliverAs<EndpointCapacityState>(message,
                                              m_handlers.endpoint_capacities);
    case kStreamOriginKind:
      return DeliverAs<StreamOriginReport>(message, m_handlers.stream_origin);
    case kStreamQueryKind:
      return DeliverAs<StreamOriginQuery>(
          message, [&](const StreamOriginQuery& query) {
            m_handlers.stream_query(query, from);
          });
    case kReadPrefixesKind:
      return DeliverAs<ReadPrefixes>(message,
                                     [&](const ReadPrefixes& prefixes) {
                                       m_handlers.read_prefixes(prefixes, from);
                                     });
    case kRolloutAnnouncementKind:
      return DeliverAs<RolloutAnnouncement>(
          message, [&](const RolloutAnnouncement& announcement) {
            m_handlers.rollout_announcement(announcement, from);
          });
    case kRolloutReportKind:
      return DeliverAs<RolloutReport>(message, m_handlers.rollout_report);
    default:
      return false;
  }
}

void DigestExchange::OnReadable() {
  static std::array<char, kMaximumDatagramBytes> buffer;
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    sockaddr_in sender{};
    socklen_t size = sizeof(sender);
    const ssize_t count = recvfrom(m_fd, buffer.data(), buffer.size(), 0,
                                   reinterpret_cast<sockaddr*>(&sender), &size);
    if (count < 0) {
      return;
    }
    const SocketAddress from = FromSockaddr(sender);
    if (!Deliver(std::string_view(buffer.data(), static_cast<size_t>(count)),
                 from)) {
      LogEvent(gateway_log::kDigestRefused,
               {{"from", FormatSocketAddress(from)},
                {"bytes", std::to_string(count)}});
    }
  }
}

}  // namespace pistachiowalk
