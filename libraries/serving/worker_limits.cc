#include "serving/worker_limits.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// A worker that gets nothing cannot say that its limit has ended, so even one
// that names zero gets a request from time to time.
constexpr double kMinimumRequestsPerSecond = 0.25;
// Requests that a node may send at once, in seconds of its share.
constexpr double kBurstSeconds = 1.0;
// Share of a request that a new sender has from the start.
constexpr double kFirstTokens = 0.5;
// Relative change of a limit that is told to other nodes without delay.
constexpr double kNotableChange = 0.1;
// A worker without responses for this long has left, or nobody asks for it.
constexpr Duration kLifetime = std::chrono::minutes(10);

WorkerLimitReport ToReport(uint64_t worker,
                           bool is_limited,
                           double requests_per_second,
                           Duration age) {
  const Duration bounded =
      std::clamp<Duration>(age, Duration::zero(), kLifetime);
  return WorkerLimitReport{
      .worker = worker,
      .is_limited = is_limited,
      .requests_per_second = static_cast<float>(requests_per_second),
      .age_ms = static_cast<uint32_t>(
          std::chrono::duration_cast<milliseconds>(bounded).count())};
}

}  // namespace

bool WorkerLimits::Observe(uint64_t worker,
                           const NamedRateLimit& limit,
                           TimePoint now) {
  const auto found = m_workers.find(worker);
  const bool is_limited = limit.state == NamedRateLimit::State::kNamed;
  if (limit.state == NamedRateLimit::State::kUnreadable ||
      (found == m_workers.end() &&
       (!is_limited || m_workers.size() >= kMaximumLimitReports))) {
    return false;
  }
  Known& known = m_workers[worker];
  known.own_observed_at = now;
  if (!Apply(known, is_limited, limit.requests_per_second, now, now)) {
    return false;
  }
  ++m_own_revision;
  return true;
}

std::vector<uint64_t> WorkerLimits::Merge(
    const std::vector<WorkerLimitReport>& reports,
    TimePoint sent_at,
    TimePoint now) {
  std::vector<uint64_t> news;
  for (const WorkerLimitReport& report : reports) {
    const TimePoint observed_at =
        std::min(now, sent_at - milliseconds(report.age_ms));
    if (!std::isfinite(report.requests_per_second) ||
        report.requests_per_second < 0.0F || now - observed_at > kLifetime) {
      continue;
    }
    const auto found = m_workers.find(report.worker);
    if (found == m_workers.end() &&
        (!report.is_limited || m_workers.size() >= kMaximumLimitReports)) {
      continue;
    }
    if (Apply(m_workers[report.worker], report.is_limited,
              report.requests_per_second, observed_at, now)) {
      news.push_back(report.worker);
    }
  }
  return news;
}

bool WorkerLimits::Apply(Known& known,
                         bool is_limited,
                         double requests_per_second,
                         TimePoint observed_at,
                         TimePoint now) {
  if (observed_at < known.observed_at) {
    return false;
  }
  known.observed_at = observed_at;
  const bool is_notable =
      is_limited != known.is_limited ||
      (is_limited && std::abs(requests_per_second - known.requests_per_second) >
                         kNotableChange * known.requests_per_second);
  if (is_limited && !known.is_limited) {
    known.sender = LimitSender{};
    known.tokens = 0.0;
    known.refilled_at = now;
  } else {
    known.tokens = TokensAt(known, now);
    known.refilled_at = now;
  }
  known.is_limited = is_limited;
  known.requests_per_second = requests_per_second;
  m_revision += is_notable ? 1 : 0;
  return is_notable;
}

void WorkerLimits::Step(const SenderOf& sender_of, TimePoint now) {
  std::erase_if(m_workers, [now](const auto& entry) {
    return now - entry.second.observed_at > kLifetime;
  });
  for (auto& [worker, known] : m_workers) {
    if (!known.is_limited) {
      continue;
    }
    known.tokens = TokensAt(known, now);
    known.refilled_at = now;
    const LimitSender sender = sender_of(
        worker, std::max(kMinimumRequestsPerSecond, known.requests_per_second));
    if (sender.may_send && !known.sender.may_send) {
      known.tokens = std::max(known.tokens, kFirstTokens);
    }
    known.sender = sender;
  }
}

double WorkerLimits::RateOf(const Known& known) {
  return std::max(kMinimumRequestsPerSecond, known.requests_per_second) /
         std::max(1U, known.sender.senders);
}

double WorkerLimits::TokensAt(const Known& known, TimePoint now) {
  const double rate = RateOf(known);
  const double seconds =
      std::chrono::duration<double>(now - known.refilled_at).count();
  return std::min(std::max(1.0, kBurstSeconds * rate),
                  known.tokens + rate * std::max(0.0, seconds));
}

const WorkerLimits::Known* WorkerLimits::FindLimited(uint64_t worker) const {
  const auto found = m_workers.find(worker);
  return found == m_workers.end() || !found->second.is_limited ? nullptr
                                                               : &found->second;
}

bool WorkerLimits::IsLimited(uint64_t worker) const {
  return FindLimited(worker) != nullptr;
}

std::optional<double> WorkerLimits::LimitOf(uint64_t worker) const {
  const Known* known = FindLimited(worker);
  return known == nullptr ? std::nullopt
                          : std::optional(known->requests_per_second);
}

bool WorkerLimits::CanSend(uint64_t worker, TimePoint now) const {
  const Known* known = FindLimited(worker);
  return known == nullptr ||
         (known->sender.may_send && TokensAt(*known, now) >= 1.0);
}

std::optional<Duration> WorkerLimits::TimeUntilSend(uint64_t worker,
                                                    TimePoint now) const {
  const Known* known = FindLimited(worker);
  if (known == nullptr) {
    return Duration::zero();
  }
  if (!known->sender.may_send) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, 1.0 - TokensAt(*known, now));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / RateOf(*known)));
}

void WorkerLimits::RecordSend(uint64_t worker, TimePoint now) {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end() || !found->second.is_limited) {
    return;
  }
  found->second.tokens = TokensAt(found->second, now) - 1.0;
  found->second.refilled_at = now;
}

std::vector<WorkerLimitReport> WorkerLimits::Reports(TimePoint now) const {
  std::vector<WorkerLimitReport> reports;
  for (const auto& [worker, known] : m_workers) {
    reports.push_back(ToReport(worker, known.is_limited,
                               known.requests_per_second,
                               now - known.observed_at));
  }
  return reports;
}

std::vector<WorkerLimitReport> WorkerLimits::OwnReports(TimePoint since,
                                                        TimePoint now) const {
  std::vector<WorkerLimitReport> reports;
  for (const auto& [worker, known] : m_workers) {
    if (known.own_observed_at && *known.own_observed_at > since &&
        *known.own_observed_at >= known.observed_at) {
      reports.push_back(ToReport(worker, known.is_limited,
                                 known.requests_per_second,
                                 now - known.observed_at));
    }
  }
  return reports;
}

size_t WorkerLimits::limited_count() const {
  return static_cast<size_t>(
      std::count_if(m_workers.begin(), m_workers.end(),
                    [](const auto& entry) { return entry.second.is_limited; }));
}

}  // namespace pistachiowalk
