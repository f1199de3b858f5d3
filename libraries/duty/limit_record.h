#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/customer_limits.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Keeps the use of customers close to their limit in the store, so that it is
// known after all nodes were killed at once. Written by the duties' holder,
// and only while some customer is close to its limit.
class LimitRecord {
 public:
  // Use at the true time `recorded_at`.
  using RestoreCallback =
      std::function<void(const CustomerUsages& use,
                         std::chrono::system_clock::time_point recorded_at)>;

  LimitRecord(StorePort& store, std::string key);

  void Restore(RestoreCallback callback);
  // Writes `use` unless it is empty or a write is open.
  void Write(const CustomerUsages& use,
             std::chrono::system_clock::time_point wall);

 private:
  StorePort& m_store;
  std::string m_key;
  StoreRevision m_revision = 0;
  bool m_is_writing = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// "milliseconds since 1970" on the first line, then "customer=amounts" by
// lines, the amounts by age.
std::string FormatLimitRecord(const CustomerUsages& use,
                              std::chrono::system_clock::time_point wall);
// False for what is no record.
bool ParseLimitRecord(const std::string& text,
                      CustomerUsages& use,
                      std::chrono::system_clock::time_point& wall);

}  // namespace pistachiowalk
