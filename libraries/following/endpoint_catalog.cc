#include "following/endpoint_catalog.h"

#include <set>

#include "following/following_log_events.h"

namespace pistachiowalk {
namespace {

// According to the operators, live endpoints are registered again within about
// two seconds of the store's recovery.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2000);

}  // namespace

bool EndpointCatalog::IsInGracePeriod(TimePoint now) const {
  return m_lost_since.has_value() || now < m_grace_until;
}

void EndpointCatalog::Replace(const std::vector<EndpointEntry>& entries,
                              TimePoint now) {
  std::set<EndpointId> listed;
  for (const EndpointEntry& entry : entries) {
    listed.insert(entry.id);
    Apply(entry, now);
  }
  std::vector<EndpointId> unlisted;
  for (const auto& [id, entry] : m_entries) {
    if (!listed.contains(id)) {
      unlisted.push_back(id);
    }
  }
  for (const EndpointId& id : unlisted) {
    Remove(id, now);
  }
}

void EndpointCatalog::Apply(const EndpointEntry& entry, TimePoint /*now*/) {
  m_missing.erase(entry.id);
  const auto known = m_entries.find(entry.id);
  if (known != m_entries.end()) {
    if (known->second == entry) {
      return;
    }
    if (known->second.state == EndpointState::kLeaving &&
        known->second.incarnation == entry.incarnation &&
        entry.state == EndpointState::kLive) {
      // NOTE: Leaving is final for an incarnation. A concurrent writer or a
      // replayed older entry must not make the endpoint live again.
      return;
    }
  }
  const bool state_changed = known == m_entries.end() ||
                             known->second.state != entry.state ||
                             known->second.incarnation != entry.incarnation ||
                             known->second.address != entry.address;
  m_entries[entry.id] = entry;
  ++m_revision;
  if (state_changed) {
    LogEvent(
        following_log::kEndpointChanged,
        {{"endpoint", entry.id.value()},
         {"service", entry.service.value()},
         {"data_center", entry.data_center.value()},
         {"state", entry.state == EndpointState::kLive ? "live" : "leaving"},
         {"reclaimable", entry.is_reclaimable ? "yes" : "no"},
         {"address", FormatSocketAddress(entry.address)}});
  }
}

void EndpointCatalog::Remove(const EndpointId& id, TimePoint now) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end() || m_missing.contains(id)) {
    return;
  }
  if (IsInGracePeriod(now) && known->second.state == EndpointState::kLive) {
    m_missing[id] = m_lost_since ? TimePoint::max() : m_grace_until;
    LogEvent(
        following_log::kEndpointMissing,
        {{"endpoint", id.value()}, {"service", known->second.service.value()}});
    return;
  }
  Erase(id);
}

void EndpointCatalog::NoteStoreLost(TimePoint now) {
  if (!m_lost_since) {
    m_lost_since = now;
  }
}

void EndpointCatalog::NoteStoreBack(TimePoint now) {
  if (!m_lost_since) {
    return;
  }
  m_lost_since.reset();
  m_grace_until = now + kReregistrationTime;
  for (auto& [id, until] : m_missing) {
    until = m_grace_until;
  }
}

void EndpointCatalog::Step(TimePoint now) {
  std::vector<EndpointId> overdue;
  for (const auto& [id, until] : m_missing) {
    if (now >= until) {
      overdue.push_back(id);
    }
  }
  for (const EndpointId& id : overdue) {
    Erase(id);
  }
}

void EndpointCatalog::Erase(const EndpointId& id) {
  LogEvent(following_log::kEndpointGone, {{"endpoint", id.value()}});
  m_missing.erase(id);
  m_entries.erase(id);
  ++m_revision;
}

}  // namespace pistachiowalk
