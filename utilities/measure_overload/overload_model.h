#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <vector>

#include "routing/admission.h"
#include "routing/retry_budget.h"

namespace pistachiowalk::measure {

constexpr size_t kCustomers = 5;
constexpr size_t kPriorities = 4;

// Results of one run.
struct OverloadFigures {
  // Requests answered in time, each second.
  std::vector<uint32_t> good_by_second;
  std::array<uint64_t, kPriorities> offered_by_priority{};
  std::array<uint64_t, kPriorities> good_by_priority{};
  std::array<uint64_t, kCustomers> offered_by_customer{};
  std::array<uint64_t, kCustomers> good_by_customer{};
  uint64_t first_attempts = 0;
  uint64_t attempts = 0;
};

// Offered load as a share of capacity from `start_second` on.
struct LoadStep {
  uint32_t start_second = 0;
  double load = 1.0;
};

// A pool of slots behind one queue with admission control and a retry budget.
// Refused callers retry after Retry-After, at most twice.
class OverloadModel {
 public:
  OverloadModel(std::vector<LoadStep> steps, uint32_t seconds, uint64_t seed)
      : m_steps(std::move(steps)), m_seconds(seconds), m_generator(seed) {}

  OverloadFigures Run();
  static double CapacityPerSecond();

 private:
  struct Call {
    size_t customer = 0;
    size_t priority = 0;
    double arrived_at = 0.0;
    uint32_t caller_retries = 0;
    friend bool operator<(const Call& a, const Call& b) {
      return a.arrived_at > b.arrived_at;
    }
  };
  struct Running {
    double ends_at = 0.0;
    Call call;
    friend bool operator<(const Running& a, const Running& b) {
      return a.ends_at > b.ends_at;
    }
  };

  double Uniform();
  double LoadAt(double time) const;
  double NextArrival(double time);
  Call NewCall(double time);
  void Offer(Call call);
  void StartWaiting(double time);
  void End(const Running& running);

  std::vector<LoadStep> m_steps;
  uint32_t m_seconds;
  std::mt19937_64 m_generator;
  FairShareTracker m_fair_shares;
  RetryBudget m_budget;
  std::deque<Call> m_waiting;
  std::priority_queue<Running> m_running;
  std::priority_queue<Call> m_caller_retries;
  OverloadFigures m_figures;
};

}  // namespace pistachiowalk::measure
