#include "duty/merged_record.h"

#include <utility>

namespace pistachiowalk {

MergedRecord::MergedRecord(StorePort& store,
                           std::string key,
                           MergeCallback merge)
    : m_store(store), m_key(std::move(key)), m_merge(std::move(merge)) {}

bool MergedRecord::Read(ReadCallback ended) {
  if (m_is_calling) {
    return false;
  }
  m_is_calling = true;
  m_store.Get(m_key,
              [this, ended = std::move(ended),
               alive = std::weak_ptr(m_alive)](const StoreResult& result) {
                if (alive.expired()) {
                  return;
                }
                m_is_calling = false;
                const bool is_read = result.status == StoreStatus::kOk;
                if (is_read) {
                  m_is_read = true;
                  m_store_revision = result.revision;
                  Merge(result.value);
                }
                ended(is_read);
              });
  return true;
}

void MergedRecord::Write(const std::string& value, uint64_t revision) {
  if (!m_is_read || m_is_calling || m_written_revision == revision) {
    return;
  }
  m_is_calling = true;
  m_store.CompareAndSwap(
      m_key, m_store_revision, value,
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

void MergedRecord::NoteStoreRestored() {
  ++m_restores;
  m_is_read = false;
  m_written_revision.reset();
}

void MergedRecord::Merge(const std::string& value) const {
  if (!value.empty()) {
    m_merge(value);
  }
}

}  // namespace pistachiowalk
