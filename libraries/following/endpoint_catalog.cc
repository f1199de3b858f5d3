#include "following/endpoint_catalog.h"

#include <utility>

#include "following/following_log_events.h"

namespace pistachiowalk {
namespace {

// According to the operators, live endpoints are registered again within about
// two seconds of the store's recovery.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2000);
// Ended endpoints' entries that a restore brought back expire in the store
// within this time: three intervals of the endpoints' reports.
constexpr Duration kOutdatedEntryTime = std::chrono::milliseconds(10000);
// A copy from which the store is restored is only some seconds old.
constexpr Duration kDepartedLifetime = std::chrono::seconds(60);

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
  std::erase_if(m_outdated, [&](const auto& outdated) {
    return !listed.contains(outdated.first);
  });
}

bool EndpointCatalog::IsOutdated(const EndpointEntry& entry,
                                 TimePoint now) const {
  const auto departed = m_departed.find(entry.id);
  if (now >= m_outdated_until || departed == m_departed.end()) {
    return false;
  }
  const EndpointEntry& last = departed->second.last_entry;
  return entry.incarnation == last.incarnation &&
         (last.state == EndpointState::kLeaving ||
          entry.sequence <= last.sequence);
}

void EndpointCatalog::Apply(const EndpointEntry& entry, TimePoint now) {
  if (IsOutdated(entry, now)) {
    if (m_outdated.insert_or_assign(entry.id, entry).second) {
      LogEvent(
          following_log::kEndpointOutdated,
          {{"endpoint", entry.id.value()}, {"service", entry.service.value()}});
    }
    return;
  }
  m_missing.erase(entry.id);
  m_departed.erase(entry.id);
  m_outdated.erase(entry.id);
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
         {"version", entry.version.value()},
         {"state", entry.state == EndpointState::kLive ? "live" : "leaving"},
         {"reclaimable", entry.is_reclaimable ? "yes" : "no"},
         {"address", FormatSocketAddress(entry.address)}});
  }
}

void EndpointCatalog::Remove(const EndpointId& id, TimePoint now) {
  m_outdated.erase(id);
  const auto known = m_entries.find(id);
  if (known == m_entries.end() || m_missing.contains(id)) {
    return;
  }
  if (IsInGracePeriod(now) && known->second.state == EndpointState::kLive) {
    m_missing[id] =
        Missing{.until = m_lost_since ? TimePoint::max() : m_grace_until,
                .is_lost_in_restore = m_is_restored};
    LogEvent(
        following_log::kEndpointMissing,
        {{"endpoint", id.value()}, {"service", known->second.service.value()}});
    return;
  }
  Erase(id, now);
}

void EndpointCatalog::NoteStoreRestored(TimePoint now) {
  NoteStoreLost(now);
  NoteStoreBack(now);
  m_is_restored = true;
  m_outdated_until = now + kOutdatedEntryTime;
}

void EndpointCatalog::NoteStoreLost(TimePoint now) {
  if (!m_lost_since) {
    m_lost_since = now;
    m_is_restored = false;
  }
}

void EndpointCatalog::NoteStoreBack(TimePoint now) {
  if (!m_lost_since) {
    return;
  }
  m_lost_since.reset();
  m_grace_until = now + kReregistrationTime;
  for (auto& [id, missing] : m_missing) {
    missing.until = m_grace_until;
  }
}

void EndpointCatalog::Step(TimePoint now) {
  std::vector<EndpointId> overdue;
  const std::set<ServiceName> listed =
      m_missing.empty() ? std::set<ServiceName>() : ListedServices();
  for (auto& [id, missing] : m_missing) {
    if (now < missing.until) {
      continue;
    }
    const EndpointEntry& entry = m_entries.at(id);
    if (!missing.is_lost_in_restore || listed.contains(entry.service)) {
      overdue.push_back(id);
    } else if (!missing.is_retained) {
      missing.is_retained = true;
      LogEvent(following_log::kEndpointRetained,
               {{"endpoint", id.value()}, {"service", entry.service.value()}});
    }
  }
  for (const EndpointId& id : overdue) {
    Erase(id, now);
  }
  std::erase_if(m_departed, [now](const auto& departed) {
    return now - departed.second.departed_at >= kDepartedLifetime;
  });
  if (!m_outdated.empty() && now >= m_outdated_until) {
    // NOTE: An entry that has not expired by now is of a live endpoint.
    for (const auto& [id, entry] : std::exchange(m_outdated, {})) {
      if (m_departed.contains(id) &&
          m_departed.at(id).last_entry.state == EndpointState::kLeaving) {
        continue;
      }
      Apply(entry, now);
    }
  }
}

std::set<ServiceName> EndpointCatalog::ListedServices() const {
  std::set<ServiceName> services;
  for (const auto& [id, entry] : m_entries) {
    if (entry.state == EndpointState::kLive && !m_missing.contains(id)) {
      services.insert(entry.service);
    }
  }
  return services;
}

void EndpointCatalog::Erase(const EndpointId& id, TimePoint now) {
  const auto known = m_entries.find(id);
  if (known != m_entries.end()) {
    m_departed[id] = Departed{.last_entry = known->second, .departed_at = now};
  }
  LogEvent(following_log::kEndpointGone, {{"endpoint", id.value()}});
  m_missing.erase(id);
  m_entries.erase(id);
  ++m_revision;
}

}  // namespace pistachiowalk
