#include "duty/quarantine_record.h"

#include <utility>

#include "base/bounded_codec.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {

QuarantineRecord::QuarantineRecord(StorePort& store,
                                   std::string key,
                                   MergeCallback merge)
    : m_merge(std::move(merge)),
      m_record(store, std::move(key), [this](const std::string& value) {
        Merge(value);
      }) {}

void QuarantineRecord::Restore() {
  if (!m_record.is_read()) {
    m_record.Read();
  }
}

void QuarantineRecord::Write(const TimedQuarantineState& recorded,
                             uint64_t revision) {
  if (!recorded.state.is_empty()) {
    m_record.Write(EncodeMessage(recorded), revision);
  }
}

void QuarantineRecord::Merge(const std::string& value) const {
  const auto recorded = DecodeMessage<TimedQuarantineState>(value);
  if (!recorded) {
    LogEvent(duty_log::kQuarantineUnreadable, {{"key", m_record.key()}});
    return;
  }
  m_merge(*recorded);
}

}  // namespace pistachiowalk
