#include "duty/stream_record.h"

#include <utility>

#include "base/bounded_codec.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {

StreamRecord::StreamRecord(StorePort& store,
                           std::string key,
                           RestoreCallback restore)
    : m_restore(std::move(restore)),
      m_record(store, std::move(key), [this](const std::string& value) {
        Merge(value);
      }) {}

void StreamRecord::Restore() {
  if (!m_record.is_read()) {
    m_record.Read();
  }
}

void StreamRecord::Write(const StreamOriginRecord& record, uint64_t revision) {
  m_record.Write(EncodeMessage(record), revision);
}

void StreamRecord::Merge(const std::string& value) const {
  const auto recorded = DecodeMessage<StreamOriginRecord>(value);
  if (!recorded) {
    LogEvent(duty_log::kStreamsUnreadable, {{"key", m_record.key()}});
    return;
  }
  m_restore(*recorded);
}

}  // namespace pistachiowalk
