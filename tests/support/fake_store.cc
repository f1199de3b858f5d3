#include "support/fake_store.h"

#include <algorithm>
#include <utility>

namespace pistachiowalk::testing {

StoreFault FakeStore::NextFault() {
  if (m_faults.empty()) {
    return StoreFault::kNone;
  }
  const StoreFault fault = m_faults.front();
  m_faults.pop_front();
  return fault;
}

StoreResult FakeStore::Read(const std::string& key) const {
  const auto it = m_items.find(key);
  if (it == m_items.end()) {
    return {.status = StoreStatus::kOk,
            .revision = 0,
            .value = "",
            .history = m_history};
  }
  return {.status = StoreStatus::kOk,
          .revision = it->second.revision,
          .value = it->second.value,
          .history = m_history};
}

StoreResult FakeStore::Write(const std::string& key,
                             StoreRevision expected,
                             std::string value) {
  StoreResult current = Read(key);
  if (current.revision != expected) {
    current.status = StoreStatus::kConflict;
    return current;
  }
  m_items[key] = Item{std::move(value), ++m_last_revision};
  return Read(key);
}

void FakeStore::Get(const std::string& key, Callback callback) {
  ++m_reads;
  const StoreFault fault = NextFault();
  m_pending.push_back([this, key, fault, callback = std::move(callback)] {
    callback(fault == StoreFault::kNone ? Read(key) : StoreResult{});
  });
}

void FakeStore::CompareAndSwap(const std::string& key,
                               StoreRevision expected,
                               std::string value,
                               Callback callback) {
  ++m_writes;
  const StoreFault fault = NextFault();
  m_pending.push_back([this, key, expected, value = std::move(value), fault,
                       callback = std::move(callback)] {
    StoreResult result;
    if (fault == StoreFault::kNone || fault == StoreFault::kAnswerLost) {
      result = Write(key, expected, value);
    }
    if (fault == StoreFault::kAnswerLost || fault == StoreFault::kCallLost) {
      result = StoreResult{
          .status = StoreStatus::kUnknown, .revision = 0, .value = ""};
    }
    callback(result);
  });
}

void FakeStore::Watch(const std::string& key,
                      StoreRevision /*after*/,
                      std::chrono::milliseconds /*wait*/,
                      Callback callback) {
  Get(key, std::move(callback));
}

bool FakeStore::AnswerNext() {
  if (m_pending.empty()) {
    return false;
  }
  const std::function<void()> answer = std::move(m_pending.front());
  m_pending.pop_front();
  answer();
  return true;
}

void FakeStore::AnswerAll() {
  while (AnswerNext()) {
  }
}

void FakeStore::Put(const std::string& key, std::string value) {
  m_items[key] = Item{std::move(value), ++m_last_revision};
}

void FakeStore::KeepCopy() {
  m_copy = m_items;
  m_copy_revision = m_last_revision;
}

void FakeStore::RestoreCopy() {
  m_items = m_copy;
  m_last_revision = m_copy_revision;
  m_history = std::max<StoreHistory>(m_history, 1) + 1;
}

std::string FakeStore::ValueAt(const std::string& key) const {
  return Read(key).value;
}

}  // namespace pistachiowalk::testing
