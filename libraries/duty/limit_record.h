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

// Persists the usage of customers close to their limit in the store, so that it
// survives the loss of all nodes at once. Written by the holder of the duty
// lease, and only while some customer is close to its limit.
class LimitRecord {
 public:
  // Usages as of the cluster time `recorded_at`.
  using RestoreCallback =
      std::function<void(const CustomerUsages& usages,
                         std::chrono::system_clock::time_point recorded_at)>;

  LimitRecord(StorePort& store, std::string key);

  void Restore(RestoreCallback callback);
  // Writes `usages` unless it is empty or a write is pending.
  void Write(const CustomerUsages& usages,
             std::chrono::system_clock::time_point wall);

 private:
  StorePort& m_store;
  std::string m_key;
  StoreRevision m_revision = 0;
  bool m_is_writing = false;
  // How many customers the last record left out.
  size_t m_left_out = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

struct LimitRecordText {
  std::string text;
  // Customers that the record leaves out.
  size_t left_out = 0;
};

// Milliseconds since 1970 on the first line, then one line "customer=amounts"
// per customer, the amounts by age. The customers with the least usage are left
// out if the store could not hold all of them.
LimitRecordText FormatLimitRecord(const CustomerUsages& usages,
                                  std::chrono::system_clock::time_point wall);
// False if the text is not a valid record.
bool ParseLimitRecord(const std::string& text,
                      CustomerUsages& usages,
                      std::chrono::system_clock::time_point& wall);

}  // namespace pistachiowalk
