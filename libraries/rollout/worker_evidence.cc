#include "rollout/worker_evidence.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Weight of a worker's earlier answers from slice to slice, and the part of the
// most used worker's answers from which on one is active.
constexpr double kAnswerDecay = 0.85;
constexpr double kActivePart = 0.2;
constexpr double kForgottenAnswers = 0.05;

}  // namespace

double LogLikelihoodRatio(uint32_t hits,
                          uint32_t answers,
                          const ShareHypotheses& shares) {
  return hits * std::log(shares.bad / shares.good) +
         (answers - hits) * std::log((1.0 - shares.bad) / (1.0 - shares.good));
}

void WorkerEvidence::Add(const Slices& slices,
                         double maximum_gain,
                         double threshold) {
  double gain = 0.0;
  for (const auto& [key, slice] : slices) {
    gain += std::max(0.0, slice.ratio);
  }
  const double scale = gain > maximum_gain ? maximum_gain / gain : 1.0;
  for (auto& [key, worker] : m_workers) {
    worker.answers *= kAnswerDecay;
  }
  for (const auto& [key, slice] : slices) {
    m_workers[key].answers += slice.answers;
  }
  std::erase_if(m_workers, [](const auto& entry) {
    return entry.second.answers < kForgottenAnswers;
  });
  const double maximum = MaximumOfWorker(threshold);
  for (const auto& [key, slice] : slices) {
    const auto found = m_workers.find(key);
    if (found != m_workers.end()) {
      found->second.sum = std::clamp(
          found->second.sum +
              (slice.ratio > 0.0 ? scale * slice.ratio : slice.ratio),
          0.0, maximum);
    }
  }
}

size_t WorkerEvidence::active_count() const {
  double most = 0.0;
  for (const auto& [key, worker] : m_workers) {
    most = std::max(most, worker.answers);
  }
  return static_cast<size_t>(std::count_if(
      m_workers.begin(), m_workers.end(), [most](const auto& entry) {
        return entry.second.answers >= kActivePart * most;
      }));
}

double WorkerEvidence::MaximumOfWorker(double threshold) const {
  const size_t needed = active_count() / 2 + 1;
  return threshold / static_cast<double>(needed);
}

double WorkerEvidence::Sum(double threshold) const {
  const double maximum = MaximumOfWorker(threshold);
  double sum = 0.0;
  for (const auto& [key, worker] : m_workers) {
    sum += std::min(worker.sum, maximum);
  }
  return sum;
}

}  // namespace pistachiowalk
