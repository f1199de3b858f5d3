#include "serving/limit_senders.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiowalk {
namespace {

// Senders of a worker whose limit is near zero, and below which limit there is
// only one.
constexpr double kFirstSenders = 3.0;
constexpr double kSingleSenderLimit = 0.5;
constexpr double kMaximumSenders = 1000.0;

uint64_t Weight(uint64_t worker, const NodeId& node) {
  return XXH3_64bits_withSeed(node.value().data(), node.value().size(), worker);
}

}  // namespace

LimitSender ChooseLimitSender(uint64_t worker,
                              double requests_per_second,
                              const NodeId& self,
                              const std::vector<NodeId>& nodes) {
  const double wanted =
      requests_per_second < kSingleSenderLimit
          ? 1.0
          : std::min(kMaximumSenders,
                     kFirstSenders + std::floor(requests_per_second));
  const auto senders = static_cast<uint32_t>(
      std::min(wanted, static_cast<double>(std::max<size_t>(1, nodes.size()))));
  const auto own = std::pair(Weight(worker, self), self);
  uint32_t ahead = 0;
  bool is_candidate = false;
  for (const NodeId& node : nodes) {
    is_candidate |= node == self;
    ahead += std::pair(Weight(worker, node), node) > own ? 1 : 0;
  }
  return LimitSender{.may_send = is_candidate && ahead < senders,
                     .senders = senders};
}

}  // namespace pistachiowalk
