#pragma once

#include <map>
#include <optional>

#include "base/clock.h"
#include "following/data_center_digest.h"
#include "following/endpoint_work_totals.h"

namespace pistachiowalk {

// The latest digest of each other data centre.
class DataCenterTable {
 public:
  explicit DataCenterTable(DataCenterName own) : m_own(std::move(own)) {}

  // Stores the digest and returns true if it is of another data centre and
  // newer than the stored one.
  bool Apply(const DataCenterDigest& digest, TimePoint now);
  // Drops digests older than `lifetime`; must be called periodically.
  void Step(TimePoint now, Duration lifetime);

  const std::map<DataCenterName, DataCenterDigest>& digests() const {
    return m_digests;
  }
  bool IsKnown(const DataCenterName& name) const {
    return m_digests.contains(name);
  }
  // Nodes in all data centres that have a digest.
  size_t NodeCount() const;
  // Outstanding work at an endpoint, summed over all nodes of these data
  // centres.
  OutstandingWork WorkAt(uint64_t endpoint_key) const {
    return m_work.At(endpoint_key);
  }
  // The node in another data centre that holds the duty lease, if known.
  std::optional<NodeId> DutyHolder() const;

 private:
  void SumWork();

  DataCenterName m_own;
  std::map<DataCenterName, DataCenterDigest> m_digests;
  std::map<DataCenterName, TimePoint> m_received_at;
  EndpointWorkTotals m_work;
};

}  // namespace pistachiowalk
