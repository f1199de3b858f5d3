#include "net/node_transport.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

#include "membership/node_port.h"
#include "net/http_server.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

constexpr size_t kLengthBytes = 4;
// Upper bound on the size of the MAC and the envelope's own fields.
constexpr size_t kMaximumEnvelopeOverhead = 256;
constexpr size_t kMaximumDatagram =
    kMaximumDatagramPayload + kMaximumEnvelopeOverhead;
constexpr size_t kMaximumFrame =
    kMaximumMessagePayload + kMaximumEnvelopeOverhead;
constexpr size_t kReadChunk = 16384;
// Datagrams read before other events are handled.
constexpr int kDatagramsPerTurn = 64;
constexpr size_t kMaximumIncoming = 256;
constexpr Duration kConnectionTimeout = std::chrono::seconds(5);
constexpr int kMaximumBindAttempts = 16;

constexpr Readiness kReadable{.readable = true, .writable = false};
constexpr Readiness kWritable{.readable = false, .writable = true};

ACE_INET_Addr ToAceAddress(const NodeAddress& address) {
  return ACE_INET_Addr(address.port, address.ip);
}

bool IsWouldBlock() {
  return errno == EWOULDBLOCK || errno == EAGAIN || errno == EINTR;
}

std::string EncodeLengthPrefix(size_t length) {
  std::string prefix;
  for (const unsigned shift : {24U, 16U, 8U, 0U}) {
    prefix.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  return prefix;
}

size_t DecodeLengthPrefix(std::string_view bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<uint8_t>(bytes[i]);
  }
  return length;
}

enum class ReadResult { kOpen, kClosed };

// Appends the bytes available now to `buffer`, until it holds `limit` bytes.
ReadResult ReadAvailable(ACE_SOCK_Stream& stream,
                         std::string& buffer,
                         size_t limit) {
  char chunk[kReadChunk];
  while (buffer.size() < limit) {
    const ssize_t count =
        stream.recv(chunk, std::min(sizeof chunk, limit - buffer.size()));
    if (count <= 0) {
      return count < 0 && IsWouldBlock() ? ReadResult::kOpen
                                         : ReadResult::kClosed;
    }
    buffer.append(chunk, static_cast<size_t>(count));
  }
  return ReadResult::kOpen;
}

}  // namespace

// An accepted connection, on which the peer sends one frame.
struct NodeTransport::Incoming {
  ACE_SOCK_Stream stream;
  std::string buffer;
  TimerId timeout = 0;
};

// An outbound connection, which sends one frame and awaits its acknowledgement.
struct NodeTransport::Outgoing {
  ACE_SOCK_Stream stream;
  std::string unsent;
  std::string expected_acknowledgement;
  std::string acknowledgement;
  DeliveryCallback callback;
  TimerId timeout = 0;
};

leaf::result<std::unique_ptr<NodeTransport>> NodeTransport::Create(
    EventLoop& loop,
    const Clock& clock,
    NodeTransportOptions options,
    Handler handler) {
  std::unique_ptr<NodeTransport> transport(
      new NodeTransport(loop, clock, std::move(options), std::move(handler)));
  if (!transport->OpenSockets()) {
    return leaf::new_error(NetError{
        NetErrorCode::kCannotListen,
        "cannot listen on " + FormatNodeAddress(transport->m_options.listen)});
  }
  return transport;
}

NodeTransport::NodeTransport(EventLoop& loop,
                             const Clock& clock,
                             NodeTransportOptions options,
                             Handler handler)
    : m_loop(loop),
      m_clock(clock),
      m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_codec(m_options.keys) {}

NodeTransport::~NodeTransport() {
  while (!m_incoming.empty()) {
    EndIncoming(m_incoming.begin()->first);
  }
  while (!m_outgoing.empty()) {
    Outgoing& outgoing = *m_outgoing.begin()->second;
    outgoing.callback = nullptr;
    EndOutgoing(m_outgoing.begin()->first, false);
  }
  if (m_datagrams.get_handle() != ACE_INVALID_HANDLE) {
    m_loop.Unwatch(m_datagrams.get_handle());
    m_datagrams.close();
  }
  if (m_acceptor.get_handle() != ACE_INVALID_HANDLE) {
    m_loop.Unwatch(m_acceptor.get_handle());
    m_acceptor.close();
  }
}

