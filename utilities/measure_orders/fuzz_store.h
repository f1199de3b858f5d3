#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/store_call.h"

namespace pistachiowalk::measure {

// The platform's store with delays, outages, lost calls and lost answers. A
// write may take effect long after its caller has given it up.
class FuzzStore {
 public:
  explicit FuzzStore(uint64_t seed) : m_generator(seed) {}

  // An answer that reaches its caller.
  struct Answer {
    size_t caller = 0;
    uint64_t number = 0;
    std::string key;
    StoreResult result;
  };

  void Call(size_t caller, const StoreCall& call, TimePoint now);
  std::vector<Answer> Step(TimePoint now);
  void BeginOutage(TimePoint until) { m_outage_until = until; }

 private:
  struct Item {
    StoreRevision revision = 0;
    std::string value;
  };
  struct Pending {
    size_t caller = 0;
    StoreCall call;
    TimePoint done_at;
    bool is_answer_lost = false;
    bool is_refused = false;
  };

  StoreResult Perform(const StoreCall& call);

  std::mt19937_64 m_generator;
  std::map<std::string, Item> m_items;
  std::vector<Pending> m_pending;
  StoreRevision m_last_revision = 0;
  TimePoint m_outage_until{};
};

}  // namespace pistachiowalk::measure
