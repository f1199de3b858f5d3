#include "duty/quarantine_record.h"

#include <utility>

#include "base/bounded_codec.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {

QuarantineRecord::QuarantineRecord(StorePort& store,
                                   std::string key,
                                   MergeCallback merge)
    : m_store(store), m_key(std::move(key)), m_merge(std::move(merge)) {}

void QuarantineRecord::Restore() {
  if (m_is_restored || m_is_calling) {
    return;
  }
  m_is_calling = true;
  m_store.Get(
      m_key, [this, alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_calling = false;
        if (result.status != StoreStatus::kOk) {
          return;
        }
        m_is_restored = true;
        m_store_revision = result.revision;
        Merge(result.value);
      });
}

void QuarantineRecord::Write(const TimedQuarantineState& recorded,
                             uint64_t revision) {
  if (!m_is_restored || m_is_calling || recorded.state.is_empty() ||
      m_written_revision == revision) {
    return;
  }
  m_is_calling = true;
  m_store.CompareAndSwap(
      m_key, m_store_revision, EncodeMessage(recorded),
      [this, revision, restores = m_restores,
       alive = std::weak_ptr(m_alive)](const StoreResult& result) {
        if (alive.expired()) {
          return;
        }
        m_is_calling = false;
        switch (result.status) {
          case StoreStatus::kOk:
            m_store_revision = result.revision;
            if (restores == m_restores) {
              m_written_revision = revision;
            }
            return;
          case StoreStatus::kConflict:
            m_store_revision = result.revision;
            Merge(result.value);
            return;
          case StoreStatus::kUnknown:
          case StoreStatus::kUnavailable:
            return;
        }
      });
}

void QuarantineRecord::NoteStoreRestored() {
  ++m_restores;
  m_is_restored = false;
  m_written_revision.reset();
}

void QuarantineRecord::Merge(const std::string& value) {
  if (value.empty()) {
    return;
  }
  const auto recorded = DecodeMessage<TimedQuarantineState>(value);
  if (!recorded) {
    LogEvent(duty_log::kQuarantineUnreadable, {{"key", m_key}});
    return;
  }
  m_merge(*recorded);
}

}  // namespace pistachiowalk
