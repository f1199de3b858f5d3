#include "fleet/order_tracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace pistachiowalk {
namespace {

// Intervals of the checks after an order is in force. They grow, since a stale
// order is most likely to arrive early.
constexpr std::array<Duration, 4> kCheckIntervals{
    std::chrono::seconds(3), std::chrono::seconds(6), std::chrono::seconds(12),
    kLongestCheckInterval};

}  // namespace

OrderTracker::OrderTracker(LeaseTerms terms,
                           AuditSink& audit,
                           LoadLimiter load_limiter)
    : m_terms(terms), m_audit(audit), m_load_limiter(std::move(load_limiter)) {}

void OrderTracker::SetTarget(const EndpointId& endpoint,
                             OrderFacet facet,
                             const std::string& target) {
  Entry& entry = m_entries[Key(endpoint, facet)];
  if (entry.desired_target == target) {
    return;
  }
  entry.desired_target = target;
  entry.was_in_force = false;
  if (entry.progress == OrderProgress::kInForce ||
      entry.progress == OrderProgress::kToSend) {
    entry.progress = OrderProgress::kUnknown;
    entry.next_at = TimePoint{};
  }
}

void OrderTracker::RemoveEndpoint(const EndpointId& endpoint) {
  std::erase_if(
      m_calls, [&](const auto& call) { return call.second.first == endpoint; });
  std::erase_if(m_entries, [&](const auto& entry) {
    return entry.first.first == endpoint;
  });
}

void OrderTracker::OnLeaseGranted(FencingNumber fence) {
  m_fence = fence;
  m_last_sequence = 0;
  m_calls.clear();
  for (auto& [key, entry] : m_entries) {
    entry.progress = OrderProgress::kUnknown;
    entry.was_in_force = false;
    entry.order = Order{};
    entry.next_at = TimePoint{};
  }
}

OrderTracker::Entry* OrderTracker::FindByCall(uint64_t call) {
  const auto it = m_calls.find(call);
  if (it == m_calls.end()) {
    return nullptr;
  }
  const auto entry = m_entries.find(it->second);
  m_calls.erase(it);
  return entry == m_entries.end() ? nullptr : &entry->second;
}

void OrderTracker::BeginCall(Entry& entry, TimePoint now) {
  entry.call = ++m_last_call;
  entry.call_at = now;
}

// Gives the entry a new order when its target changed or is to be repaired.
void OrderTracker::AssignOrder(const Key& key, Entry& entry) {
  const bool is_same = entry.order.stamp.fence == m_fence &&
                       entry.order.target == entry.desired_target &&
                       !entry.was_in_force;
  if (is_same) {
    return;
  }
  entry.order =
      Order{.id = fmt::format("{}-{}", m_fence, ++m_last_sequence),
            .endpoint = key.first,
            .facet = key.second,
            .stamp = OrderStamp{.fence = m_fence, .sequence = m_last_sequence},
            .target = entry.desired_target};
}

void OrderTracker::ScheduleCheck(Entry& entry, TimePoint now) {
  const size_t index = std::min(entry.check_count, kCheckIntervals.size() - 1);
  entry.next_at = now + kCheckIntervals[index];
  ++entry.check_count;
}

void OrderTracker::Advance(const Key& key,
                           Entry& entry,
                           TimePoint now,
                           std::vector<OrderCommand>& commands) {
  const bool is_open = entry.progress == OrderProgress::kSent ||
                       entry.progress == OrderProgress::kReading;
  if (is_open && now - entry.call_at >= m_terms.order_timeout) {
    m_calls.erase(entry.call);
    entry.progress = OrderProgress::kUnknown;
    entry.next_at = now;
  }
  const bool is_read_due = (entry.progress == OrderProgress::kUnknown ||
                            entry.progress == OrderProgress::kInForce) &&
                           now >= entry.next_at;
  if (is_read_due) {
    BeginCall(entry, now);
    entry.progress = OrderProgress::kReading;
    m_calls[entry.call] = key;
    commands.emplace_back(ReadFacet{
        .endpoint = key.first, .facet = key.second, .call = entry.call});
    return;
  }
  if (entry.progress != OrderProgress::kToSend) {
    return;
  }
  AssignOrder(key, entry);
  entry.was_in_force = false;
  if (key.second == OrderFacet::kModel && !m_load_limiter(entry.order, now)) {
    return;
  }
  BeginCall(entry, now);
  entry.progress = OrderProgress::kSent;
  m_calls[entry.call] = key;
  commands.emplace_back(SendOrder{.order = entry.order, .call = entry.call});
  RecordOrder(entry, "sent", "");
}

