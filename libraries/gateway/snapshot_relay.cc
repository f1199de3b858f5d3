#include "gateway/snapshot_relay.h"

#include "base/bounded_codec.h"
#include "gateway/gateway_log_events.h"

namespace pistachiowalk {
namespace {

constexpr std::string_view kPathWithoutHistory = "/followed/";
constexpr std::string_view kPathWithHistory = "/snapshots/";
constexpr Duration kTimeout = std::chrono::milliseconds(800);
// Size limits of keys and values in the store.
constexpr size_t kMaximumKeyBytes = 1024;
constexpr size_t kMaximumValueBytes = 4 * 1024 * 1024;
constexpr size_t kMaximumItems = 100000;

struct WireItem {
  StoreItem item;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveText(archive, item.key, kMaximumKeyBytes);
    ArchiveText(archive, item.value, kMaximumValueBytes);
    archive(item.revision);
  }
};

struct WireSnapshot {
  uint64_t as_of = 0;
  uint64_t newest_change = 0;
  std::vector<WireItem> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(as_of, newest_change);
    ArchiveList(archive, items, kMaximumItems);
  }
};

struct WireSnapshotOfHistory {
  uint64_t history = 0;
  WireSnapshot snapshot;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(history, snapshot);
  }
};

WireSnapshot ToWire(const PrefixSnapshot& snapshot) {
  WireSnapshot wire{.as_of = snapshot.as_of.revision,
                    .newest_change = snapshot.newest_change.revision};
  for (const StoreItem& item : snapshot.items) {
    wire.items.push_back(WireItem{item});
  }
  return wire;
}

PrefixSnapshot FromWire(const WireSnapshotOfHistory& wire) {
  PrefixSnapshot snapshot{
      .as_of = {.history = wire.history, .revision = wire.snapshot.as_of},
      .newest_change = {.history = wire.history,
                        .revision = wire.snapshot.newest_change}};
  for (const WireItem& item : wire.snapshot.items) {
    snapshot.items.push_back(item.item);
  }
  return snapshot;
}

}  // namespace

std::string EncodePrefixSnapshot(const PrefixSnapshot& snapshot,
                                 SnapshotFormat format) {
  switch (format) {
    case SnapshotFormat::kWithoutHistory:
      return EncodeMessage(ToWire(snapshot));
    case SnapshotFormat::kWithHistory:
      break;
  }
  return EncodeMessage(WireSnapshotOfHistory{.history = snapshot.as_of.history,
                                             .snapshot = ToWire(snapshot)});
}

std::optional<PrefixSnapshot> DecodePrefixSnapshot(std::string_view bytes,
                                                   SnapshotFormat format) {
  std::optional<WireSnapshotOfHistory> wire;
  switch (format) {
    case SnapshotFormat::kWithoutHistory:
      if (auto snapshot = DecodeMessage<WireSnapshot>(bytes)) {
        wire = WireSnapshotOfHistory{.snapshot = std::move(*snapshot)};
      }
      break;
    case SnapshotFormat::kWithHistory:
      wire = DecodeMessage<WireSnapshotOfHistory>(bytes);
      break;
  }
  return wire ? std::optional(FromWire(*wire)) : std::nullopt;
}

void SnapshotRelay::AddFollower(std::string name,
                                PrefixFollower& follower,
                                SnapshotObserver observer) {
  m_followers[std::move(name)] =
      Followed{.follower = &follower, .observer = std::move(observer)};
}

void SnapshotRelay::Serve(const ServerExchangePtr& exchange) {
  const std::string& target = exchange->head().target;
  for (const auto& [path, format] :
       {std::pair(kPathWithoutHistory, SnapshotFormat::kWithoutHistory),
        std::pair(kPathWithHistory, SnapshotFormat::kWithHistory)}) {
    const auto follower = target.starts_with(path)
                              ? m_followers.find(target.substr(path.size()))
                              : m_followers.end();
    if (follower != m_followers.end()) {
      const std::string body =
          EncodePrefixSnapshot(follower->second.follower->Snapshot(), format);
      m_traffic.served_bytes += body.size();
      exchange->Respond(200, {{"Content-Type", "application/octet-stream"}},
                        body);
      return;
    }
  }
  exchange->Respond(404, {}, "");
}

void SnapshotRelay::Fetch(const std::string& name, const SnapshotPeer& source) {
  if (m_pending.contains(name)) {
    return;
  }
  const SocketAddress& peer = source.address;
  const SnapshotFormat format = source.names_histories
                                    ? SnapshotFormat::kWithHistory
                                    : SnapshotFormat::kWithoutHistory;
  const std::string_view path =
      source.names_histories ? kPathWithHistory : kPathWithoutHistory;
  auto& http_client = m_pending[name];
  http_client = std::make_unique<PooledHttpClient>(m_loop, peer);
  http_client->Call(
      HttpClientRequest{.method = "GET",
                        .target = std::string(path) + name,
                        .timeout = kTimeout},
      [this, name, peer, format, started = m_clock.Now(),
       alive = std::weak_ptr(m_alive)](const HttpClientResponse& response) {
        if (alive.expired()) {
          return;
        }
        // NOTE: The PooledHttpClient is running this callback, so it is
        // destroyed in the next iteration of the loop.
        auto done = std::make_shared<std::unique_ptr<PooledHttpClient>>(
            std::move(m_pending[name]));
        m_pending.erase(name);
        m_loop.Post([done] { done->reset(); });
        const std::optional<PrefixSnapshot> snapshot =
            response.status == 200 ? DecodePrefixSnapshot(response.body, format)
                                   : std::nullopt;
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                m_clock.Now() - started);
        (snapshot ? m_traffic.fetched_bytes : m_traffic.wasted_bytes) +=
            response.received_bytes;
        LogEvent(
            snapshot ? gateway_log::kRelayFetched : gateway_log::kRelayFailed,
            {{"prefix", name},
             {"peer", FormatSocketAddress(peer)},
             {"status", std::to_string(response.status)},
             {"bytes", std::to_string(response.received_bytes)},
             {"ms", std::to_string(elapsed.count())}});
        if (!snapshot) {
          return;
        }
        const Followed& followed = m_followers.at(name);
        followed.follower->ApplyPeerSnapshot(*snapshot);
        followed.observer(*snapshot);
      });
}

}  // namespace pistachiowalk
