#pragma once

#include <memory>
#include <string>

#include "base/problem.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace pistachiowalk {

// The Prometheus metrics of one daemon.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void CountAccepted(const std::string& service);
  void CountEnded(const std::string& service, const std::string& result);
  void CountProblem(ProblemKind kind, RunOutcome outcome);
  void CountAttempt();
  void CountTokens(double count);
  void SetOpenRequests(size_t count);
  void SetBundleVersion(uint64_t version);
  void SetEndpoints(size_t live, size_t leaving);

  prometheus::Registry& registry() { return *m_registry; }
  // Returns all metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  struct Families;

  std::shared_ptr<prometheus::Registry> m_registry;
  std::unique_ptr<Families> m_families;
};

}  // namespace pistachiowalk
