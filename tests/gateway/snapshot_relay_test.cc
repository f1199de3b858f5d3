#include "gateway/snapshot_relay.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf.hpp>
#include <memory>

#include "base/system_clock.h"
#include "http1/narrow_link.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

using std::chrono::milliseconds;

// Ports of the tests' clusters, which run at the same time; the links' ports
// follow the services'.
constexpr uint16_t kChangePort = 18510;
constexpr uint16_t kFirstConfigPort = 18570;
constexpr uint16_t kLinkPortOffset = 30;
constexpr uint32_t kLinkMegabits = 10;
constexpr size_t kLinkBytesPerSecond = kLinkMegabits * 1000 * 1000 / 8;
// At which a gateway looks for peers with changes that it lacks.
constexpr Duration kLookInterval = milliseconds(500);
// A change must be in force 4 s after its acknowledgement, and peers learn
// within 1.2 s that a node has it.
constexpr Duration kTimeToSpread = milliseconds(2800);
constexpr const char* kPrefixName = "config";

// A store that never answers.
class SilentStore final : public PrefixStore {
 public:
  void List(const std::string&, const std::string&, PageCallback) override {}
  void WatchPrefix(const std::string&,
                   StoreRevision,
                   milliseconds,
                   ChangesCallback) override {}
};

// A config of 1,200 routes whose last one differs between versions.
std::string LargeConfig(StoreRevision version) {
  constexpr int kRoutes = 1200;
  std::string text = fmt::format(R"({{"version":{},"routes":[)", version);
  for (int route = 0; route < kRoutes; ++route) {
    text += fmt::format(
        R"({{"name":"route-{0}","prefix":"/services/{0}/of/the/network/",)"
        R"("service":"consejera","timeout-ms":{1},"max-attempts":2,)"
        R"("kind":"idempotent","hash":"{2:016x}{3:016x}{2:08x}",)"
        R"("methods":["GET","PUT"]}},)",
        route, route == kRoutes - 1 ? 800 + version : 800,
        route * 0x9e3779b97f4a7c15ULL, route * 0xc2b2ae3d27d4eb4fULL);
  }
  return text + "]}";
}

PrefixSnapshot SnapshotOf(StoreRevision revision) {
  const StorePosition position{.history = 1, .revision = revision};
  return PrefixSnapshot{
      .as_of = position,
      .newest_change = position,
      .items = {
          StoreItem{"op/config", LargeConfig(revision), revision},
      }};
}

// A node that the store rejects, behind a narrow link.
class Node {
 public:
  Node(EventLoop& loop, const Clock& clock, uint16_t port)
      : m_follower(
            loop,
            m_store,
            "op/",
            FollowerTimings{},
            port,
            PrefixFollower::Handlers{
                .replaced = [](const std::vector<StoreItem>&, ItemSource) {},
                .changed = [](const StoreChange&) {},
                .store_lost = [] {},
                .store_recovered = [] {}}),
        m_relay(loop, clock, kLinkMegabits),
        m_service(Serve(loop, clock, Address(port), m_relay)),
        m_link(loop,
               Address(port + kLinkPortOffset),
               Address(port),
               kLinkBytesPerSecond),
        m_address(Address(port + kLinkPortOffset)),
        m_random(port) {
    m_relay.AddFollower(kPrefixName, m_follower);
  }

  void Apply(const PrefixSnapshot& snapshot) {
    m_follower.ApplyPeerSnapshot(snapshot);
  }
  StorePosition as_of() const { return m_follower.as_of(); }
  std::vector<StoreItem> items() const { return m_follower.Snapshot().items; }
  const RelayTraffic& traffic() const { return m_relay.traffic(); }
  SnapshotPeer AsPeer() const {
    return SnapshotPeer{.newest_change = m_follower.newest_change(),
                        .is_in_own_data_center = true,
                        .link_megabits = kLinkMegabits,
                        .address = m_address,
                        .names_histories = true};
  }
  void SetPeers(std::function<std::vector<SnapshotPeer>()> peers) {
    m_peers = std::move(peers);
    m_relay.SetRefusedHandler([this] { CatchUp(); });
  }
  // Fetches changes that this node lacks, as a gateway does.
  void CatchUp() {
    std::vector<SnapshotPeer> candidates = m_peers();
    std::erase_if(candidates, [this](const SnapshotPeer& peer) {
      return m_relay.IsBusy(peer.address);
    });
    if (const auto peer = ChooseSnapshotPeer(candidates, as_of(), m_random)) {
      m_relay.Fetch(kPrefixName, *peer);
    }
  }

