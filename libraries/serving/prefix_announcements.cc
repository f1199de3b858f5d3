#include "serving/prefix_announcements.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Prefixes per second that all nodes announce together; 16 bytes each, which
// every node receives.
constexpr double kPrefixesPerSecond = 256.0;
// A node may announce this many at once after it has announced none.
constexpr double kBurst = 8.0;
// A shorter prefix is read in about the time of a fetch.
constexpr double kMinimumTokens = 1024.0;
constexpr size_t kMaximumNoted = 256;

}  // namespace

PrefixForwarding PlanForwarding(const DataCenterName& announced_in,
                                const std::optional<DataCenterName>& sent_from,
                                const DataCenterName& own) {
  if (sent_from != announced_in) {
    return PrefixForwarding::kNone;
  }
  return announced_in == own ? PrefixForwarding::kToOtherDataCenters
                             : PrefixForwarding::kToOwnDataCenter;
}

void PrefixAnnouncements::SetNodes(size_t nodes) {
  m_nodes = static_cast<double>(std::max<size_t>(1, nodes));
}

void PrefixAnnouncements::Note(const ReadPrefix& read, double tokens) {
  const auto is_same = [&](const Noted& noted) { return noted.read == read; };
  if (tokens < kMinimumTokens || m_noted.size() >= kMaximumNoted ||
      std::any_of(m_noted.begin(), m_noted.end(), is_same)) {
    return;
  }
  m_noted.push_back(Noted{.read = read, .tokens = tokens});
}

std::vector<ReadPrefix> PrefixAnnouncements::Take(TimePoint now) {
  RefillBucket(m_allowance, kPrefixesPerSecond / m_nodes, kBurst, now);
  std::stable_sort(
      m_noted.begin(), m_noted.end(),
      [](const Noted& a, const Noted& b) { return a.tokens > b.tokens; });
  std::vector<ReadPrefix> taken;
  for (const Noted& noted : m_noted) {
    if (!TakeTokens(m_allowance, 1.0)) {
      break;
    }
    taken.push_back(noted.read);
  }
  m_noted.clear();
  return taken;
}

}  // namespace pistachiowalk
