#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace pistachiowalk {

// Shares of failed or slow answers between which a sequential probability ratio
// test decides.
struct ShareHypotheses {
  double good = 0.0;
  double bad = 0.0;

  friend auto operator<=>(const ShareHypotheses&,
                          const ShareHypotheses&) = default;
};

// How much more likely `hits` among `answers` are at a bad version than at a
// good one; the natural logarithm. `hits` must not exceed `answers`.
double LogLikelihoodRatio(uint32_t hits,
                          uint32_t answers,
                          const ShareHypotheses& shares);

// Evidence against a version from several of its workers: Page's cumulative
// sum of log likelihood ratios for each of them, so that good answers of an
// earlier time do not outweigh a version that turns bad.
//
// Failures of one worker come in clusters: it crashes or its machine is slow.
// So less than half of the workers that have answered lately cannot reach a
// threshold alone, nor can a single moment, as each addition is bounded.
class WorkerEvidence {
 public:
  // Of one worker in one slice of time.
  struct Slice {
    uint32_t answers = 0;
    double ratio = 0.0;

    friend auto operator<=>(const Slice&, const Slice&) = default;
  };
  using Slices = std::map<uint64_t, Slice>;

  // Gains are scaled so that they sum up to at most `maximum_gain`. No worker
  // is remembered for more than it can add to the sum.
  void Add(const Slices& slices, double maximum_gain, double threshold);
  // The sum over the workers; reaches `threshold` only if more than half of the
  // active ones add to it.
  double Sum(double threshold) const;
  // Workers with a notable part of the latest answers.
  size_t active_count() const;

 private:
  struct Worker {
    double sum = 0.0;
    // Earlier answers weigh less.
    double answers = 0.0;
  };
  double MaximumOfWorker(double threshold) const;

  std::map<uint64_t, Worker> m_workers;
};

}  // namespace pistachiowalk
