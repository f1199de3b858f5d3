#include "net/replay_filter.h"

#include <chrono>

namespace pistachiowalk {
namespace {

constexpr uint64_t kWindowBits = 64;
constexpr size_t kExpiryScanThreshold = 4096;
constexpr Duration kSenderLifetime = std::chrono::hours(2);

}  // namespace

bool ReplayFilter::Accept(const NodeEnvelope& envelope, TimePoint now) {
  if (m_senders.size() >= kExpiryScanThreshold) {
    RemoveExpiredSenders(now);
  }
  Window& window = m_senders[envelope.sender];
  if (envelope.incarnation < window.incarnation) {
    return false;
  }
  window.last_received_at = now;
  if (envelope.incarnation > window.incarnation) {
    window.incarnation = envelope.incarnation;
    window.highest = envelope.sequence;
    window.seen = 1;
    return true;
  }
  if (envelope.sequence > window.highest) {
    const uint64_t shift = envelope.sequence - window.highest;
    window.seen = shift < kWindowBits ? window.seen << shift : 0;
    window.seen |= 1U;
    window.highest = envelope.sequence;
    return true;
  }
  const uint64_t age = window.highest - envelope.sequence;
  const uint64_t bit = age < kWindowBits ? uint64_t{1} << age : 0;
  if (bit == 0 || (window.seen & bit) != 0) {
    return false;
  }
  window.seen |= bit;
  return true;
}

void ReplayFilter::RemoveExpiredSenders(TimePoint now) {
  std::erase_if(m_senders, [now](const auto& item) {
    return now - item.second.last_received_at > kSenderLifetime;
  });
}

}  // namespace pistachiowalk
