#include "following/transfer_admission.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

constexpr uint32_t kUnknownLinkMegabits = 10;
constexpr double kBytesPerMegabit = 1e6 / 8;
// Time for which admitted transfers may wait for the link.
constexpr Duration kMaximumBacklog = std::chrono::milliseconds(300);
// A refusal and the next attempt cost as much as a transfer of this size.
constexpr size_t kShortTransferBytes = 8 * 1024;

}  // namespace

TransferAdmission::TransferAdmission(uint32_t link_megabits)
    : m_bytes_per_second(kBytesPerMegabit * (link_megabits == 0
                                                 ? kUnknownLinkMegabits
                                                 : link_megabits)) {}

bool TransferAdmission::Admit(size_t bytes, TimePoint now) {
  const TimePoint begins = std::max(m_busy_until, now);
  if (bytes > kShortTransferBytes && begins - now > kMaximumBacklog) {
    return false;
  }
  m_busy_until =
      begins +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(bytes) / m_bytes_per_second));
  return true;
}

}  // namespace pistachiowalk
