#pragma once

#include <map>
#include <optional>

#include "base/clock.h"
#include "following/data_center_digest.h"
#include "following/work_sums.h"

namespace pistachiowalk {

// The other data centres, by the last digest of each.
class DataCenterTable {
 public:
  explicit DataCenterTable(DataCenterName own) : m_own(std::move(own)) {}

  // Whether the digest is of another data centre and newer than what was known.
  bool Apply(const DataCenterDigest& digest, TimePoint now);
  // Forgets digests that are older than `life`; call it often.
  void Step(TimePoint now, Duration life);

  const std::map<DataCenterName, DataCenterDigest>& digests() const {
    return m_digests;
  }
  bool IsKnown(const DataCenterName& name) const {
    return m_digests.contains(name);
  }
  // Nodes in the data centres that are known.
  size_t NodeCount() const;
  // Open work at an endpoint, over all nodes of these data centres.
  OutstandingWork WorkAt(uint64_t endpoint_key) const {
    return m_work.At(endpoint_key);
  }
  // The node there that holds the duties' lease, if it is known.
  std::optional<NodeId> DutyHolder() const;

 private:
  void SumWork();

  DataCenterName m_own;
  std::map<DataCenterName, DataCenterDigest> m_digests;
  std::map<DataCenterName, TimePoint> m_heard_at;
  WorkSums m_work;
};

}  // namespace pistachiowalk
