#include "duty/version_record.h"

#include <utility>

#include "base/bounded_codec.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {

VersionRecord::VersionRecord(StorePort& store,
                             std::string key,
                             ServiceVersions& versions)
    : m_versions(versions),
      m_record(store, std::move(key), [this](const std::string& value) {
        Merge(value);
      }) {}

void VersionRecord::Restore() {
  if (!m_versions.has_record() || !m_record.is_read()) {
    m_record.Read();
  }
}

bool VersionRecord::Refresh(MergedRecord::ReadCallback ended) {
  return m_record.Read(std::move(ended));
}

void VersionRecord::Write(int64_t now_ms) {
  m_record.Write(EncodeMessage(m_versions.Record(now_ms)),
                 m_versions.revision());
}

void VersionRecord::Merge(const std::string& value) {
  const auto recorded = DecodeMessage<ServedVersionsRecord>(value);
  if (!recorded) {
    LogEvent(duty_log::kVersionsUnreadable, {{"key", m_record.key()}});
    return;
  }
  m_versions.Merge(*recorded);
}

}  // namespace pistachiowalk
