#include "utilities/measure_request/claim_load.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "request/claim_range.h"
#include "utilities/measure_request/simulated_store.h"

namespace pistachiowalk::measure {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kActionTime = milliseconds(50);
constexpr size_t kReplyBytes = 100;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Writers of all ranges on one clock, with Poisson arrivals.
class ClaimLoadRun {
 public:
  explicit ClaimLoadRun(const ClaimLoad& load)
      : m_load(load),
        m_random(load.seed),
        m_store({.fault_share = 0, .slowest_call = milliseconds(4)},
                m_random,
                [this](Duration delay, std::function<void()> function) {
                  Schedule(delay, std::move(function));
                }) {
    for (uint64_t i = 0; i < load.ranges * load.writers; ++i) {
      ClaimRangeOptions options;
      options.prefix = "claims/" + std::to_string(i / load.writers);
      m_writers.push_back(std::make_unique<ClaimRange>(
          options, NodeId("n" + std::to_string(i % load.writers))));
    }
  }

  ClaimLoadResult Run() {
    const double cpu_start = CpuSeconds();
    const size_t bytes_start = mallinfo2().uordblks;
    PlanArrival();
    for (size_t i = 0; i < m_writers.size(); ++i) {
      PlanTick(i);
    }
    while (!m_events.empty()) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    return Result(CpuSeconds() - cpu_start, mallinfo2().uordblks - bytes_start);
  }

 private:
  void Schedule(Duration delay, std::function<void()> function) {
    m_events.emplace(m_now + delay, std::move(function));
  }

  bool IsOver() const { return m_now.time_since_epoch() > m_load.length; }

  ClaimTime Time() const {
    return {.now = m_now,
            .wall_ms = m_now.time_since_epoch() / milliseconds(1)};
  }

  void PlanArrival() {
    const double seconds =
        std::exponential_distribution<>(m_load.actions_per_second)(m_random);
    Schedule(std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(seconds)),
             [this] {
               if (!IsOver()) {
                 Arrive();
                 PlanArrival();
               }
             });
  }

  void PlanTick(size_t writer) {
    Schedule(kTickInterval, [this, writer] {
      Perform(writer, m_writers[writer]->Tick(Time()));
      if (!IsOver() || !m_writers[writer]->IsIdle()) {
        PlanTick(writer);
      }
    });
  }

  ClaimEntry EntryOf(ClaimEntryKind kind, const std::string& id) const {
    ClaimEntry entry{.kind = kind,
                     .key = "customer/service/" + id,
                     .request = RequestId("node-1.19af8b3c2d1." + id),
                     .digest = std::string(64, 'd')};
    if (kind == ClaimEntryKind::kOutcome) {
      entry.reply = {201, "application/json", std::string(kReplyBytes, 'r')};
    }
    return entry;
  }

  void Arrive() {
    const size_t writer = std::uniform_int_distribution<size_t>(
        0, m_writers.size() - 1)(m_random);
    const ClaimEntry claim =
        EntryOf(ClaimEntryKind::kClaim, std::to_string(++m_result.actions));
    m_claimed_at[claim.request] = m_now;
    Perform(writer, m_writers[writer]->Claim(claim, Time()));
  }

  void Perform(size_t writer, const ClaimCommands& commands) {
    for (const ClaimCommand& command : commands) {
      if (const auto* read = std::get_if<ReadSegment>(&command)) {
        ++m_reads;
        m_store.Get(read->key, StoreAvailability::kUp,
                    Answer(writer, read->call));
      } else if (const auto* write = std::get_if<WriteSegment>(&command)) {
        ++m_writes;
        m_written_bytes += write->value.size();
        m_store.CompareAndSwap(write->key, write->expected, write->value,
                               StoreAvailability::kUp,
                               Answer(writer, write->call));
      } else {
        OnSettled(writer, std::get<SettleClaim>(command));
      }
    }
  }

  StorePort::Callback Answer(size_t writer, StoreCallNumber call) {
    return [this, writer, call](const StoreResult& result) {
      Perform(writer, m_writers[writer]->OnStoreResult(call, result, Time()));
    };
  }

  void OnSettled(size_t writer, const SettleClaim& settled) {
    const auto it = m_claimed_at.find(settled.request);
    m_latencies.push_back(
        std::chrono::duration<double, std::milli>(m_now - it->second).count());
    m_claimed_at.erase(it);
    if (settled.decided.verdict != ClaimVerdict::kGranted) {
      ++m_result.refused;
      return;
    }
    const std::string& request = settled.request.value();
    Schedule(kActionTime, [this, writer,
                           id = request.substr(request.rfind('.') + 1)] {
      Perform(writer, m_writers[writer]->RecordOutcome(
                          EntryOf(ClaimEntryKind::kOutcome, id), Time()));
    });
  }

  double LatencyAt(double share) {
    if (m_latencies.empty()) {
      return 0;
    }
    std::sort(m_latencies.begin(), m_latencies.end());
    return m_latencies[static_cast<size_t>(
        share * static_cast<double>(m_latencies.size() - 1))];
  }

  ClaimLoadResult Result(double cpu_seconds, size_t bytes) {
    const double seconds = std::chrono::duration<double>(m_load.length).count();
    const auto actions = static_cast<double>(m_result.actions);
    ClaimLoadResult result = m_result;
    result.writes_per_second = static_cast<double>(m_writes) / seconds;
    result.reads_per_second = static_cast<double>(m_reads) / seconds;
    result.written_bytes_per_second =
        static_cast<double>(m_written_bytes) / seconds;
    result.added_latency_p50_ms = LatencyAt(0.5);
    result.added_latency_p99_ms = LatencyAt(0.99);
    result.cpu_us_per_action = cpu_seconds * 1e6 / actions;
    // The fake store's own copy counts as well.
    result.state_bytes_per_action = static_cast<double>(bytes) / actions;
    return result;
  }

  const ClaimLoad m_load;
  std::mt19937_64 m_random;
  TimePoint m_now{};
  std::multimap<TimePoint, std::function<void()>> m_events;
  SimulatedStore m_store;
  std::vector<std::unique_ptr<ClaimRange>> m_writers;
  std::map<RequestId, TimePoint> m_claimed_at;
  std::vector<double> m_latencies;
  uint64_t m_writes = 0;
  uint64_t m_reads = 0;
  uint64_t m_written_bytes = 0;
  ClaimLoadResult m_result;
};

}  // namespace

ClaimLoadResult RunClaimLoad(const ClaimLoad& load) {
  return ClaimLoadRun(load).Run();
}

}  // namespace pistachiowalk::measure
