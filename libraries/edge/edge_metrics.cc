#include "edge/edge_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace pistachiowalk {
namespace {

// In seconds. The SLOs range from 0.15 to 1.5, callers' timeouts up to 15.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 15.0};

prometheus::Histogram& MakeHistogram(prometheus::Registry& registry,
                                     const std::string& name,
                                     const std::string& help) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({}, kLatencyBuckets);
}

}  // namespace

struct EdgeMetrics::Families {
  explicit Families(prometheus::Registry& registry)
      : ended(prometheus::BuildCounter()
                  .Name("pistachiowalk_forwarded_requests_total")
                  .Help("Requests that ended, by cause and status.")
                  .Register(registry)),
        attempts(prometheus::BuildCounter()
                     .Name("pistachiowalk_forwarded_attempts_total")
                     .Help("Attempts at endpoints, by outcome.")
                     .Register(registry)),
        retries(prometheus::BuildCounter()
                    .Name("pistachiowalk_forwarded_repeats_total")
                    .Help("Requests sent to a further endpoint.")
                    .Register(registry)
                    .Add({})),
        worker_crashes(
            prometheus::BuildCounter()
                .Name("pistachiowalk_worker_crashes_total")
                .Help("Workers that ended when a response was to begin.")
                .Register(registry)
                .Add({})),
        workers_leaving(
            prometheus::BuildCounter()
                .Name("pistachiowalk_workers_leaving_total")
                .Help("Workers that said in a response that they leave.")
                .Register(registry)
                .Add({})),
        worker_pauses(
            prometheus::BuildCounter()
                .Name("pistachiowalk_worker_pauses_total")
                .Help("Pauses that workers asked for when they turned a "
                      "request away.")
                .Register(registry)
                .Add({})),
        prompt_tokens(prometheus::BuildCounter()
                          .Name("pistachiowalk_prompt_tokens_total")
                          .Help("Estimated prompt tokens that engines read, or "
                                "fetch from another engine.")
                          .Register(registry)),
        read_tokens(prompt_tokens.Add({{"source", "read"}})),
        fetched_tokens(prompt_tokens.Add({{"source", "fetched"}})),
        rollouts(prometheus::BuildCounter()
                     .Name("pistachiowalk_rollout_requests_total")
                     .Help("Requests to services that move to another version, "
                           "by the worker's side and result.")
                     .Register(registry)),
        first_event(MakeHistogram(registry,
                                  "pistachiowalk_first_event_seconds",
                                  "From the request to its first event.")),
        response(MakeHistogram(registry,
                               "pistachiowalk_answer_seconds",
                               "From the request to its whole answer.")),
        estimate_error(
            MakeHistogram(registry,
                          "pistachiowalk_first_event_over_estimate_seconds",
                          "First events later than estimated.")) {}

  prometheus::Family<prometheus::Counter>& ended;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Counter& retries;
  prometheus::Counter& worker_crashes;
  prometheus::Counter& workers_leaving;
  prometheus::Counter& worker_pauses;
  prometheus::Family<prometheus::Counter>& prompt_tokens;
  prometheus::Counter& read_tokens;
  prometheus::Counter& fetched_tokens;
  prometheus::Family<prometheus::Counter>& rollouts;
  prometheus::Histogram& first_event;
  prometheus::Histogram& response;
  prometheus::Histogram& estimate_error;
};

EdgeMetrics::EdgeMetrics(prometheus::Registry& registry)
    : m_families(std::make_unique<Families>(registry)) {}

EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::CountEnded(const std::string& cause, int status) {
  m_families->ended.Add({{"cause", cause}, {"status", std::to_string(status)}})
      .Increment();
}

void EdgeMetrics::CountAttempt(const std::string& outcome) {
  m_families->attempts.Add({{"outcome", outcome}}).Increment();
}

void EdgeMetrics::CountRetry() {
  m_families->retries.Increment();
}

void EdgeMetrics::CountWorkerCrash() {
  m_families->worker_crashes.Increment();
}

void EdgeMetrics::CountWorkerLeaving() {
  m_families->workers_leaving.Increment();
}

void EdgeMetrics::CountWorkerPause() {
  m_families->worker_pauses.Increment();
}

void EdgeMetrics::CountPromptTokens(double read, double fetched) {
  m_families->read_tokens.Increment(read);
  m_families->fetched_tokens.Increment(fetched);
}

void EdgeMetrics::CountRollout(const std::string& service,
                               const std::string& side,
                               const std::string& result) {
  m_families->rollouts
      .Add({{"service", service}, {"side", side}, {"result", result}})
      .Increment();
}

void EdgeMetrics::ObserveFirstEvent(double seconds) {
  m_families->first_event.Observe(seconds);
}

void EdgeMetrics::ObserveResponse(double seconds) {
  m_families->response.Observe(seconds);
}

void EdgeMetrics::ObserveEstimateError(double seconds) {
  m_families->estimate_error.Observe(seconds);
}

}  // namespace pistachiowalk
