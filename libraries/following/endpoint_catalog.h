#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "following/endpoint_entry.h"

namespace pistachiowalk {

// The endpoints known from their entries in the platform's store. Does no I/O;
// the caller passes in changes and the current time.
//
// Entries expire while the store is unavailable, and those of live endpoints
// are registered again within two seconds of its recovery. Entries that are
// missing just after an outage therefore stay in use for that time, unless the
// endpoint has announced that it is leaving.
//
// A store that was restored from a copy lists endpoints again that had left or
// ended since. Such an entry is not used, as it is no newer than the last one
// that was known of the endpoint. If it lists no endpoint of a service at all,
// those known before stay in use until it does: endpoints that leave say so in
// their responses, and one that ended refuses connections.
class EndpointCatalog {
 public:
  // Replaces the whole catalog by `entries`.
  void Replace(const std::vector<EndpointEntry>& entries, TimePoint now);
  void Apply(const EndpointEntry& entry, TimePoint now);
  // Called when the entry was removed or can no longer be parsed.
  void Remove(const EndpointId& id, TimePoint now);
  void NoteStoreLost(TimePoint now);
  // Called when the store answers again, either this node or a peer that sent a
  // snapshot. Starts the grace period after which missing entries are dropped.
  void NoteStoreBack(TimePoint now);
  // Called when the entries that follow are of a later history of the store.
  void NoteStoreRestored(TimePoint now);
  // Drops entries whose grace period has expired; must be called periodically.
  void Step(TimePoint now);

  // Live and leaving endpoints, including missing ones in their grace period.
  const std::map<EndpointId, EndpointEntry>& entries() const {
    return m_entries;
  }
  // Incremented with each change of entries().
  uint64_t revision() const { return m_revision; }
  size_t missing() const { return m_missing.size(); }

 private:
  // The last entry of an endpoint that is not listed any more.
  struct Departed {
    EndpointEntry last_entry;
    TimePoint departed_at;
  };

  // An endpoint whose entry is missing just after an outage.
  struct Missing {
    // When to drop it.
    TimePoint until;
    // The store that lacks the entry was restored from a copy.
    bool is_lost_in_restore = false;
    // It stayed in use after `until`.
    bool is_retained = false;
  };

  bool IsInGracePeriod(TimePoint now) const;
  // Services of which the store lists a live endpoint.
  std::set<ServiceName> ListedServices() const;
  // Whether the store lists the entry only because it was restored.
  bool IsOutdated(const EndpointEntry& entry, TimePoint now) const;
  void Erase(const EndpointId& id, TimePoint now);

  std::map<EndpointId, EndpointEntry> m_entries;
  std::map<EndpointId, Missing> m_missing;
  // The grace period follows a restore.
  bool m_is_restored = false;
  std::optional<TimePoint> m_lost_since;
  TimePoint m_grace_until{};
  std::map<EndpointId, Departed> m_departed;
  // Outdated entries that the restored store still lists.
  std::map<EndpointId, EndpointEntry> m_outdated;
  TimePoint m_outdated_until{};
  uint64_t m_revision = 0;
};

}  // namespace pistachiowalk
