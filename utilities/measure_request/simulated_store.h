#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "base/clock.h"
#include "store/store_port.h"
#include "utilities/measure_request/simulation_options.h"

namespace pistachiowalk::measure {

// Runs a function after a delay of the simulated clock.
using ScheduleFunction =
    std::function<void(Duration delay, std::function<void()> function)>;

// How reliable the platform's store is in one history.
struct SimulatedStoreOptions {
  // Share of the calls that fail with a random fault.
  double fault_share = 0;
  Duration slowest_call = std::chrono::milliseconds(10);
  InjectedFault fault = InjectedFault::kNone;
};

enum class StoreAvailability {
  kUp,
  // Calls are refused or go unanswered.
  kDown,
};

// A fake of the platform's store: slow, with outages, lost calls, lost answers
// and writes that take effect long after their caller gave up.
class SimulatedStore {
 public:
  using Callback = StorePort::Callback;

  SimulatedStore(SimulatedStoreOptions options,
                 std::mt19937_64& random,
                 ScheduleFunction schedule);

  void Get(const std::string& key,
           StoreAvailability availability,
           const Callback& callback);
  void CompareAndSwap(const std::string& key,
                      StoreRevision expected,
                      const std::string& value,
                      StoreAvailability availability,
                      const Callback& callback);

 private:
  struct Item {
    std::string value;
    StoreRevision revision = 0;
  };

  Duration DrawDelay(Duration longest);
  bool DrawChance(double share);
  StoreResult Read(const std::string& key) const;
  StoreResult Write(const std::string& key,
                    StoreRevision expected,
                    const std::string& value);
  // Performs a call that meets a fault.
  void CallWithFault(const std::function<StoreResult()>& perform,
                     const Callback& callback);
  void Call(StoreAvailability availability,
            const std::function<StoreResult()>& perform,
            const Callback& callback);

  const SimulatedStoreOptions m_options;
  std::mt19937_64& m_random;
  ScheduleFunction m_schedule;
  std::map<std::string, Item> m_items;
  StoreRevision m_last_revision = 0;
};

}  // namespace pistachiowalk::measure
