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

// Asks the shell to send an order. The shell asks LeaseHolder::MayOrder() right
// before and tells OrderTracker::OnSent() right after.
struct SendOrder {
  Order order;
  uint64_t call = 0;

  friend auto operator<=>(const SendOrder&, const SendOrder&) = default;
};

// Asks the shell to read a facet of an endpoint.
struct ReadFacet {
  EndpointId endpoint;
  OrderFacet facet = OrderFacet::kModel;
  uint64_t call = 0;

  friend auto operator<=>(const ReadFacet&, const ReadFacet&) = default;
};

using OrderCommand = std::variant<SendOrder, ReadFacet>;

// Where the order for one facet stands.
enum class OrderProgress {
  // What the endpoint has is not known; a read comes first.
  kUnknown,
  kReading,
  kToSend,
  kSent,
  kInForce,
};

// The orders of one lease holder. A core: targets, answers and the time go
// in; orders and reads come out.
//
// For each facet one call is open at a time, and after a lost answer the
// facet is read before the order is repeated, once the lost one can no
// longer arrive. So no order takes effect twice, also at endpoints that
// ignore stamps. What a stale order did there is found by checks, ever rarer,
// and mended by a new order.
class OrderTracker {
 public:
  // Says whether a load may start now, by the share of the weight store.
  using LoadLimiter = std::function<bool(const Order& order, TimePoint now)>;

  OrderTracker(LeaseTerms terms, AuditSink& audit, LoadLimiter load_limiter);

  void SetTarget(const EndpointId& endpoint,
                 OrderFacet facet,
                 const std::string& target);
  void RemoveEndpoint(const EndpointId& endpoint);
  // Forgets what endpoints have; called when the lease was granted.
  void OnLeaseGranted(FencingNumber fence);
  // At most `limit` commands; none while the lease is not safe.
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
    // The order was in force before, so a difference is a stale order's work.
    bool was_in_force = false;
    // The order whose work the endpoint had when it was read last.
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
  // Where the next step goes on, so that the limit starves nobody.
  Key m_cursor;
};

// Longest time between checks, and so the longest that a stale order's work
// stands at an endpoint that ignores stamps while a holder is at work.
inline constexpr Duration kLongestCheckInterval = std::chrono::seconds(30);

// Stated time in which a stale order's work is mended, counted while a holder
// is at work and reaches the endpoint: the longest check interval, and as long
// again for lost answers and the weight store's rate.
inline constexpr Duration kRepairTime = 2 * kLongestCheckInterval;

}  // namespace pistachiowalk
