#include "together/deployment_load.h"

#include <memory>

#include "together/loopback_deployment.h"
#include "token_text.h"

namespace pistachiowalk::testing {
namespace {

constexpr Duration kFirstTokenTarget = std::chrono::milliseconds(1900);
constexpr Duration kTokenGapTarget = std::chrono::milliseconds(54);
constexpr uint32_t kMaximumActionAttempts = 6;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

bool IsOnTime(const StreamReport& report) {
  return report.time_to_first_token <= kFirstTokenTarget &&
         report.token_gaps.Quantile(0.95) <= kTokenGapTarget;
}

}  // namespace

DeploymentLoad::DeploymentLoad(EventLoop& loop,
                               HttpClient& client,
                               DeploymentMonitor& monitor,
                               LoadRates rates,
                               uint64_t seed)
    : m_loop(loop),
      m_client(client),
      m_monitor(monitor),
      m_rates(rates),
      m_seed(seed),
      m_random(seed) {}

void DeploymentLoad::Start(Duration duration) {
  m_ends_at = std::chrono::steady_clock::now() + duration;
  ScheduleStream();
  ScheduleAction();
}

bool DeploymentLoad::IsOver() const {
  return std::chrono::steady_clock::now() >= m_ends_at &&
         m_streams.ended == m_streams.started &&
         m_actions.size() == m_actions_started;
}

Duration DeploymentLoad::NextArrivalDelay(double rate) {
  std::exponential_distribution<double> gap(rate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(m_random)));
}

void DeploymentLoad::ScheduleStream() {
  m_loop.Schedule(NextArrivalDelay(m_rates.streams_per_second), [this] {
    if (std::chrono::steady_clock::now() < m_ends_at) {
      StartStream();
      ScheduleStream();
    }
  });
}

void DeploymentLoad::ScheduleAction() {
  m_loop.Schedule(NextArrivalDelay(m_rates.actions_per_second), [this] {
    if (std::chrono::steady_clock::now() < m_ends_at) {
      StartAction();
      ScheduleAction();
    }
  });
}

void DeploymentLoad::StartStream() {
  StreamRequest request;
  request.url = m_monitor.NextUrl();
  request.next_url = [this] { return m_monitor.NextUrl(); };
  request.customer_key = kCustomerKey;
  request.service = kModelService;
  request.prompt = "fitting " + std::to_string(m_seed) + " " +
                   std::to_string(++m_streams.started);
  request.tokens = m_rates.tokens;
  const auto client = std::make_shared<StreamClient>(
      std::move(request), stand_in::TokenText,
      [this](const StreamReport& report) { OnStream(report); });
  client->Start(m_loop, m_client);
}

void DeploymentLoad::OnStream(const StreamReport& report) {
  ++m_streams.ended;
  m_streams.resumed += report.resumes > 0 ? 1 : 0;
  if (report.resumes > 0) {
    m_streams.resume_gaps.Add(report.longest_resume_gap);
  }
  switch (report.outcome) {
    case StreamOutcome::kComplete:
      ++m_streams.complete;
      m_streams.on_time += IsOnTime(report) ? 1 : 0;
      m_streams.first_tokens.Add(report.time_to_first_token);
      m_streams.token_gaps.Merge(report.token_gaps);
      return;
    case StreamOutcome::kRefused:
      ++m_streams.refused;
      return;
    case StreamOutcome::kReportedProblem:
      ++m_streams.ended_with_problem;
      return;
    case StreamOutcome::kWrongTokens:
      ++m_streams.wrong_tokens;
      return;
    case StreamOutcome::kBroken:
      ++m_streams.lost;
      return;
  }
}

void DeploymentLoad::StartAction() {
  SendAction("key-" + std::to_string(m_seed) + "-" +
                 std::to_string(++m_actions_started),
             1);
}

void DeploymentLoad::SendAction(const std::string& key, uint32_t attempt) {
  PlainRequest request;
  request.url = m_monitor.NextUrl();
  request.customer_key = kCustomerKey;
  request.method = "POST";
  request.path = std::string(kPlainService) + "/checkouts";
  request.idempotency_key = key;
  request.body = R"({"item":7})";
  StartPlainCall(m_client, request, [this, key, attempt](const auto& report) {
    OnAction(key, attempt, report);
  });
}

void DeploymentLoad::OnAction(const std::string& key,
                              uint32_t attempt,
                              const PlainReport& report) {
  if (report.outcome == "ran") {
    m_actions[key] = ActionEnd::kRan;
  } else if (report.outcome == "not-run") {
    m_actions[key] = ActionEnd::kNotRun;
  } else if (attempt < kMaximumActionAttempts) {
    // Retries with the same idempotency key while the outcome is uncertain.
    m_loop.Schedule(kRetryDelay,
                    [this, key, attempt] { SendAction(key, attempt + 1); });
  } else {
    m_actions[key] =
        report.outcome.empty() ? ActionEnd::kNoAnswer : ActionEnd::kUnknown;
  }
}

}  // namespace pistachiowalk::testing
