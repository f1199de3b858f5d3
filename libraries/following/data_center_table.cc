#include "following/data_center_table.h"

#include "following/following_log_events.h"

namespace pistachiowalk {

bool DataCenterTable::Apply(const DataCenterDigest& digest, TimePoint now) {
  if (digest.data_center == m_own || digest.data_center.IsEmpty()) {
    return false;
  }
  const auto known = m_digests.find(digest.data_center);
  if (known != m_digests.end() &&
      known->second.representative == digest.representative &&
      known->second.incarnation == digest.incarnation &&
      digest.sequence <= known->second.sequence) {
    return false;
  }
  if (known == m_digests.end() ||
      known->second.representative != digest.representative) {
    LogEvent(following_log::kDataCenterHeard,
             {{"data_center", digest.data_center.value()},
              {"teller", digest.representative.value()},
              {"incarnation", std::to_string(digest.incarnation)},
              {"nodes", std::to_string(digest.nodes)}});
  }
  m_digests[digest.data_center] = digest;
  m_received_at[digest.data_center] = now;
  SumWork();
  return true;
}

void DataCenterTable::Step(TimePoint now, Duration lifetime) {
  const auto expired = std::erase_if(m_received_at, [&](const auto& entry) {
    if (now - entry.second <= lifetime) {
      return false;
    }
    LogEvent(following_log::kDataCenterSilent,
             {{"data_center", entry.first.value()},
              {"teller", m_digests[entry.first].representative.value()}});
    m_digests.erase(entry.first);
    return true;
  });
  if (expired > 0) {
    SumWork();
  }
}

size_t DataCenterTable::NodeCount() const {
  size_t count = 0;
  for (const auto& [name, digest] : m_digests) {
    count += digest.nodes;
  }
  return count;
}

void DataCenterTable::SumWork() {
  m_work.Clear();
  for (const auto& [name, digest] : m_digests) {
    m_work.Add(digest.work);
  }
}

std::optional<NodeId> DataCenterTable::DutyHolder() const {
  for (const auto& [name, digest] : m_digests) {
    if (!digest.duty_holder.IsEmpty()) {
      return digest.duty_holder;
    }
  }
  return std::nullopt;
}

}  // namespace pistachiowalk
