#include "routing/endpoint_table.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <set>

namespace pistachiowalk {
namespace {

// How long a departed endpoint is remembered after the VM list has dropped it,
// so that an outdated VM list does not make it live again.
constexpr Duration kDepartedRetention = std::chrono::minutes(10);
constexpr uint32_t kFailuresToEject = 3;
constexpr Duration kEjectionTime = std::chrono::seconds(3);
constexpr uint32_t kMaximumEjectionFactor = 10;
// Maximum share of a service's live endpoints that may be ejected at once.
constexpr double kMaximumEjectedShare = 0.3;
// Recent sends kept per endpoint, to correct the reported load.
constexpr size_t kMaximumRecentSends = 64;

bool KeyLess(const EndpointRecord* a, const EndpointRecord* b) {
  return a->key < b->key;
}

}  // namespace

uint64_t EndpointKey(std::string_view id) {
  return XXH64(id.data(), id.size(), 0);
}

size_t ServiceEndpoints::Size() const {
  size_t size = 0;
  for (const auto& list : by_proximity) {
    size += list.size();
  }
  return size;
}

void EndpointTable::AddToIndex(const EndpointRecord& record) {
  m_by_key[record.key] = &record;
  auto& list =
      m_live[record.endpoint.service]
          .by_proximity[static_cast<size_t>(record.attributes.proximity)];
  list.insert(std::lower_bound(list.begin(), list.end(), &record, KeyLess),
              &record);
}

void EndpointTable::RemoveFromIndex(const EndpointRecord& record) {
  m_by_key.erase(record.key);
  const auto it = m_live.find(record.endpoint.service);
  if (it == m_live.end()) {
    return;
  }
  std::erase(
      it->second.by_proximity[static_cast<size_t>(record.attributes.proximity)],
      &record);
}

void EndpointTable::Add(const Endpoint& endpoint, TimePoint now) {
  EndpointRecord& record = m_records[endpoint.id];
  record.endpoint = endpoint;
  record.key = EndpointKey(endpoint.id.value());
  record.live_since = now;
  // NOTE: Endpoints of a starting node's first list need no slow start: they
  // are new only to the node.
  record.needs_slow_start = m_has_list;
  AddToIndex(record);
}

void EndpointTable::ApplyVmList(const std::vector<Endpoint>& endpoints,
                                TimePoint now) {
  std::set<EndpointId> listed;
  for (const Endpoint& endpoint : endpoints) {
    listed.insert(endpoint.id);
    if (!m_records.contains(endpoint.id)) {
      Add(endpoint, now);
    }
    if (endpoint.state == EndpointState::kLeaving) {
      MarkLeaving(endpoint.id, now);
    }
  }
  for (const auto& [id, record] : m_records) {
    if (!listed.contains(id)) {
      MarkLeaving(id, now);
    }
  }
  m_has_list = true;
  RemoveDeparted(endpoints, now);
}

void EndpointTable::MarkLeaving(const EndpointId& id, TimePoint now) {
  EndpointRecord& record = m_records[id];
  if (record.is_leaving) {
    return;
  }
  RemoveFromIndex(record);
  record.endpoint.id = id;
  record.is_leaving = true;
  record.leaving_since = now;
  record.endpoint.state = EndpointState::kLeaving;
}

void EndpointTable::RemoveDeparted(const std::vector<Endpoint>& listed,
                                   TimePoint now) {
  // NOTE: Removing a leaving endpoint that the list still contains would make
  // it live again.
  for (const Endpoint& endpoint : listed) {
    EndpointRecord& record = m_records[endpoint.id];
    if (record.is_leaving) {
      record.leaving_since = now;
    }
  }
  std::erase_if(m_records, [now](const auto& entry) {
    const EndpointRecord& record = entry.second;
    return record.is_leaving && record.in_flight == 0 &&
           now - record.leaving_since > kDepartedRetention;
  });
}

void EndpointTable::SetAttributes(const EndpointId& id,
                                  const EndpointAttributes& attributes) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr || record->attributes == attributes) {
    return;
  }
  if (record->is_leaving) {
    record->attributes = attributes;
    return;
  }
  RemoveFromIndex(*record);
  record->attributes = attributes;
  AddToIndex(*record);
}

void EndpointTable::ApplyReport(const EndpointId& id,
                                const LoadReport& report) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr ||
      (record->has_report && report.sampled_at < record->report.sampled_at)) {
    return;
  }
  record->has_report = true;
  record->report = report;
  std::erase_if(record->recent_sends, [&report](const RecentSend& send) {
    return send.sent_at <= report.sampled_at;
  });
}

bool EndpointTable::MayEject(const EndpointRecord& record,
                             TimePoint now) const {
  const ServiceEndpoints& live = Live(record.endpoint.service);
  size_t ejected = 1;
  for (const auto& list : live.by_proximity) {
    ejected += std::count_if(
        list.begin(), list.end(), [now, &record](const EndpointRecord* other) {
          return other != &record && other->ejected_until > now;
        });
  }
  return static_cast<double>(ejected) <=
         kMaximumEjectedShare * static_cast<double>(live.Size());
}

void EndpointTable::RecordResult(const EndpointId& id,
                                 AttemptResult result,
                                 TimePoint now) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr || record->is_leaving) {
    return;
  }
  if (result == AttemptResult::kSucceeded) {
    record->consecutive_failures = 0;
    record->ejection_count = 0;
    return;
  }
  ++record->consecutive_failures;
  const bool is_outlier = result == AttemptResult::kConnectionFailed ||
                          record->consecutive_failures >= kFailuresToEject;
  if (!is_outlier || !MayEject(*record, now)) {
    return;
  }
  record->ejection_count =
      std::min(record->ejection_count + 1, kMaximumEjectionFactor);
  record->ejected_until = now + kEjectionTime * record->ejection_count;
  record->consecutive_failures = 0;
}

void EndpointTable::AddSend(const EndpointId& id, const RecentSend& send) {
  EndpointRecord* record = FindMutable(id);
  if (record == nullptr) {
    return;
  }
  ++record->in_flight;
  if (record->recent_sends.size() == kMaximumRecentSends) {
    record->recent_sends.erase(record->recent_sends.begin());
  }
  record->recent_sends.push_back(send);
}

void EndpointTable::RemoveInFlight(const EndpointId& id) {
  EndpointRecord* record = FindMutable(id);
  if (record != nullptr && record->in_flight > 0) {
    --record->in_flight;
  }
}

EndpointRecord* EndpointTable::FindMutable(const EndpointId& id) {
  const auto it = m_records.find(id);
  return it == m_records.end() ? nullptr : &it->second;
}

const EndpointRecord* EndpointTable::Find(const EndpointId& id) const {
  const auto it = m_records.find(id);
  return it == m_records.end() ? nullptr : &it->second;
}

const EndpointRecord* EndpointTable::FindByKey(uint64_t key) const {
  const auto it = m_by_key.find(key);
  return it == m_by_key.end() ? nullptr : it->second;
}

const ServiceEndpoints& EndpointTable::Live(const ServiceName& service) const {
  static const ServiceEndpoints kNone;
  const auto it = m_live.find(service);
  return it == m_live.end() ? kNone : it->second;
}

}  // namespace pistachiowalk
