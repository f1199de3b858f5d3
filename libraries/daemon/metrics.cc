#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pistachiowalk {

struct Metrics::Families {
  explicit Families(prometheus::Registry& registry)
      : accepted(prometheus::BuildCounter()
                     .Name("pistachiowalk_requests_accepted_total")
                     .Help("Requests accepted, by service.")
                     .Register(registry)),
        ended(prometheus::BuildCounter()
                  .Name("pistachiowalk_requests_ended_total")
                  .Help("Requests that ended, by service and result.")
                  .Register(registry)),
        problems(prometheus::BuildCounter()
                     .Name("pistachiowalk_problems_total")
                     .Help("Problems told to callers, by type and outcome.")
                     .Register(registry)),
        attempts(prometheus::BuildCounter()
                     .Name("pistachiowalk_attempts_total")
                     .Help("Attempts started at endpoints.")
                     .Register(registry)
                     .Add({})),
        tokens(prometheus::BuildCounter()
                   .Name("pistachiowalk_tokens_sent_total")
                   .Help("Tokens sent to callers.")
                   .Register(registry)
                   .Add({})),
        open_requests(prometheus::BuildGauge()
                          .Name("pistachiowalk_open_requests")
                          .Help("Requests accepted and not ended.")
                          .Register(registry)
                          .Add({})),
        bundle_version(prometheus::BuildGauge()
                           .Name("pistachiowalk_bundle_version")
                           .Help("Version of the bundle in force, 0 for none.")
                           .Register(registry)
                           .Add({})),
        endpoints(prometheus::BuildGauge()
                      .Name("pistachiowalk_endpoints")
                      .Help("Endpoints known, by state.")
                      .Register(registry)) {}

  prometheus::Family<prometheus::Counter>& accepted;
  prometheus::Family<prometheus::Counter>& ended;
  prometheus::Family<prometheus::Counter>& problems;
  prometheus::Counter& attempts;
  prometheus::Counter& tokens;
  prometheus::Gauge& open_requests;
  prometheus::Gauge& bundle_version;
  prometheus::Family<prometheus::Gauge>& endpoints;
};

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>()),
      m_families(std::make_unique<Families>(*m_registry)) {}

Metrics::~Metrics() = default;

void Metrics::CountAccepted(const std::string& service) {
  m_families->accepted.Add({{"service", service}}).Increment();
}

void Metrics::CountEnded(const std::string& service,
                         const std::string& result) {
  m_families->ended.Add({{"service", service}, {"result", result}}).Increment();
}

void Metrics::CountProblem(ProblemKind kind, RunOutcome outcome) {
  m_families->problems
      .Add({{"type", std::string(ProblemTypeName(kind))},
            {"outcome", std::string(RunOutcomeName(outcome))}})
      .Increment();
}

void Metrics::CountAttempt() {
  m_families->attempts.Increment();
}

void Metrics::CountTokens(double count) {
  m_families->tokens.Increment(count);
}

void Metrics::SetOpenRequests(size_t count) {
  m_families->open_requests.Set(static_cast<double>(count));
}

void Metrics::SetBundleVersion(uint64_t version) {
  m_families->bundle_version.Set(static_cast<double>(version));
}

void Metrics::SetEndpoints(size_t live, size_t leaving) {
  m_families->endpoints.Add({{"state", "live"}}).Set(static_cast<double>(live));
  m_families->endpoints.Add({{"state", "leaving"}})
      .Set(static_cast<double>(leaving));
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}  // namespace pistachiowalk
