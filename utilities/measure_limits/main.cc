#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "routing/limit_share.h"

// Measures how far nodes exceed a customer's limit, with data centres connected
// and partitioned, while demand moves between nodes and messages are lost.
namespace pistachiowalk::measure {
namespace {

using Generator = std::mt19937_64;

struct FleetSize {
  uint32_t data_centers = 1;
  uint32_t nodes_per_data_center = 1;
};

constexpr std::array<FleetSize, 4> kSizes{
    {{3, 1}, {4, 2}, {7, 20}, {18, 139}}};  // 3, 8, 140 and 2,502 nodes.
constexpr double kLimit = 1000.0;
// Offered load over the limit.
constexpr double kOfferedLoadRatio = 2.0;
constexpr double kLossShare = 0.05;
constexpr int kSeconds = 120;
constexpr int kWarmUpSeconds = 15;
constexpr int kPartitionStart = 40;
constexpr int kPartitionEnd = 80;
constexpr int kDemandPeriod = 20;
constexpr int kWindowSeconds = 5;

struct Node {
  LimitShare share;
  double demand = 0.0;
  double reported = 0.0;
};

struct DataCenter {
  LimitShare share;
  std::vector<Node> nodes;
  double reported = 0.0;
};

enum class Links { kConnected, kPartitioned };

double TotalReported(const std::vector<DataCenter>& data_centers) {
  double total = 0.0;
  for (const DataCenter& data_center : data_centers) {
    total += data_center.reported;
  }
  return total;
}

class Fleet {
 public:
  Fleet(FleetSize size, uint64_t seed) : m_generator(seed) {
    for (uint32_t i = 0; i < size.data_centers; ++i) {
      DataCenter data_center{.share = LimitShare(kLimit, size.data_centers)};
      for (uint32_t j = 0; j < size.nodes_per_data_center; ++j) {
        data_center.nodes.push_back(
            Node{.share = LimitShare(kLimit / size.data_centers,
                                     size.nodes_per_data_center)});
      }
      m_data_centers.push_back(std::move(data_center));
    }
  }

  // Moves demand: data centres and nodes become hot and cold.
  void MoveDemand() {
    std::exponential_distribution<double> weight(1.0);
    double total = 0.0;
    for (DataCenter& data_center : m_data_centers) {
      const double center_weight = weight(m_generator);
      for (Node& node : data_center.nodes) {
        node.demand = center_weight * weight(m_generator);
        total += node.demand;
      }
    }
    for (DataCenter& data_center : m_data_centers) {
      for (Node& node : data_center.nodes) {
        node.demand *= kLimit * kOfferedLoadRatio / total;
      }
    }
  }

  void ExchangeSums(TimePoint now, Links links) {
    if (links == Links::kConnected) {
      const DemandSum sum{
          .total = TotalReported(m_data_centers),
          .members = static_cast<uint32_t>(m_data_centers.size()),
          .summed_at = now};
      for (DataCenter& data_center : m_data_centers) {
        Deliver(data_center.share, data_center.reported, sum, now);
      }
    }
    for (DataCenter& data_center : m_data_centers) {
      ExchangeWithin(data_center, now);
    }
  }

  double Admitted(TimePoint now) const {
    double admitted = 0.0;
    for (const DataCenter& data_center : m_data_centers) {
      for (const Node& node : data_center.nodes) {
        admitted += std::min(node.demand, node.share.Share(now));
      }
    }
    return admitted;
  }

 private:
  bool IsLost() {
    return std::uniform_real_distribution<double>(0, 1)(m_generator) <
           kLossShare;
  }

  void Deliver(LimitShare& share,
               double reported,
               const DemandSum& sum,
               TimePoint now) {
    if (!IsLost()) {
      share.Apply(reported, sum, now + std::chrono::milliseconds(200));
    }
  }

  void ExchangeWithin(DataCenter& data_center, TimePoint now) {
    DemandSum sum{.members = static_cast<uint32_t>(data_center.nodes.size()),
                  .summed_at = now};
    for (Node& node : data_center.nodes) {
      if (!IsLost()) {
        node.reported = node.demand;
      }
      sum.total += node.reported;
    }
    data_center.reported = sum.total;
    const double limit = data_center.share.Share(now);
    for (Node& node : data_center.nodes) {
      node.share.SetLimit(limit, now);
      Deliver(node.share, node.reported, sum, now);
    }
  }

  Generator m_generator;
  std::vector<DataCenter> m_data_centers;
};

struct LimitFigures {
  double over_admission = 0.0;
  double mean_use = 0.0;
};

LimitFigures Simulate(FleetSize size, uint64_t seed, Links partition_links) {
  Fleet fleet(size, seed);
  std::vector<double> admitted;
  for (int second = 0; second < kSeconds; ++second) {
    const TimePoint now{std::chrono::seconds(second)};
    if (second % kDemandPeriod == 0) {
      fleet.MoveDemand();
    }
    const bool is_partition_phase =
        second >= kPartitionStart && second < kPartitionEnd;
    fleet.ExchangeSums(
        now, is_partition_phase ? partition_links : Links::kConnected);
    admitted.push_back(fleet.Admitted(now + std::chrono::milliseconds(500)));
  }
  LimitFigures figures;
  for (int start = kWarmUpSeconds; start + kWindowSeconds <= kSeconds;
       ++start) {
    double window = 0.0;
    for (int i = 0; i < kWindowSeconds; ++i) {
      window += admitted[start + i] / kWindowSeconds;
    }
    figures.over_admission =
        std::max(figures.over_admission, window / kLimit - 1.0);
  }
  for (int second = kWarmUpSeconds; second < kSeconds; ++second) {
    figures.mean_use += admitted[second] / kLimit / (kSeconds - kWarmUpSeconds);
  }
  return figures;
}

void Print(uint32_t nodes, const char* links, const LimitFigures& figures) {
  std::printf("limits.%u.%s.over_admission: %.4f share\n", nodes, links,
              figures.over_admission);
  std::printf("limits.%u.%s.mean_use: %.4f share\n", nodes, links,
              figures.mean_use);
}

}  // namespace
}  // namespace pistachiowalk::measure

int main(int argc, char** argv) {
  using namespace pistachiowalk::measure;
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (const FleetSize size : kSizes) {
    const uint32_t nodes = size.data_centers * size.nodes_per_data_center;
    Print(nodes, "joined", Simulate(size, seed, Links::kConnected));
    Print(nodes, "cut_off", Simulate(size, seed, Links::kPartitioned));
  }
  return 0;
}
