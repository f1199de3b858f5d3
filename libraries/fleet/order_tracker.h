#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "fleet/lease_holder.h"
#include "fleet/order.h"

namespace pistachiowalk {

// Asks the caller to send an order. The caller must check
// LeaseHolder::MayOrder() directly before sending and call
// OrderTracker::OnSent() directly after.
struct SendOrder {
  Order order;
  uint64_t call = 0;

  friend auto operator<=>(const SendOrder&, const SendOrder&) = default;
};

// Asks the caller to read a facet of an endpoint.
struct ReadFacet {
  EndpointId endpoint;
  OrderFacet facet = OrderFacet::kModel;
  uint64_t call = 0;

  friend auto operator<=>(const ReadFacet&, const ReadFacet&) = default;
};

using OrderCommand = std::variant<SendOrder, ReadFacet>;

// Progress of the order for one facet.
enum class OrderProgress {
  // The endpoint's state is not known and must be read first.
  kUnknown,
  kReading,
  kToSend,
  kSent,
  kInForce,
};

// Tracks the orders of one lease holder. Takes targets, answers and the time
// and returns orders and reads; it does no I/O.
//
// Each facet has at most one call open. After a lost answer the facet is read
// before the order is repeated, and only once the lost order can no longer
// arrive, so no order takes effect twice, even at endpoints that ignore stamps.
// At those endpoints the effect of a stale order is detected by periodic checks
// at growing intervals and repaired by a new order.
class OrderTracker {
 public:
  // Returns whether a model load may start now within this scope's share of the
  // weight store's rate.
  using LoadLimiter = std::function<bool(const Order& order, TimePoint now)>;

  OrderTracker(LeaseTerms terms, AuditSink& audit, LoadLimiter load_limiter);

  void SetTarget(const EndpointId& endpoint,
                 OrderFacet facet,
                 const std::string& target);
  void RemoveEndpoint(const EndpointId& endpoint);
  // Discards the known state of all endpoints, so that each is read again.
  void OnLeaseGranted(FencingNumber fence);
  // Returns at most `limit` commands, and none while the lease is not safe.
  std::vector<OrderCommand> Step(const LeaseHolder& lease,
                                 size_t limit,
                                 TimePoint now);
  void OnSent(uint64_t call, TimePoint now);
  void OnOrderAnswer(uint64_t call, OrderAnswer answer, TimePoint now);
  void OnFacet(uint64_t call, const FacetState& state, TimePoint now);
  void OnReadFailed(uint64_t call, TimePoint now);

  size_t CountInForce() const;
  size_t size() const { return m_entries.size(); }
  uint64_t repair_count() const { return m_repair_count; }

 private:
  using Key = std::pair<EndpointId, OrderFacet>;
  struct Entry {
    std::string desired_target;
    Order order;
    OrderProgress progress = OrderProgress::kUnknown;
    // The order was in force before, so a different target is the effect of a
    // stale order.
    bool was_in_force = false;
    // The order that the endpoint reported at the last read.
    std::string last_seen_order;
    uint64_t call = 0;
    TimePoint call_at{};
    TimePoint next_at{};
    size_t check_count = 0;
  };

  Entry* FindByCall(uint64_t call);
  void Advance(const Key& key,
               Entry& entry,
               TimePoint now,
               std::vector<OrderCommand>& commands);
  void BeginCall(Entry& entry, TimePoint now);
  void AssignOrder(const Key& key, Entry& entry);
  void ScheduleCheck(Entry& entry, TimePoint now);
  void RecordOrder(const Entry& entry,
                   const std::string& action,
                   const std::string& reason);

  LeaseTerms m_terms;
  AuditSink& m_audit;
  LoadLimiter m_load_limiter;
  FencingNumber m_fence = 0;
  uint64_t m_last_sequence = 0;
  uint64_t m_last_call = 0;
  uint64_t m_repair_count = 0;
  std::map<Key, Entry> m_entries;
  std::map<uint64_t, Key> m_calls;
  // Where the next step continues, so that the limit starves no entry.
  Key m_cursor;
};

// Longest interval between checks, and so the longest time for which the effect
// of a stale order stays undetected at an endpoint that ignores stamps, while
// the lease is held.
inline constexpr Duration kLongestCheckInterval = std::chrono::seconds(30);

// Time within which the effect of a stale order is repaired, counted while the
// lease is held and the endpoint is reachable: the longest check interval, and
// the same again for lost answers and the weight store's rate limit.
inline constexpr Duration kRepairTime = 2 * kLongestCheckInterval;

}  // namespace pistachiowalk
