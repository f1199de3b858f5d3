#include "gateway/gateway.h"

// Part of Gateway: exchanges with peers which endpoints have read which
// prefixes, so that engines fetch them from one another instead of reading them
// again.
namespace pistachiowalk {
namespace {

// Interval of announcements. A prefix is most often asked for again within some
// seconds.
constexpr Duration kAnnouncementInterval = std::chrono::milliseconds(300);

}  // namespace

void Gateway::NotePrefixRead(uint64_t endpoint_key,
                             std::span<const PrefixBlock> shared_prefix) {
  double tokens = 0.0;
  for (const PrefixBlock& block : shared_prefix) {
    tokens += block.tokens;
  }
  if (!shared_prefix.empty()) {
    m_endpoints.prefixes().RecordRead(endpoint_key, shared_prefix.back().hash,
                                      m_ports.clock.Now());
    m_prefix_announcements.Note(ReadPrefix{.endpoint_key = endpoint_key,
                                           .prefix = shared_prefix.back().hash},
                                tokens);
  }
}

void Gateway::ApplyReadPrefixes(const std::vector<ReadPrefix>& prefixes) {
  const TimePoint now = m_ports.clock.Now();
  for (const ReadPrefix& read : prefixes) {
    m_endpoints.prefixes().RecordRead(read.endpoint_key, read.prefix, now);
  }
}

std::optional<DataCenterName> Gateway::DataCenterOf(
    const SocketAddress& peer) const {
  for (const auto& [node, known] : m_peers.peers()) {
    if (known.entry.address == peer) {
      return known.entry.data_center;
    }
  }
  return std::nullopt;
}

void Gateway::OnReadPrefixes(const ReadPrefixes& message,
                             const SocketAddress& from) {
  ApplyReadPrefixes(message.prefixes);
  if (!m_digest_plan.represents_data_center) {
    return;
  }
  switch (PlanForwarding(message.data_center, DataCenterOf(from),
                         m_settings.data_center)) {
    case PrefixForwarding::kNone:
      return;
    case PrefixForwarding::kToOwnDataCenter:
      m_digest_exchange->Send(message, AddressesOf(m_digest_plan.direct));
      return;
    case PrefixForwarding::kToOtherDataCenters: {
      std::vector<ReadPrefix>& forwarded = m_prefixes_to_forward.prefixes;
      const size_t room = kMaximumAnnouncedPrefixes - forwarded.size();
      const auto count =
          static_cast<ptrdiff_t>(std::min(room, message.prefixes.size()));
      forwarded.insert(forwarded.end(), message.prefixes.begin(),
                       message.prefixes.begin() + count);
      return;
    }
  }
}

void Gateway::StepPrefixes() {
  const TimePoint now = m_ports.clock.Now();
  if (now - m_prefixes_sent_at < kAnnouncementInterval) {
    return;
  }
  m_prefixes_sent_at = now;
  m_prefix_announcements.SetNodes(m_peers.peers().size() + 1);
  ReadPrefixes own{.data_center = m_settings.data_center,
                   .prefixes = m_prefix_announcements.Take(now)};
  if (!own.prefixes.empty()) {
    m_digest_exchange->Send(own, AddressesOf(m_digest_plan.direct));
  }
  if (!m_digest_plan.represents_data_center) {
    m_prefixes_to_forward.prefixes.clear();
    return;
  }
  m_prefixes_to_forward.data_center = m_settings.data_center;
  std::vector<ReadPrefix>& forwarded = m_prefixes_to_forward.prefixes;
  forwarded.insert(forwarded.end(), own.prefixes.begin(), own.prefixes.end());
  if (forwarded.size() > kMaximumAnnouncedPrefixes) {
    forwarded.resize(kMaximumAnnouncedPrefixes);
  }
  if (!forwarded.empty()) {
    m_digest_exchange->Send(m_prefixes_to_forward,
                            AddressesOf(m_digest_plan.remote));
  }
  forwarded.clear();
}

}  // namespace pistachiowalk
