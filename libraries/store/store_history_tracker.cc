#include "store/store_history_tracker.h"

#include <utility>

namespace pistachiowalk {

void StoreHistoryTracker::Subscribe(Observer observer) {
  m_observers.push_back(std::move(observer));
}

void StoreHistoryTracker::Observe(StoreHistory history) {
  if (history <= m_current) {
    return;
  }
  const StoreHistory before = std::exchange(m_current, history);
  for (const Observer& observer : m_observers) {
    observer(before, history);
  }
}

}  // namespace pistachiowalk
