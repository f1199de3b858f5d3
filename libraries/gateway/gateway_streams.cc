#include <algorithm>
#include <utility>

#include "following/stream_keepers.h"
#include "gateway/gateway.h"

// Part of Gateway: knows which workers began the streams that callers resume.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Versions that have left long ago are dropped at this interval.
constexpr Duration kVersionsInterval = milliseconds(1000);
constexpr Duration kRestoreInterval = milliseconds(1000);
constexpr Duration kMinimumRecordInterval = milliseconds(200);
// Share of the store's writes that all nodes' records of streams may take.
constexpr double kRecordedShareOfWrites = 0.5;
// After this time a node that has started has read its record and heard of
// those of the others.
constexpr Duration kLearningTime = milliseconds(2500);

}  // namespace

StreamOriginDirectory::Ports Gateway::MakeStreamPorts() {
  return StreamOriginDirectory::Ports{
      .keepers = [this](StreamKey key,
                        size_t count) { return StreamKeepers(key, count); },
      .send_report =
          [this](const StreamOriginReport& report,
                 const std::vector<SocketAddress>& receivers) {
            m_digest_exchange->Send(report, receivers);
          },
      .send_query =
          [this](const StreamOriginQuery& query,
                 const std::vector<SocketAddress>& receivers) {
            m_digest_exchange->Send(query, receivers);
          }};
}

std::vector<SocketAddress> Gateway::StreamKeepers(StreamKey key,
                                                  size_t count) const {
  // NOTE: In a large deployment only nodes of this data centre are heard
  // directly. Callers return to nodes of their own data centre.
  std::vector<NodeId> nodes;
  for (const auto& [node, peer] : m_peers.peers()) {
    if (!peer.is_silent) {
      nodes.push_back(node);
    }
  }
  return AddressesOf(ChooseStreamKeepers(key, nodes, count));
}

int64_t Gateway::ClusterMilliseconds() const {
  return std::chrono::duration_cast<milliseconds>(
             m_cluster_time.At(m_ports.clock.Now()).time_since_epoch())
      .count();
}

std::optional<SoftwareVersion> Gateway::OnlyVersion(
    const ServiceName& service) const {
  return m_service_versions.OnlyVersion(service, ClusterMilliseconds());
}

void Gateway::UpdateServiceVersions() {
  const TimePoint now = m_ports.clock.Now();
  const uint64_t revision = m_endpoint_catalog.revision();
  if (!m_endpoint_follower->has_state() ||
      (revision == m_versions_endpoints_revision &&
       now - m_versions_updated_at < kVersionsInterval)) {
    return;
  }
  m_versions_endpoints_revision = revision;
  m_versions_updated_at = now;
  ServiceVersions::ListedVersions listed;
  for (const auto& [id, entry] : m_endpoint_catalog.entries()) {
    listed.emplace(entry.service, entry.version);
  }
  m_rollouts.SetListedVersions(listed);
  m_service_versions.Update(listed, ClusterMilliseconds());
}

Duration Gateway::StreamRecordInterval() const {
  const double nodes = static_cast<double>(m_peers.peers().size()) + 1.0;
  const double writes_per_second =
      kRecordedShareOfWrites * std::max(1U, m_settings.store_writes_per_second);
  return std::max(
      kMinimumRecordInterval,
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(nodes / writes_per_second)));
}

bool Gateway::MayLearnOrigins() const {
  return m_ports.clock.Now() - m_started_at < kLearningTime ||
         !m_stream_record.is_restored() || !m_service_versions.has_record();
}

void Gateway::RecordStreams() {
  const TimePoint now = m_ports.clock.Now();
  if (now - m_streams_recorded_at < StreamRecordInterval()) {
    return;
  }
  m_streams_recorded_at = now;
  m_stream_record.Restore();
  const StreamOriginRecord record = m_stream_origins.own_streams().Record(
      [this](const ServiceName& service) { return !OnlyVersion(service); });
  if (!record.streams.empty()) {
    m_stream_record.Write(record, m_stream_origins.own_streams().revision());
  }
}

bool Gateway::AskForVersions(ListRefresher::Callback ended) {
  // NOTE: A list shows no version that came and left since the node's last one.
  return m_version_record.Refresh(
      [this, ended = std::move(ended)](bool is_read) {
        if (!is_read || !AskForEndpoints(ended)) {
          ended(false);
        }
      });
}

void Gateway::RecordServiceVersions() {
  const TimePoint now = m_ports.clock.Now();
  if (now - m_versions_restore_tried_at >= kRestoreInterval) {
    m_versions_restore_tried_at = now;
    m_version_record.Restore();
  }
  if (m_lease.MayAct()) {
    m_version_record.Write(ClusterMilliseconds());
  }
}

}  // namespace pistachiowalk
