#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "store/store_port.h"

namespace pistachiowalk::testing {

// The fault of one call to a FakeStore.
enum class StoreFault {
  kNone,
  // Not executed, and the caller is told so.
  kUnavailable,
  // Executed, but the response is lost.
  kAnswerLost,
  // Not executed, and the caller receives no response.
  kCallLost,
};

// An in-memory store. Calls stay pending until the test answers them.
class FakeStore final : public StorePort {
 public:
  void Get(const std::string& key, Callback callback) override;
  void CompareAndSwap(const std::string& key,
                      StoreRevision expected,
                      std::string value,
                      Callback callback) override;
  void Watch(const std::string& key,
             StoreRevision after,
             std::chrono::milliseconds wait,
             Callback callback) override;

  // Sets the faults of the next calls, in order; later calls have none.
  void PlanFaults(std::deque<StoreFault> faults) { m_faults = faults; }
  // Answers calls until none is pending, including those that callbacks start.
  void AnswerAll();
  // Answers the oldest pending call. Returns false when none is pending.
  bool AnswerNext();
  // Writes a key at once and unconditionally, as another client of the store.
  void Put(const std::string& key, std::string value);
  std::string ValueAt(const std::string& key) const;
  // The state that RestoreCopy() returns to.
  void KeepCopy();
  // Loses all writes since KeepCopy() and begins a new history.
  void RestoreCopy();
  StoreHistory history() const { return m_history; }
  uint64_t writes() const { return m_writes; }
  uint64_t reads() const { return m_reads; }

 private:
  struct Item {
    std::string value;
    StoreRevision revision = 0;
  };

  StoreFault NextFault();
  StoreResult Read(const std::string& key) const;
  StoreResult Write(const std::string& key,
                    StoreRevision expected,
                    std::string value);

  std::map<std::string, Item> m_items;
  std::map<std::string, Item> m_copy;
  StoreRevision m_copy_revision = 0;
  StoreHistory m_history = 0;
  std::deque<StoreFault> m_faults;
  std::deque<std::function<void()>> m_pending;
  StoreRevision m_last_revision = 0;
  uint64_t m_writes = 0;
  uint64_t m_reads = 0;
};

}  // namespace pistachiowalk::testing
