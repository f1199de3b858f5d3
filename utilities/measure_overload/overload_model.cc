#include "overload_model.h"

#include <algorithm>
#include <string>

namespace pistachiowalk::measure {
namespace {

constexpr size_t kSlots = 64;
constexpr double kMeanServiceSeconds = 0.4;
constexpr double kWaitTargetSeconds = 1.9;
constexpr double kDeadlineSeconds = 4.0;
constexpr double kFailureShare = 0.05;
constexpr uint32_t kMaximumCallerRetries = 2;
// Customer 0 asks for half of everything; all have the same weight.
constexpr std::array<double, kCustomers> kCustomerShares{0.5, 0.2, 0.1, 0.1,
                                                         0.1};
constexpr std::array<double, kPriorities> kPriorityShares{0.1, 0.4, 0.3, 0.2};

TimePoint At(double seconds) {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds)));
}

Duration Interval(double seconds) {
  return At(seconds) - TimePoint{};
}

template <size_t N>
size_t Pick(const std::array<double, N>& shares, double unit) {
  for (size_t i = 0; i + 1 < N; ++i) {
    if (unit < shares[i]) {
      return i;
    }
    unit -= shares[i];
  }
  return N - 1;
}

}  // namespace

double OverloadModel::CapacityPerSecond() {
  return kSlots / kMeanServiceSeconds;
}

double OverloadModel::Uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_generator);
}

double OverloadModel::LoadAt(double time) const {
  double load = 0.0;
  for (const LoadStep& step : m_steps) {
    load = time >= step.start_second ? step.load : load;
  }
  return load;
}

double OverloadModel::NextArrival(double time) {
  const double rate = LoadAt(time) * CapacityPerSecond();
  return time + std::exponential_distribution<double>(rate)(m_generator);
}

OverloadModel::Call OverloadModel::NewCall(double time) {
  Call call{.customer = Pick(kCustomerShares, Uniform()),
            .priority = Pick(kPriorityShares, Uniform()),
            .arrived_at = time};
  ++m_figures.offered_by_customer[call.customer];
  ++m_figures.offered_by_priority[call.priority];
  return call;
}

void OverloadModel::Offer(Call call) {
  const TimePoint now = At(call.arrived_at);
  const CustomerName customer(std::to_string(call.customer));
  const double wait =
      static_cast<double>(m_waiting.size()) / CapacityPerSecond();
  const AdmissionDecision decision = DecideAdmission(
      {.priority = static_cast<Priority>(call.priority),
       .expected_wait = Interval(wait),
       .wait_target = Interval(kWaitTargetSeconds),
       .fair_share_ratio = m_fair_shares.FairShareRatio(customer, now)});
  if (decision.verdict == AdmissionVerdict::kAdmitted) {
    m_fair_shares.RecordRequest(customer, 1.0, now);
    m_budget.RecordFirstAttempt();
    ++m_figures.first_attempts;
    ++m_figures.attempts;
    m_waiting.push_back(call);
    StartWaiting(call.arrived_at);
    return;
  }
  if (call.caller_retries < kMaximumCallerRetries) {
    ++call.caller_retries;
    const double delay =
        static_cast<double>(decision.retry_after.count()) * (1.0 + Uniform());
    call.arrived_at += delay;
    m_caller_retries.push(call);
  }
}

void OverloadModel::StartWaiting(double time) {
  while (m_running.size() < kSlots && !m_waiting.empty()) {
    // Within the queue the highest priority goes first.
    const auto next = std::min_element(
        m_waiting.begin(), m_waiting.end(),
        [](const Call& a, const Call& b) { return a.priority < b.priority; });
    const double service = std::exponential_distribution<double>(
        1.0 / kMeanServiceSeconds)(m_generator);
    m_running.push(Running{.ends_at = time + service, .call = *next});
    m_waiting.erase(next);
  }
}

void OverloadModel::End(const Running& running) {
  const Call& call = running.call;
  const double spent = running.ends_at - call.arrived_at;
  if (Uniform() < kFailureShare) {
    if (spent < kDeadlineSeconds && m_budget.TryAcquireRetry()) {
      ++m_figures.attempts;
      m_waiting.push_back(call);
    }
  } else if (spent <= kDeadlineSeconds) {
    const auto second = static_cast<size_t>(running.ends_at);
    if (second < m_figures.good_by_second.size()) {
      ++m_figures.good_by_second[second];
    }
    ++m_figures.good_by_priority[call.priority];
    ++m_figures.good_by_customer[call.customer];
  }
  StartWaiting(running.ends_at);
}

OverloadFigures OverloadModel::Run() {
  m_figures = OverloadFigures{};
  m_figures.good_by_second.resize(m_seconds);
  double arrival = NextArrival(0.0);
  while (true) {
    const double caller_retry = m_caller_retries.empty()
                                    ? m_seconds
                                    : m_caller_retries.top().arrived_at;
    const double end = m_running.empty() ? m_seconds : m_running.top().ends_at;
    const double next = std::min({arrival, caller_retry, end});
    if (next >= m_seconds) {
      return m_figures;
    }
    if (next == end) {
      const Running running = m_running.top();
      m_running.pop();
      End(running);
    } else if (next == caller_retry) {
      const Call call = m_caller_retries.top();
      m_caller_retries.pop();
      Offer(call);
    } else {
      Offer(NewCall(arrival));
      arrival = NextArrival(arrival);
    }
  }
}

}  // namespace pistachiowalk::measure
