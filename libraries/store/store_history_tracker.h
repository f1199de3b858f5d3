#pragma once

#include <functional>
#include <vector>

#include "store/store_port.h"

namespace pistachiowalk {

// The latest history that the store has named in a response to this node. Does
// no I/O.
class StoreHistoryTracker {
 public:
  using Observer =
      std::function<void(StoreHistory before, StoreHistory current)>;

  // `observer` is called when a later history is seen for the first time.
  void Subscribe(Observer observer);
  // Called with the history that a response names; 0 if it names none.
  void Observe(StoreHistory history);
  // 0 until a response has named one.
  StoreHistory current() const { return m_current; }

 private:
  StoreHistory m_current = 0;
  std::vector<Observer> m_observers;
};

}  // namespace pistachiowalk
