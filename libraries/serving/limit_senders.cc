#include "serving/limit_senders.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiowalk {
namespace {

// Senders besides one for each request per second; the limit below which there
// is a single sender; and a bound for huge limits.
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
  if (std::find(nodes.begin(), nodes.end(), self) == nodes.end()) {
    return LimitSender{.may_send = false, .senders = senders};
  }
  const auto own = std::pair(Weight(worker, self), self);
  const auto ahead =
      std::count_if(nodes.begin(), nodes.end(), [&](const NodeId& node) {
        return std::pair(Weight(worker, node), node) > own;
      });
  return LimitSender{.may_send = static_cast<size_t>(ahead) < senders,
                     .senders = senders};
}

}  // namespace pistachiowalk
