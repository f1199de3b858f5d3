#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "duty/kept_value.h"
#include "rollout/rollout_state.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Persists how far the roll-outs are, and tells the operator. Written by the
// holder of the duty lease, which may change at any time.
class RolloutRecords {
 public:
  struct Format {
    // Key prefix of the records.
    std::string prefix;
    // Key and text of what the operator is told.
    std::function<std::string(const ServiceName& service)> status_key;
    std::function<std::string(const RolloutState& state)> status;
  };
  // Called with each state that was read.
  using MergeCallback = std::function<void(const RolloutState& state)>;

  RolloutRecords(StorePort& store, Format format, MergeCallback merge);

  // Reads the records of the services that are not known; at most `calls` calls
  // to the store.
  void Read(const std::set<ServiceName>& services, size_t calls, TimePoint now);
  bool IsRead(const ServiceName& service) const;
  // Writes the states unless the store has them or later ones, and once it has
  // a state, what the operator is told of it; at most `calls` calls to the
  // store. To be called until IsStored() and IsTold().
  void Write(const std::vector<RolloutState>& states,
             size_t calls,
             TimePoint now);
  // Whether the store had the state when its record was last read or written.
  bool IsStored(const RolloutState& state) const;
  // Whether the operator was told.
  bool IsTold(const RolloutState& state) const;
  // Called when the store was restored from a copy, or another node may have
  // written; the records are read again.
  void Forget();
  // Forgets the services that have no order.
  void Keep(const std::set<ServiceName>& services);

 private:
  struct Entry {
    KeptValue record;
    KeptValue status;
    // The state of the record when it was last read.
    std::optional<RolloutState> read;
    // No call before this time, as earlier ones failed.
    TimePoint paused_until{};
    uint32_t seen_failures = 0;
  };

  Entry& EntryOf(const ServiceName& service);
  const Entry* FindEntry(const ServiceName& service) const;
  void OnRead(const ServiceName& service, const std::string& value);
  // Whether a call may be made for the entry now.
  static bool MayCall(Entry& entry, TimePoint now);

  StorePort& m_store;
  Format m_format;
  MergeCallback m_merge;
  std::map<ServiceName, std::unique_ptr<Entry>> m_entries;
};

}  // namespace pistachiowalk
