#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "following/endpoint_entry.h"

namespace pistachiowalk {

// Which endpoints a node may send new requests to, from their entries in the
// platform's store. A core.
//
// Entries lapse while the store is away, and those of live endpoints are back
// within two seconds of its return. So what is missing just after an outage
// stays in use for that time, unless the endpoint itself said that it leaves.
class EndpointCatalog {
 public:
  // Takes in all entries.
  void Replace(const std::vector<EndpointEntry>& entries, TimePoint now);
  void Apply(const EndpointEntry& entry, TimePoint now);
  // The entry is gone, or can no longer be read.
  void Remove(const EndpointId& id, TimePoint now);
  void NoteStoreLost(TimePoint now);
  // The store answers again, this node or a peer that told its state: what is
  // missing is given up after the time in which it could come back.
  void NoteStoreBack(TimePoint now);
  // Lets go of entries that are still missing; call it often.
  void Step(TimePoint now);

  // Live and leaving endpoints, those included that are missing for now.
  const std::map<EndpointId, EndpointEntry>& entries() const {
    return m_entries;
  }
  // Rises with each change of entries().
  uint64_t revision() const { return m_revision; }
  size_t missing() const { return m_missing.size(); }

 private:
  bool IsInGracePeriod(TimePoint now) const;
  void Erase(const EndpointId& id);

  std::map<EndpointId, EndpointEntry> m_entries;
  // Missing endpoints and when to give them up.
  std::map<EndpointId, TimePoint> m_missing;
  std::optional<TimePoint> m_lost_since;
  TimePoint m_grace_until{};
  uint64_t m_revision = 0;
};

}  // namespace pistachiowalk