 private:
  static SocketAddress Address(int port) {
    return SocketAddress{.ip = "127.0.0.1",
                         .port = static_cast<uint16_t>(port)};
  }
  static std::unique_ptr<HttpService> Serve(EventLoop& loop,
                                            const Clock& clock,
                                            const SocketAddress& address,
                                            SnapshotRelay& relay) {
    return boost::leaf::try_handle_all(
        [&] {
          return HttpService::Create(
              loop, clock, address, ServerLimits{},
              [&relay](const ServerExchangePtr& call) { relay.Serve(call); });
        },
        [] { return std::unique_ptr<HttpService>(); });
  }

  SilentStore m_store;
  PrefixFollower m_follower;
  SnapshotRelay m_relay;
  std::unique_ptr<HttpService> m_service;
  NarrowLink m_link;
  SocketAddress m_address;
  std::mt19937_64 m_random;
  std::function<std::vector<SnapshotPeer>()> m_peers;
};

// Nodes of one data centre that follow each other in lockstep.
class Cluster {
 public:
  Cluster(size_t count, uint16_t first_port) {
    for (size_t number = 0; number < count; ++number) {
      m_nodes.push_back(std::make_unique<Node>(
          m_loop, m_clock, static_cast<uint16_t>(first_port + number)));
      m_nodes.back()->SetPeers([this] { return Peers(); });
    }
  }

  Node& node(size_t number) { return *m_nodes[number]; }
  size_t CountUpToDate(StoreRevision revision) const {
    return static_cast<size_t>(std::count_if(
        m_nodes.begin(), m_nodes.end(),
        [&](const auto& node) { return node->as_of().revision >= revision; }));
  }
  uint64_t WastedBytes() const {
    uint64_t bytes = 0;
    for (const auto& node : m_nodes) {
      bytes += node->traffic().wasted_bytes;
    }
    return bytes;
  }
  // Runs until all nodes have `revision`, for at most `limit`.
  void Spread(StoreRevision revision, Duration limit) {
    m_loop.Schedule(limit, [this] { m_loop.Stop(); });
    Look(revision);
    m_loop.Run();
  }

 private:
  void Look(StoreRevision revision) {
    if (CountUpToDate(revision) == m_nodes.size()) {
      m_loop.Stop();
      return;
    }
    for (const auto& node : m_nodes) {
      node->CatchUp();
    }
    m_loop.Schedule(kLookInterval, [this, revision] { Look(revision); });
  }

  std::vector<SnapshotPeer> Peers() const {
    std::vector<SnapshotPeer> peers;
    for (const auto& node : m_nodes) {
      peers.push_back(node->AsPeer());
    }
    return peers;
  }

  EventLoop m_loop;
  SystemClock m_clock;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

constexpr size_t kNodes = 14;

}  // namespace

Test(snapshot_relay, a_change_of_a_large_config_is_stuck_on_a_narrow_link) {
  Cluster cluster(kNodes, kChangePort);
  for (size_t number = 0; number < kNodes; ++number) {
    cluster.node(number).Apply(SnapshotOf(1));
  }
  cluster.node(0).Apply(SnapshotOf(2));
  cluster.Spread(2, kTimeToSpread);
  cr_expect_eq(cluster.CountUpToDate(2), kNodes, "%zu nodes have the change",
               cluster.CountUpToDate(2));
  cr_expect_eq(cluster.WastedBytes(), 0, "%zu bytes were wasted",
               static_cast<size_t>(cluster.WastedBytes()));
  for (size_t number = 0; number < kNodes; ++number) {
    cr_expect(cluster.node(number).items() == cluster.node(0).items());
  }
}

Test(snapshot_relay, a_first_large_config_is_stuck_on_a_narrow_link) {
  Cluster cluster(kNodes, kFirstConfigPort);
  cluster.node(0).Apply(SnapshotOf(2));
  cluster.Spread(2, kTimeToSpread);
  cr_expect_eq(cluster.CountUpToDate(2), kNodes, "%zu nodes have the config",
               cluster.CountUpToDate(2));
  cr_expect_eq(cluster.WastedBytes(), 0, "%zu bytes were wasted",
               static_cast<size_t>(cluster.WastedBytes()));
}