bool NodeTransport::OpenSockets() {
  const uint16_t requested_port = m_options.listen.port;
  // NOTE: The ephemeral TCP port may already be in use for UDP, in which case
  // another one is tried.
  for (int i = 0; i < (requested_port == 0 ? kMaximumBindAttempts : 1); ++i) {
    if (m_acceptor.open(ToAceAddress({m_options.listen.ip, requested_port}),
                        1) != 0) {
      return false;
    }
    ACE_INET_Addr bound;
    m_acceptor.get_local_addr(bound);
    m_options.listen.port = bound.get_port_number();
    if (m_datagrams.open(ToAceAddress(m_options.listen)) == 0) {
      m_acceptor.enable(ACE_NONBLOCK);
      m_datagrams.enable(ACE_NONBLOCK);
      m_loop.Watch(m_acceptor.get_handle(), kReadable,
                   [this](int, Readiness) { OnConnection(); });
      m_loop.Watch(m_datagrams.get_handle(), kReadable,
                   [this](int, Readiness) { OnDatagrams(); });
      return true;
    }
    m_acceptor.close();
  }
  return false;
}

std::string NodeTransport::Seal(const NodeAddress& to,
                                NodeMessageKind kind,
                                std::string payload) {
  const NodeEnvelope envelope{.sender = m_options.node,
                              .incarnation = m_options.incarnation,
                              .sequence = ++m_last_sequence,
                              .kind = kind,
                              .payload = std::move(payload)};
  return m_codec.Seal(envelope, to);
}

void NodeTransport::Send(const NodeAddress& to,
                         NodeMessageKind kind,
                         std::string payload) {
  if (payload.size() > kMaximumDatagramPayload) {
    return;
  }
  const std::string frame = Seal(to, kind, std::move(payload));
  m_datagrams.send(frame.data(), frame.size(), ToAceAddress(to));
  ++m_counts.sent_messages;
  m_counts.sent_bytes += frame.size();
}

std::optional<size_t> NodeTransport::ReceiveFrame(std::string_view frame) {
  m_counts.received_bytes += frame.size();
  const auto opened = m_codec.Open(frame, m_options.listen);
  if (!opened || !m_replays.Accept(opened->envelope, m_clock.Now())) {
    ++m_counts.refused_messages;
    return std::nullopt;
  }
  ++m_counts.received_messages;
  m_handler(opened->envelope);
  return opened->key_index;
}

void NodeTransport::OnDatagrams() {
  // NOTE: One byte larger than allowed, to detect oversized datagrams, which
  // recv() truncates.
  char buffer[kMaximumDatagram + 1];
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    ACE_INET_Addr from;
    const ssize_t count = m_datagrams.recv(buffer, sizeof buffer, from);
    if (count < 0) {
      return;
    }
    if (static_cast<size_t>(count) <= kMaximumDatagram) {
      ReceiveFrame({buffer, static_cast<size_t>(count)});
    }
  }
}

void NodeTransport::OnConnection() {
  ACE_SOCK_Stream stream;
  ACE_Time_Value no_wait = ACE_Time_Value::zero;
  if (m_acceptor.accept(stream, nullptr, &no_wait) != 0) {
    return;
  }
  if (m_incoming.size() >= kMaximumIncoming) {
    stream.close();
    return;
  }
  stream.enable(ACE_NONBLOCK);
  const int fd = stream.get_handle();
  auto incoming = std::make_unique<Incoming>();
  incoming->stream = stream;
  incoming->timeout =
      m_loop.Schedule(kConnectionTimeout, [this, fd] { EndIncoming(fd); });
  m_incoming[fd] = std::move(incoming);
  m_loop.Watch(fd, kReadable,
               [this](int ready, Readiness) { OnIncoming(ready); });
}

void NodeTransport::OnIncoming(int fd) {
  const auto it = m_incoming.find(fd);
  if (it == m_incoming.end()) {
    return;
  }
  Incoming& incoming = *it->second;
  // NOTE: The length is checked before any byte of the frame is read.
  const ReadResult prefix =
      ReadAvailable(incoming.stream, incoming.buffer,
                    std::max(kLengthBytes, incoming.buffer.size()));
  if (incoming.buffer.size() < kLengthBytes) {
    if (prefix == ReadResult::kClosed) {
      EndIncoming(fd);
    }
    return;
  }
  const size_t length = DecodeLengthPrefix(incoming.buffer);
  if (length > kMaximumFrame) {
    ++m_counts.refused_messages;
    EndIncoming(fd);
    return;
  }
  const size_t frame_end = kLengthBytes + length;
  const ReadResult rest =
      ReadAvailable(incoming.stream, incoming.buffer, frame_end);
  if (incoming.buffer.size() < frame_end) {
    if (rest == ReadResult::kClosed) {
      EndIncoming(fd);
    }
    return;
  }
  const std::string frame = incoming.buffer.substr(kLengthBytes);
  ACE_SOCK_Stream stream = incoming.stream;
  if (const auto key_index = ReceiveFrame(frame)) {
    const std::string acknowledgement = m_codec.Acknowledge(frame, *key_index);
    // A few bytes fit in any send buffer. A failure is treated like a lost
    // acknowledgement.
    stream.send(acknowledgement.data(), acknowledgement.size());
  }
  EndIncoming(fd);
}

