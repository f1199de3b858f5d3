#include <utility>

#include "bundle/bundle_replicator.h"

namespace pistachiowalk {
namespace {

// A request may be repeated if no content has arrived within this time.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(300);

}  // namespace

void BundleReplicator::Receive(const NodeEnvelope& envelope,
                               TimePoint now,
                               BundleReplicatorCommands& commands) {
  switch (envelope.kind) {
    case NodeMessageKind::kBundleOffer:
      if (auto message = DecodeMessage<BundleOfferMessage>(envelope.payload)) {
        OnOffer(envelope.sender, *message, now, commands);
      }
      return;
    case NodeMessageKind::kBundleRequest:
      if (auto message =
              DecodeMessage<BundleRequestMessage>(envelope.payload)) {
        OnRequest(envelope.sender, *message, commands);
      }
      return;
    case NodeMessageKind::kBundleContent:
      if (auto message =
              DecodeMessage<BundleContentMessage>(envelope.payload)) {
        OnContent(envelope.sender, *message, now, commands);
      }
      return;
    default:
      return;
  }
}

void BundleReplicator::OnOffer(const NodeId& from,
                               const BundleOfferMessage& message,
                               TimePoint now,
                               BundleReplicatorCommands& commands) {
  if (message.version < m_version) {
    if (message.reply == OfferReply::kWanted) {
      SendOffer(from, OfferReply::kNone, commands);
    }
    return;
  }
  if (message.version == m_version) {
    return;
  }
  if (m_version == 0) {
    if (!m_best_join_offer) {
      m_best_join_offer = PendingOffer{from, message.version, now};
    } else if (m_best_join_offer->version < message.version) {
      m_best_join_offer->from = from;
      m_best_join_offer->version = message.version;
    }
    return;
  }
  if (IsLocal(from)) {
    Request(from, now, commands);
  } else if (!m_pending_remote_offer) {
    m_pending_remote_offer = PendingOffer{from, message.version, now};
  }
}

void BundleReplicator::Request(const NodeId& from,
                               TimePoint now,
                               BundleReplicatorCommands& commands) {
  if (now < m_next_request) {
    return;
  }
  m_next_request = now + kRequestTimeout;
  commands.push_back(SendBundleMessage{
      from, NodeMessageKind::kBundleRequest,
      EncodeMessage(BundleRequestMessage{m_version, m_hash})});
}

void BundleReplicator::SendOffer(const NodeId& to,
                                 OfferReply reply,
                                 BundleReplicatorCommands& commands) {
  commands.push_back(SendBundleMessage{
      to, NodeMessageKind::kBundleOffer,
      EncodeMessage(BundleOfferMessage{m_version, m_hash, reply})});
}

void BundleReplicator::OnRequest(const NodeId& from,
                                 const BundleRequestMessage& message,
                                 BundleReplicatorCommands& commands) {
  if (m_version == 0 || message.version >= m_version) {
    return;
  }
  commands.push_back(
      SendBundleMessage{from, NodeMessageKind::kBundleContent,
                        EncodeMessage(ContentSince(message.hash))});
}

// Returns the deltas from the text with `base_hash`, or the complete text if
// they are not in the history.
BundleContentMessage BundleReplicator::ContentSince(uint64_t base_hash) const {
  BundleContentMessage content{.version = m_version,
                               .origin = m_broadcast_root,
                               .signatures = m_envelope->signatures};
  bool is_found = false;
  for (const VersionDelta& step : m_history) {
    is_found = is_found || step.base_hash == base_hash;
    if (is_found) {
      content.chain.push_back(step);
    }
  }
  if (!is_found) {
    content.text = m_envelope->text;
  }
  return content;
}

void BundleReplicator::OnContent(const NodeId& from,
                                 const BundleContentMessage& message,
                                 TimePoint now,
                                 BundleReplicatorCommands& commands) {
  if (message.version <= m_version) {
    return;
  }
  if (message.chain.empty()) {
    m_broadcast_root = message.origin;
    Adopt({message.text, message.signatures}, {}, BundleSource::kPeer, now,
          commands);
    return;
  }
  auto text = m_envelope ? ApplyChain(m_envelope->text, m_hash, message.chain)
                         : std::nullopt;
  if (text) {
    m_broadcast_root = message.origin;
    Adopt({std::move(*text), message.signatures}, message.chain,
          BundleSource::kPeer, now, commands);
  } else if (m_version != 0) {
    Request(from, now, commands);
  }
}

size_t BundleReplicator::StateBytes() const {
  size_t bytes = sizeof(*this) + m_history_bytes;
  bytes += m_history.size() * sizeof(VersionDelta);
  bytes += m_envelope ? m_envelope->text.size() : 0;
  for (const auto* nodes :
       {&m_peers.local, &m_peers.watchers, &m_peers.remote}) {
    for (const NodeId& node : *nodes) {
      bytes += sizeof(node) + node.value().size();
    }
  }
  return bytes;
}

}  // namespace pistachiowalk
