#include "duty/rollout_records.h"

#include <algorithm>
#include <utility>

#include "base/bounded_codec.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {
namespace {

// Pause after a call that failed; doubled with each further one.
constexpr Duration kInitialPause = std::chrono::milliseconds(200);
constexpr uint32_t kMaximumDoublings = 4;

bool IsLater(const RolloutState& a, const RolloutState& b) {
  return IsSameOrder(a.position, b.position) ? a.number > b.number
                                             : a.position > b.position;
}

}  // namespace

RolloutRecords::RolloutRecords(StorePort& store,
                               Format format,
                               MergeCallback merge)
    : m_store(store), m_format(std::move(format)), m_merge(std::move(merge)) {}

RolloutRecords::Entry& RolloutRecords::EntryOf(const ServiceName& service) {
  std::unique_ptr<Entry>& entry = m_entries[service];
  if (!entry) {
    entry = std::make_unique<Entry>(
        Entry{.record = KeptValue(m_store, m_format.prefix + service.value(),
                                  [this, service](const std::string& value) {
                                    OnRead(service, value);
                                  }),
              .status = KeptValue(m_store, m_format.status_key(service),
                                  [](const std::string&) {})});
  }
  return *entry;
}

const RolloutRecords::Entry* RolloutRecords::FindEntry(
    const ServiceName& service) const {
  const auto entry = m_entries.find(service);
  return entry == m_entries.end() ? nullptr : entry->second.get();
}

bool RolloutRecords::MayCall(Entry& entry, TimePoint now) {
  const uint32_t failures = entry.record.failures() + entry.status.failures();
  if (failures > entry.seen_failures) {
    entry.paused_until =
        now + kInitialPause * (1 << std::min(failures - 1, kMaximumDoublings));
  }
  entry.seen_failures = failures;
  return now >= entry.paused_until;
}

void RolloutRecords::Read(const std::set<ServiceName>& services,
                          size_t calls,
                          TimePoint now) {
  for (const ServiceName& service : services) {
    Entry& entry = EntryOf(service);
    if (calls > 0 && MayCall(entry, now) && entry.record.Read()) {
      --calls;
    }
  }
}

bool RolloutRecords::IsRead(const ServiceName& service) const {
  const Entry* entry = FindEntry(service);
  return entry != nullptr && entry->record.is_read();
}

void RolloutRecords::Write(const std::vector<RolloutState>& states,
                           size_t calls,
                           TimePoint now) {
  for (const RolloutState& state : states) {
    Entry& entry = EntryOf(state.service);
    if (calls == 0) {
      return;
    }
    if (!MayCall(entry, now)) {
      continue;
    }
    if (entry.record.is_read() && entry.read && *entry.read != state &&
        !IsLater(state, *entry.read)) {
      // NOTE: Also if two holders gave different states the same number.
      continue;
    }
    const std::string record = EncodeMessage(state);
    const bool has_called = entry.record.Has(record)
                                ? entry.status.Keep(m_format.status(state))
                                : entry.record.Keep(record);
    calls -= has_called ? 1 : 0;
  }
}

bool RolloutRecords::IsStored(const RolloutState& state) const {
  const Entry* entry = FindEntry(state.service);
  return entry != nullptr && entry->record.Has(EncodeMessage(state));
}

bool RolloutRecords::IsTold(const RolloutState& state) const {
  const Entry* entry = FindEntry(state.service);
  return entry != nullptr && entry->status.Has(m_format.status(state));
}

void RolloutRecords::Forget() {
  for (const auto& [service, entry] : m_entries) {
    entry->record.Forget();
    entry->status.Forget();
    entry->read.reset();
  }
}

void RolloutRecords::Keep(const std::set<ServiceName>& services) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
}

void RolloutRecords::OnRead(const ServiceName& service,
                            const std::string& value) {
  const auto state = DecodeMessage<RolloutState>(value);
  Entry& entry = EntryOf(service);
  if (!state || state->service != service) {
    entry.read.reset();
    LogEvent(duty_log::kRolloutUnreadable, {{"key", entry.record.key()}});
    return;
  }
  entry.read = *state;
  m_merge(*state);
}

}  // namespace pistachiowalk