std::vector<OrderCommand> OrderTracker::Step(const LeaseHolder& lease,
                                             size_t limit,
                                             TimePoint now) {
  std::vector<OrderCommand> commands;
  if (!lease.MayOrder(now) || lease.fence() != m_fence) {
    return commands;
  }
  auto it = m_entries.lower_bound(m_cursor);
  for (size_t visited = 0;
       visited < m_entries.size() && commands.size() < limit; ++visited) {
    if (it == m_entries.end()) {
      it = m_entries.begin();
    }
    Advance(it->first, it->second, now, commands);
    ++it;
  }
  m_cursor = it == m_entries.end() ? Key{} : it->first;
  return commands;
}

void OrderTracker::OnSent(uint64_t call, TimePoint now) {
  const auto it = m_calls.find(call);
  if (it == m_calls.end()) {
    return;
  }
  // NOTE: The process may have been paused since Step(), so the time in which
  // the order may arrive starts only now.
  m_entries.at(it->second).call_at = now;
}

void OrderTracker::OnOrderAnswer(uint64_t call,
                                 OrderAnswer answer,
                                 TimePoint now) {
  Entry* entry = FindByCall(call);
  if (entry == nullptr) {
    return;
  }
  switch (answer) {
    case OrderAnswer::kInForce:
      entry->progress = OrderProgress::kInForce;
      entry->was_in_force = true;
      entry->check_count = 0;
      ScheduleCheck(*entry, now);
      if (entry->order.target != entry->desired_target) {
        entry->progress = OrderProgress::kUnknown;
        entry->was_in_force = false;
        entry->next_at = now;
      }
      RecordOrder(*entry, "in_force", "");
      return;
    case OrderAnswer::kStale:
      entry->progress = OrderProgress::kUnknown;
      entry->next_at = now + m_terms.order_timeout;
      RecordOrder(*entry, "refused", "the endpoint knows a later order");
      return;
    case OrderAnswer::kUnknown:
      // The order may still arrive until its connection is closed.
      entry->progress = OrderProgress::kUnknown;
      entry->next_at = entry->call_at + m_terms.order_timeout;
      return;
  }
}

void OrderTracker::OnFacet(uint64_t call,
                           const FacetState& state,
                           TimePoint now) {
  Entry* entry = FindByCall(call);
  if (entry == nullptr) {
    return;
  }
  if (state.target == entry->desired_target) {
    entry->progress = OrderProgress::kInForce;
    entry->was_in_force = true;
    ScheduleCheck(*entry, now);
    return;
  }
  entry->progress = OrderProgress::kToSend;
  entry->check_count = 0;
  // NOTE: When another order took effect since the last read, this one may have
  // taken effect before it. It must not be repeated, so a new order is created.
  const bool was_overwritten = state.order_id != entry->last_seen_order;
  entry->last_seen_order = state.order_id;
  if (was_overwritten) {
    entry->order = Order{};
  }
  if (entry->was_in_force) {
    ++m_repair_count;
    RecordOrder(
        *entry, "mended",
        fmt::format("found \"{}\" of order {}", state.target, state.order_id));
  }
}

void OrderTracker::OnReadFailed(uint64_t call, TimePoint now) {
  Entry* entry = FindByCall(call);
  if (entry != nullptr) {
    entry->progress = OrderProgress::kUnknown;
    entry->next_at = now + m_terms.order_timeout / 2;
  }
}

size_t OrderTracker::CountInForce() const {
  return static_cast<size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [](const auto& item) {
        return item.second.progress == OrderProgress::kInForce;
      }));
}

void OrderTracker::RecordOrder(const Entry& entry,
                               const std::string& action,
                               const std::string& reason) {
  m_audit.Record(AuditRecord{
      .actor = fmt::format("fence-{}", m_fence),
      .subject = fmt::format("order/{}/{}/{}", entry.order.endpoint.value(),
                             OrderFacetName(entry.order.facet), entry.order.id),
      .action = action,
      .reason = reason,
      .before = "",
      .after = entry.order.target});
}

}  // namespace pistachiowalk
