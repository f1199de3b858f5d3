#include "service_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pistachiowalk::measure {
namespace {

double Seconds(std::chrono::milliseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

// Latest wait for which a request still ends by its deadline, with twice the
// mean service time allowed for.
double MaximumWait(const Workload& workload) {
  return Seconds(workload.service.deadline) - 2 * workload.service_time_s;
}

double MaximumWaitInTarget(const Workload& workload) {
  return Seconds(workload.service.first_token_target) - workload.prefill_time_s;
}

}  // namespace

ServiceQueue::ServiceQueue(const Workload& workload, uint64_t seed)
    : m_workload(workload),
      m_generator(seed),
      m_end_chance(1.0 - std::exp(-1.0 / workload.service_time_s)) {}

uint32_t ServiceQueue::DrawEnded(uint32_t running) {
  return std::binomial_distribution<uint32_t>(running,
                                              m_end_chance)(m_generator);
}

uint32_t ServiceQueue::TakeShare(uint32_t vm_slots, uint32_t slots_before) {
  if (slots_before == 0) {
    return 0;
  }
  const double share =
      std::min(1.0, static_cast<double>(vm_slots) / slots_before);
  const auto taken = static_cast<uint32_t>(std::lround(m_running * share));
  m_running -= taken;
  return taken;
}

void ServiceQueue::BeginDrain(uint32_t vm_slots,
                              uint32_t slots_before,
                              int until_s) {
  m_draining_vms.push_back(DrainingVm{
      .running = TakeShare(vm_slots, slots_before), .until_s = until_s});
  m_totals.recomputed_tokens += m_workload.cached_tokens;
}

void ServiceQueue::Lose(uint32_t vm_slots, uint32_t slots_before) {
  Resume(TakeShare(vm_slots, slots_before));
  m_totals.recomputed_tokens += m_workload.cached_tokens;
}

void ServiceQueue::Resume(uint32_t requests) {
  if (requests == 0) {
    return;
  }
  m_totals.recomputed_tokens +=
      static_cast<uint64_t>(requests) * m_workload.context_tokens;
  m_queue.push_front(
      Cohort{.arrived_s = m_now_s, .count = requests, .is_resumed = true});
  m_queued += requests;
}

void ServiceQueue::StepDraining() {
  for (auto it = m_draining_vms.begin(); it != m_draining_vms.end();) {
    it->running -= DrawEnded(it->running);
    if (m_now_s < it->until_s) {
      ++it;
      continue;
    }
    Resume(it->running);
    it = m_draining_vms.erase(it);
  }
}

void ServiceQueue::CountServed(const Cohort& cohort, uint64_t count) {
  if (!cohort.is_resumed &&
      m_now_s - cohort.arrived_s <= MaximumWaitInTarget(m_workload)) {
    m_totals.met += count;
  }
}

void ServiceQueue::Admit(uint32_t slots) {
  uint64_t free = slots > m_running ? slots - m_running : 0;
  while (free > 0 && !m_queue.empty()) {
    Cohort& cohort = m_queue.front();
    const uint64_t count = std::min(free, cohort.count);
    CountServed(cohort, count);
    m_running += static_cast<uint32_t>(count);
    m_queued -= count;
    free -= count;
    cohort.count -= count;
    if (cohort.count == 0) {
      m_queue.pop_front();
    }
  }
}

void ServiceQueue::DropExpired() {
  const double limit = MaximumWait(m_workload);
  while (!m_queue.empty() && m_now_s - m_queue.front().arrived_s > limit) {
    m_totals.deadline_missed += m_queue.front().count;
    m_queued -= m_queue.front().count;
    m_queue.pop_front();
  }
}

void ServiceQueue::Step(double demand_slots, uint32_t slots) {
  ++m_now_s;
  m_running -= DrawEnded(m_running);
  StepDraining();
  const uint64_t arrived = std::poisson_distribution<uint64_t>(
      demand_slots / m_workload.service_time_s)(m_generator);
  if (arrived > 0) {
    m_totals.requests += arrived;
    m_queued += arrived;
    m_queue.push_back(Cohort{.arrived_s = m_now_s, .count = arrived});
  }
  DropExpired();
  Admit(slots);
}

}  // namespace pistachiowalk::measure
