#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "routing/endpoint.h"
#include "routing/endpoint_record.h"

namespace pistachiowalk {

// The live endpoints of one service by proximity, each list sorted by key.
struct ServiceEndpoints {
  std::array<std::vector<const EndpointRecord*>, 3> by_proximity;

  const std::vector<const EndpointRecord*>& At(Proximity proximity) const {
    return by_proximity[static_cast<size_t>(proximity)];
  }
  size_t Size() const;
};

enum class AttemptResult { kSucceeded, kFailed, kConnectionFailed };

// The endpoints known to this node. Leaving is final for an endpoint id: no
// later update makes it live again.
class EndpointTable {
 public:
  EndpointTable() = default;
  EndpointTable(const EndpointTable&) = delete;
  EndpointTable& operator=(const EndpointTable&) = delete;

  // Applies a complete VM list; endpoints missing from it leave.
  void ApplyVmList(const std::vector<Endpoint>& endpoints, TimePoint now);
  // Marks an endpoint as leaving, from any source. An unknown id is remembered
  // too, since a peer's notice may arrive before the VM list.
  void MarkLeaving(const EndpointId& id, TimePoint now);
  void SetAttributes(const EndpointId& id,
                     const EndpointAttributes& attributes);
  // Stores a report unless a newer one is known.
  void ApplyReport(const EndpointId& id, const LoadReport& report);
  // Records the result of an attempt. Ejects an endpoint that fails repeatedly,
  // but never more than a fixed share of its service's endpoints.
  void RecordResult(const EndpointId& id, AttemptResult result, TimePoint now);

  void AddInFlight(const EndpointId& id) { AddSend(id, RecentSend{}); }
  void AddSend(const EndpointId& id, const RecentSend& send);
  void RemoveInFlight(const EndpointId& id);

  // Returns nullptr for an unknown endpoint.
  const EndpointRecord* Find(const EndpointId& id) const;
  const EndpointRecord* FindByKey(uint64_t key) const;
  const ServiceEndpoints& Live(const ServiceName& service) const;
  const std::map<EndpointId, EndpointRecord>& records() const {
    return m_records;
  }

 private:
  EndpointRecord* FindMutable(const EndpointId& id);
  void Add(const Endpoint& endpoint, TimePoint now);
  void RemoveDeparted(const std::vector<Endpoint>& listed, TimePoint now);
  void AddToIndex(const EndpointRecord& record);
  void RemoveFromIndex(const EndpointRecord& record);
  bool MayEject(const EndpointRecord& record, TimePoint now) const;

  std::map<EndpointId, EndpointRecord> m_records;
  std::unordered_map<uint64_t, const EndpointRecord*> m_by_key;
  std::unordered_map<ServiceName, ServiceEndpoints> m_live;
  bool m_has_list = false;
};

}  // namespace pistachiowalk