void NodeTransport::EndIncoming(int fd) {
  const auto it = m_incoming.find(fd);
  if (it == m_incoming.end()) {
    return;
  }
  m_loop.Cancel(it->second->timeout);
  m_loop.Unwatch(fd);
  it->second->stream.close();
  m_incoming.erase(it);
}

void NodeTransport::SendAcknowledged(const NodeAddress& to,
                                     NodeMessageKind kind,
                                     std::string payload,
                                     DeliveryCallback callback) {
  const auto fail = [this, &callback] {
    m_loop.Post([alive = std::weak_ptr(m_alive), callback] {
      if (!alive.expired() && callback) {
        callback(false);
      }
    });
  };
  if (payload.size() > kMaximumMessagePayload) {
    fail();
    return;
  }
  auto outgoing = std::make_unique<Outgoing>();
  ACE_SOCK_Connector connector;
  ACE_Time_Value no_wait = ACE_Time_Value::zero;
  const int result =
      connector.connect(outgoing->stream, ToAceAddress(to), &no_wait);
  if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    outgoing->stream.close();
    fail();
    return;
  }
  outgoing->stream.enable(ACE_NONBLOCK);
  const std::string frame = Seal(to, kind, std::move(payload));
  outgoing->expected_acknowledgement = m_codec.Acknowledge(frame, 0);
  outgoing->unsent = EncodeLengthPrefix(frame.size()) + frame;
  outgoing->callback = std::move(callback);
  ++m_counts.sent_messages;
  m_counts.sent_bytes += outgoing->unsent.size();
  const int fd = outgoing->stream.get_handle();
  outgoing->timeout = m_loop.Schedule(kConnectionTimeout,
                                      [this, fd] { EndOutgoing(fd, false); });
  m_outgoing[fd] = std::move(outgoing);
  m_loop.Watch(fd, kWritable, [this](int ready, Readiness readiness) {
    OnOutgoing(ready, readiness);
  });
}

void NodeTransport::OnOutgoing(int fd, Readiness readiness) {
  const auto it = m_outgoing.find(fd);
  if (it == m_outgoing.end()) {
    return;
  }
  Outgoing& outgoing = *it->second;
  if (readiness.readable) {
    const ReadResult result = ReadAvailable(
        outgoing.stream, outgoing.acknowledgement, kNodeFrameMacBytes);
    if (outgoing.acknowledgement.size() == kNodeFrameMacBytes) {
      EndOutgoing(
          fd, outgoing.acknowledgement == outgoing.expected_acknowledgement);
    } else if (result == ReadResult::kClosed) {
      EndOutgoing(fd, false);
    }
    return;
  }
  const ssize_t count =
      outgoing.stream.send(outgoing.unsent.data(), outgoing.unsent.size());
  if (count < 0 && !IsWouldBlock()) {
    EndOutgoing(fd, false);
    return;
  }
  outgoing.unsent.erase(0, count > 0 ? static_cast<size_t>(count) : 0);
  if (outgoing.unsent.empty()) {
    m_loop.Watch(fd, kReadable, [this](int ready, Readiness next) {
      OnOutgoing(ready, next);
    });
  }
}

void NodeTransport::EndOutgoing(int fd, bool is_delivered) {
  const auto it = m_outgoing.find(fd);
  if (it == m_outgoing.end()) {
    return;
  }
  const std::unique_ptr<Outgoing> outgoing = std::move(it->second);
  m_outgoing.erase(it);
  m_loop.Cancel(outgoing->timeout);
  m_loop.Unwatch(fd);
  outgoing->stream.close();
  if (outgoing->callback) {
    outgoing->callback(is_delivered);
  }
}

}  // namespace pistachiowalk
