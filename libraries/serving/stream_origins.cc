#include "serving/stream_origins.h"

#include <xxhash.h>

namespace pistachiowalk {
namespace {

// Bounds the memory; the oldest are dropped first.
constexpr size_t kMaximumRecords = 65536;

}  // namespace

StreamKey KeyOfStream(const RequestId& first_attempt) {
  return StreamKey{
      XXH3_64bits(first_attempt.value().data(), first_attempt.value().size())};
}

void StreamOrigins::Record(StreamKey key,
                           const StreamOrigin& origin,
                           TimePoint now) {
  const auto [known, is_new] =
      m_origins.try_emplace(key, Entry{.origin = origin});
  known->second.recorded_at = now;
  if (!is_new && known->second.origin != origin) {
    known->second.origin.reset();
  }
  m_order.push_back(Recorded{.key = key, .at = now});
  if (m_order.size() > kMaximumRecords) {
    Forget(m_order.front());
    m_order.pop_front();
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(StreamKey key,
                                                TimePoint now) const {
  const auto known = m_origins.find(key);
  if (known == m_origins.end() ||
      now - known->second.recorded_at >= m_lifetime) {
    return std::nullopt;
  }
  return known->second.origin;
}

void StreamOrigins::Step(TimePoint now) {
  while (!m_order.empty() && now - m_order.front().at >= m_lifetime) {
    Forget(m_order.front());
    m_order.pop_front();
  }
}

void StreamOrigins::Forget(const Recorded& recorded) {
  const auto known = m_origins.find(recorded.key);
  if (known != m_origins.end() && known->second.recorded_at == recorded.at) {
    m_origins.erase(known);
  }
}

}  // namespace pistachiowalk
