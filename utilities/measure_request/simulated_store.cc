#include "utilities/measure_request/simulated_store.h"

#include <utility>

namespace pistachiowalk::measure {
namespace {

constexpr Duration kShortDelay = std::chrono::milliseconds(5);
constexpr Duration kLatestEffect = std::chrono::seconds(4);

enum class CallFault {
  kRefused,
  kCallLost,
  kAnswerLost,
  kLateEffect,
  kSilentBefore,
  kSilentAfter,
};
constexpr int kCallFaults = 6;

StoreResult Unknown() {
  return {.status = StoreStatus::kUnknown, .revision = 0, .value = ""};
}

}  // namespace

SimulatedStore::SimulatedStore(SimulatedStoreOptions options,
                               std::mt19937_64& random,
                               ScheduleFunction schedule)
    : m_options(options), m_random(random), m_schedule(std::move(schedule)) {}

Duration SimulatedStore::DrawDelay(Duration longest) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, longest.count())(m_random));
}

bool SimulatedStore::DrawChance(double share) {
  return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

StoreResult SimulatedStore::Read(const std::string& key) const {
  const auto it = m_items.find(key);
  if (it == m_items.end()) {
    return {.status = StoreStatus::kOk, .revision = 0, .value = ""};
  }
  return {.status = StoreStatus::kOk,
          .revision = it->second.revision,
          .value = it->second.value};
}

StoreResult SimulatedStore::Write(const std::string& key,
                                  StoreRevision expected,
                                  const std::string& value) {
  StoreResult current = Read(key);
  if (current.revision != expected &&
      m_options.fault != InjectedFault::kStoreOverwrites) {
    current.status = StoreStatus::kConflict;
    return current;
  }
  m_items[key] = Item{value, ++m_last_revision};
  return Read(key);
}

void SimulatedStore::CallWithFault(const std::function<StoreResult()>& perform,
                                   const Callback& callback) {
  const int drawn =
      std::uniform_int_distribution<int>(0, kCallFaults - 1)(m_random);
  switch (static_cast<CallFault>(drawn)) {
    case CallFault::kRefused:
      m_schedule(DrawDelay(kShortDelay),
                 [callback] { callback(StoreResult{}); });
      return;
    case CallFault::kCallLost:
      m_schedule(DrawDelay(m_options.slowest_call),
                 [callback] { callback(Unknown()); });
      return;
    case CallFault::kAnswerLost:
      m_schedule(DrawDelay(kShortDelay), [perform] { perform(); });
      m_schedule(kShortDelay + DrawDelay(m_options.slowest_call),
                 [callback] { callback(Unknown()); });
      return;
    case CallFault::kLateEffect:
      m_schedule(DrawDelay(kLatestEffect), [perform] { perform(); });
      m_schedule(DrawDelay(m_options.slowest_call),
                 [callback] { callback(Unknown()); });
      return;
    case CallFault::kSilentBefore:
      return;
    case CallFault::kSilentAfter:
      m_schedule(DrawDelay(kLatestEffect), [perform] { perform(); });
      return;
  }
}

void SimulatedStore::Call(StoreAvailability availability,
                          const std::function<StoreResult()>& perform,
                          const Callback& callback) {
  if (DrawChance(m_options.fault_share)) {
    CallWithFault(perform, callback);
    return;
  }
  if (availability == StoreAvailability::kDown) {
    // Half of the calls are refused, the others go unanswered.
    if (DrawChance(0.5)) {
      m_schedule(DrawDelay(kShortDelay),
                 [callback] { callback(StoreResult{}); });
    }
    return;
  }
  const Duration send_delay = DrawDelay(m_options.slowest_call);
  const Duration return_delay = DrawDelay(m_options.slowest_call);
  m_schedule(send_delay, [this, perform, callback, return_delay] {
    const StoreResult result = perform();
    m_schedule(return_delay, [callback, result] { callback(result); });
  });
}

void SimulatedStore::Get(const std::string& key,
                         StoreAvailability availability,
                         const Callback& callback) {
  Call(
      availability, [this, key] { return Read(key); }, callback);
}

void SimulatedStore::CompareAndSwap(const std::string& key,
                                    StoreRevision expected,
                                    const std::string& value,
                                    StoreAvailability availability,
                                    const Callback& callback) {
  Call(
      availability,
      [this, key, expected, value] { return Write(key, expected, value); },
      callback);
}

}  // namespace pistachiowalk::measure
