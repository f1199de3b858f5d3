#include "gateway/stream_origin_directory.h"

#include <algorithm>
#include <memory>

#include "base/system_clock.h"
#include "following/stream_keepers.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;

StreamOrigin At(const std::string& version) {
  return StreamOrigin{.service = ServiceName("chat"),
                      .version = SoftwareVersion(version)};
}

// Nodes whose messages arrive in the next iteration of the loop.
class Cluster {
 public:
  explicit Cluster(size_t count) {
    for (size_t number = 0; number < count; ++number) {
      m_nodes.push_back(MakeNode(number));
    }
  }

  StreamOriginDirectory& node(size_t number) { return *m_nodes[number]; }
  // The others have not noticed that it has ended.
  void Silence(size_t number) { m_nodes[number].reset(); }
  void Restart(size_t number) { m_nodes[number] = MakeNode(number); }
  // The origin that a node finds, and how long it takes.
  std::pair<std::optional<StreamOrigin>, Duration> Find(size_t number,
                                                        StreamKey key) {
    std::optional<StreamOrigin> found;
    int calls = 0;
    const TimePoint start = m_clock.Now();
    Duration elapsed{};
    node(number).Find(key, [&](const std::optional<StreamOrigin>& origin) {
      found = origin;
      ++calls;
      elapsed = m_clock.Now() - start;
    });
    Run(milliseconds(300));
    cr_assert(calls == 1, "%d calls", calls);
    return std::pair(found, elapsed);
  }
  void Run(Duration time) {
    m_loop.Schedule(time, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

 private:
  static SocketAddress AddressOf(size_t number) {
    return SocketAddress{.ip = "10.0.0.1",
                         .port = static_cast<uint16_t>(number)};
  }

  std::unique_ptr<StreamOriginDirectory> MakeNode(size_t number) {
    const auto send = [this](const std::vector<SocketAddress>& receivers,
                             const auto& deliver) {
      for (const SocketAddress& receiver : receivers) {
        m_loop.Post([this, receiver, deliver] {
          if (m_nodes[receiver.port]) {
            deliver(*m_nodes[receiver.port]);
          }
        });
      }
    };
    return std::make_unique<StreamOriginDirectory>(
        m_loop, m_clock,
        StreamOriginDirectory::Ports{
            .keepers =
                [this, number](StreamKey key, size_t count) {
                  std::vector<NodeId> nodes;
                  for (size_t other = 0; other < m_nodes.size(); ++other) {
                    if (other != number) {
                      nodes.emplace_back(std::to_string(other));
                    }
                  }
                  std::vector<SocketAddress> addresses;
                  for (const NodeId& keeper :
                       ChooseStreamKeepers(key, nodes, count)) {
                    addresses.push_back(AddressOf(std::stoul(keeper.value())));
                  }
                  return addresses;
                },
            .send_report =
                [send](const StreamOriginReport& report,
                       const std::vector<SocketAddress>& receivers) {
                  send(receivers, [report](StreamOriginDirectory& node) {
                    node.OnReport(report);
                  });
                },
            .send_query =
                [send, number](const StreamOriginQuery& query,
                               const std::vector<SocketAddress>& receivers) {
                  send(receivers, [query, number](StreamOriginDirectory& node) {
                    node.OnQuery(query, AddressOf(number));
                  });
                }});
  }

  EventLoop m_loop;
  SystemClock m_clock;
  std::vector<std::unique_ptr<StreamOriginDirectory>> m_nodes;
};

constexpr size_t kNodes = 9;
constexpr StreamKey kKey{42};

}  // namespace

Test(stream_origin_directory, the_end_of_a_node_loses_the_origins_it_knew) {
  Cluster cluster(kNodes);
  cluster.node(0).NoteBegun(kKey, At("v1"));
  cluster.Run(milliseconds(20));
  cluster.Silence(0);
  for (size_t number = 1; number < kNodes; ++number) {
    cr_assert(cluster.Find(number, kKey).first == At("v1"), "node %zu", number);
  }
}

Test(stream_origin_directory, a_silent_node_holds_up_a_take_up) {
  Cluster cluster(kNodes);
  for (size_t number = 1; number < kNodes; ++number) {
    cluster.Silence(number);
  }
  const auto [origin, elapsed] = cluster.Find(0, kKey);
  cr_assert(!origin);
  cr_assert(elapsed < milliseconds(250));
}

Test(stream_origin_directory, an_unknown_stream_waits_for_the_timeout) {
  Cluster cluster(kNodes);
  const auto [origin, elapsed] = cluster.Find(0, kKey);
  cr_assert(!origin);
  cr_assert(elapsed < milliseconds(100));
}

Test(stream_origin_directory, the_end_of_all_nodes_loses_recorded_origins) {
  Cluster cluster(kNodes);
  cluster.node(0).NoteBegun(kKey, At("v1"));
  const StreamOriginRecord record = cluster.node(0).own_streams().Record(
      [](const ServiceName&) { return true; });
  for (size_t number = 0; number < kNodes; ++number) {
    cluster.Restart(number);
  }
  cluster.node(0).Restore(record);
  cluster.Run(milliseconds(2000));
  for (size_t number = 0; number < kNodes; ++number) {
    cr_assert(cluster.Find(number, kKey).first == At("v1"), "node %zu", number);
  }
}
