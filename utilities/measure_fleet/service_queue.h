#pragma once

#include <cstdint>
#include <deque>
#include <random>

#include "day.h"

namespace pistachiowalk::measure {

// Counts of a service's requests by outcome.
struct QueueTotals {
  uint64_t requests = 0;
  // First token, or a plain answer, within its target.
  uint64_t met = 0;
  // Not answered by the deadline.
  uint64_t deadline_missed = 0;
  uint64_t recomputed_tokens = 0;
};

// The requests of one service in steps of a second: Poisson arrivals, first
// come first served, exponential service times.
class ServiceQueue {
 public:
  ServiceQueue(const Workload& workload, uint64_t seed);

  // One second with `slots` open to new work.
  void Step(double demand_slots, uint32_t slots);
  // A VM stops taking work; what runs on it goes on until StepDraining().
  void BeginDrain(uint32_t vm_slots, uint32_t slots_before, int until_s);
  // A VM is lost without notice.
  void Lose(uint32_t vm_slots, uint32_t slots_before);

  uint32_t running() const { return m_running; }
  uint64_t queued() const { return m_queued; }
  const QueueTotals& totals() const { return m_totals; }

 private:
  // Requests that arrived in the same second.
  struct Cohort {
    int arrived_s = 0;
    uint64_t count = 0;
    bool is_resumed = false;
  };
  struct DrainingVm {
    uint32_t running = 0;
    int until_s = 0;
  };

  uint32_t DrawEnded(uint32_t running);
  uint32_t TakeShare(uint32_t vm_slots, uint32_t slots_before);
  void Resume(uint32_t requests);
  void StepDraining();
  void Admit(uint32_t slots);
  void DropExpired();
  void CountServed(const Cohort& cohort, uint64_t count);

  Workload m_workload;
  std::mt19937_64 m_generator;
  double m_end_chance;
  int m_now_s = -kWarmUpSeconds;
  uint32_t m_running = 0;
  uint64_t m_queued = 0;
  std::deque<Cohort> m_queue;
  std::deque<DrainingVm> m_draining_vms;
  QueueTotals m_totals;
};

}  // namespace pistachiowalk::measure
