#include "duty/kept_value.h"

#include <utility>

namespace pistachiowalk {

KeptValue::KeptValue(StorePort& store, std::string key, ReadCallback on_read)
    : m_store(store), m_key(std::move(key)), m_on_read(std::move(on_read)) {}

bool KeptValue::Read() {
  if (m_is_read || m_is_calling) {
    return false;
  }
  m_is_calling = true;
  m_store.Get(m_key,
              Guard([this](const StoreResult& result) { OnRead(result); }));
  return true;
}

bool KeptValue::Keep(const std::string& value) {
  if (!m_is_read) {
    return Read();
  }
  if (m_is_calling || m_stored == value) {
    return false;
  }
  m_is_calling = true;
  m_store.CompareAndSwap(m_key, m_store_revision, value,
                         Guard([this, value](const StoreResult& result) {
                           OnWritten(value, result);
                         }));
  return true;
}

void KeptValue::Forget() {
  ++m_forgotten;
  m_is_read = false;
}

StorePort::Callback KeptValue::Guard(
    std::function<void(const StoreResult&)> handle) {
  return [this, handle = std::move(handle), forgotten = m_forgotten,
          alive = std::weak_ptr(m_alive)](const StoreResult& result) {
    if (alive.expired()) {
      return;
    }
    m_is_calling = false;
    const bool has_answer = result.status == StoreStatus::kOk ||
                            result.status == StoreStatus::kConflict;
    m_failures = has_answer ? 0 : m_failures + 1;
    if (forgotten == m_forgotten) {
      handle(result);
    }
  };
}

void KeptValue::OnRead(const StoreResult& result) {
  if (result.status == StoreStatus::kOk) {
    SetStored(result);
  }
}

void KeptValue::OnWritten(const std::string& value, const StoreResult& result) {
  switch (result.status) {
    case StoreStatus::kOk:
      m_store_revision = result.revision;
      m_stored = value;
      return;
    case StoreStatus::kConflict:
      SetStored(result);
      return;
    case StoreStatus::kUnknown:
      // NOTE: It may have taken effect, or still do so.
      m_is_read = false;
      return;
    case StoreStatus::kUnavailable:
      return;
  }
}

void KeptValue::SetStored(const StoreResult& result) {
  m_is_read = true;
  m_store_revision = result.revision;
  m_stored = result.value;
  if (!m_stored.empty()) {
    m_on_read(m_stored);
  }
}

}  // namespace pistachiowalk
