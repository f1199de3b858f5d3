#include "gateway/snapshot_relay.h"

#include "base/bounded_codec.h"
#include "gateway/gateway_log_events.h"

namespace pistachiowalk {
namespace {

constexpr std::string_view kPath = "/followed/";
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

}  // namespace

std::string EncodePrefixSnapshot(const PrefixSnapshot& snapshot) {
  WireSnapshot wire{.as_of = snapshot.as_of,
                    .newest_change = snapshot.newest_change};
  for (const StoreItem& item : snapshot.items) {
    wire.items.push_back(WireItem{item});
  }
  return EncodeMessage(std::move(wire));
}

std::optional<PrefixSnapshot> DecodePrefixSnapshot(std::string_view bytes) {
  const std::optional<WireSnapshot> wire = DecodeMessage<WireSnapshot>(bytes);
  if (!wire) {
    return std::nullopt;
  }
  PrefixSnapshot snapshot{.as_of = wire->as_of,
                          .newest_change = wire->newest_change};
  for (const WireItem& item : wire->items) {
    snapshot.items.push_back(item.item);
  }
  return snapshot;
}

void SnapshotRelay::AddFollower(std::string name, PrefixFollower& follower) {
  m_followers[std::move(name)] = &follower;
}

void SnapshotRelay::Serve(const ServerExchangePtr& exchange) const {
  const std::string& target = exchange->head().target;
  const auto follower = target.starts_with(kPath)
                            ? m_followers.find(target.substr(kPath.size()))
                            : m_followers.end();
  if (follower == m_followers.end()) {
    exchange->Respond(404, {}, "");
    return;
  }
  exchange->Respond(200, {{"Content-Type", "application/octet-stream"}},
                    EncodePrefixSnapshot(follower->second->Snapshot()));
}

void SnapshotRelay::Fetch(const std::string& name, const SocketAddress& peer) {
  if (m_pending.contains(name)) {
    return;
  }
  auto& http_client = m_pending[name];
  http_client = std::make_unique<PooledHttpClient>(m_loop, peer);
  http_client->Call(
      HttpClientRequest{.method = "GET",
                        .target = std::string(kPath) + name,
                        .timeout = kTimeout},
      [this, name, peer,
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
            response.status == 200 ? DecodePrefixSnapshot(response.body)
                                   : std::nullopt;
        if (!snapshot) {
          LogEvent(gateway_log::kRelayFailed,
                   {{"prefix", name},
                    {"peer", FormatSocketAddress(peer)},
                    {"status", std::to_string(response.status)}});
          return;
        }
        m_followers.at(name)->ApplyPeerSnapshot(*snapshot);
      });
}

}  // namespace pistachiowalk
