#pragma once

#include <memory>
#include <string>

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace pistachiowalk {

// Metrics of forwarded requests.
class EdgeMetrics {
 public:
  explicit EdgeMetrics(prometheus::Registry& registry);
  ~EdgeMetrics();
  EdgeMetrics(const EdgeMetrics&) = delete;
  EdgeMetrics& operator=(const EdgeMetrics&) = delete;

  // `cause` is one of the causes listed in docs/EVENTS.md, PW2203.
  void CountEnded(const std::string& cause, int status);
  void CountAttempt(const std::string& outcome);
  void CountRetry();
  void CountWorkerCrash();
  void CountWorkerLeaving();
  void CountWorkerPause();
  // Counts the tokens of a prompt that was sent to an engine: those that the
  // engine has to read, and those that it fetches from another one.
  void CountPromptTokens(double read, double fetched);
  // Requests during a roll-out; `side` is "old" or "target", and `result`
  // "sent", "good" or "bad".
  void CountRollout(const std::string& service,
                    const std::string& side,
                    const std::string& result);
  void ObserveFirstEvent(double seconds);
  void ObserveResponse(double seconds);
  void ObserveEstimateError(double seconds);

 private:
  struct Families;

  std::unique_ptr<Families> m_families;
};

}  // namespace pistachiowalk
