#include "soak/witness.h"

#include <fmt/format.h>

#include <algorithm>

namespace pistachiowalk::testing {
namespace {

bool SaysNotRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooMany || status == kUnavailable;
}

// A stop ends what was read a little before the grace period is over.
constexpr Duration kLongestRequest = std::chrono::milliseconds(4000);

}  // namespace

std::string SoakEvent(const std::string& id, uint32_t number, uint32_t events) {
  return fmt::format("id: {}\ndata: {} {}{}\n\n", number, id, number,
                     number == events ? " end" : "");
}

std::string SoakBody(const std::string& id) {
  return "served " + id;
}

void Witness::NoteViolation(const std::string& rule,
                            const std::string& detail) {
  m_violations.push_back(rule + ": " + detail);
}

void Witness::NoteDisturbed(const std::string& node, TimePoint until) {
  TimePoint& known = m_disturbed_until[node];
  known = std::max(known, until);
}

bool Witness::IsInTouch(const std::string& node, TimePoint now) const {
  const auto until = m_disturbed_until.find(node);
  return until == m_disturbed_until.end() ||
         now >= until->second + m_terms.contact;
}

void Witness::NoteSent(const SoakRequest& request, TimePoint now) {
  m_requests[request.id] = Seen{.request = request, .sent_at = now};
}

void Witness::NoteRun(const SoakRun& run, TimePoint now) {
  ++m_runs;
  const auto it = m_requests.find(run.id);
  if (it == m_requests.end()) {
    NoteViolation("unasked", "no caller sent " + run.id);
    return;
  }
  Seen& seen = it->second;
  const SoakRequest& request = seen.request;
  if (run.customer != request.customer || run.body != request.body) {
    NoteViolation("unasked",
                  run.id + " was changed on its way, customer " + run.customer);
  }
  if (seen.is_refused && request.kind != RouteKind::kIdempotent) {
    NoteViolation("refused", run.id + " ran after it was refused");
  }
  seen.runs.push_back(run);
  const bool may_repeat =
      request.kind == RouteKind::kIdempotent || request.is_resumable;
  if (seen.runs.size() > 1 && !may_repeat) {
    NoteViolation("twice",
                  fmt::format("{} ran at {} and at {}", run.id,
                              seen.runs.front().endpoint, run.endpoint));
  }
  CheckRoute(seen, run, now);
  CheckLimit(seen, now);
  const auto leaving = m_leaving.find(run.endpoint);
  if (leaving != m_leaving.end() &&
      now > leaving->second + m_terms.drain_bound &&
      IsInTouch(request.node, now)) {
    NoteViolation("drain", fmt::format("{} reached {}, which is leaving",
                                       run.id, run.endpoint));
  }
}

void Witness::CheckRoute(const Seen& seen, const SoakRun& run, TimePoint now) {
  const std::vector<RouteSince>& route = m_routes[seen.request.path];
  const bool is_known = std::any_of(
      route.begin(), route.end(),
      [&](const RouteSince& entry) { return entry.service == run.service; });
  if (!is_known) {
    NoteViolation("route", run.id + " ran at " + run.service);
    return;
  }
  // The newest entry that has to be in force.
  const RouteSince* due = nullptr;
  for (const RouteSince& entry : route) {
    if (entry.since + m_terms.config_bound < seen.sent_at) {
      due = &entry;
    }
  }
  if (due == nullptr || !IsInTouch(seen.request.node, now)) {
    return;
  }
  const bool is_allowed =
      std::any_of(route.begin(), route.end(), [&](const RouteSince& entry) {
        return entry.since >= due->since && entry.service == run.service;
      });
  if (!is_allowed) {
    NoteViolation("config", fmt::format("{} by {} ran at {}", run.id,
                                        seen.request.node, run.service));
  }
}

void Witness::CheckLimit(const Seen& seen, TimePoint now) {
  const std::string& customer = seen.request.customer;
  // A resumed stream counted when it first ran.
  if (seen.runs.size() > 1 || customer.empty()) {
    return;
  }
  auto& used = m_used[customer];
  used.push_back({now, seen.request.tokens});
  while (used.front().first <= now - m_terms.limit_window) {
    used.pop_front();
  }
  // A lower limit binds one window after it must be in force.
  double allowed = 0.0;
  for (const auto& [since, amount] : m_allowed[customer]) {
    const bool binds =
        since + m_terms.config_bound + m_terms.contact + m_terms.limit_window <
        now;
    allowed = binds ? amount : std::max(allowed, amount);
  }
  double sum = 0.0;
  for (const auto& [at, tokens] : used) {
    sum += tokens;
  }
  if (allowed > 0.0 &&
      sum > allowed * (1.0 + m_terms.limit_overage) + m_terms.limit_slack) {
    NoteViolation("limit", fmt::format("{} used {:.0f} of {:.0f}", customer,
                                       sum, allowed));
  }
}

void Witness::NoteEndpointFault(const std::string& id) {
  const auto it = m_requests.find(id);
  if (it != m_requests.end()) {
    it->second.has_endpoint_fault = true;
  }
}

void Witness::NoteAnswer(const std::string& id,
                         const SoakAnswer& answer,
                         TimePoint now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    NoteViolation("mixed", "an answer to nothing, " + id);
    return;
  }
  Seen& seen = it->second;
  if (!answer.is_complete) {
    NoteCut(id, now);
    return;
  }
  if (answer.status / 100 == 2) {
    ++m_served;
    if (!answer.has_seal || seen.runs.empty()) {
      NoteViolation("mixed", id + " was answered without an endpoint's seal");
    }
    if (seen.request.kind == RouteKind::kStream) {
      CheckStream(seen, answer);
    } else if (answer.body != SoakBody(id)) {
      NoteViolation("mixed", id + " got another body: " + answer.body);
    }
    return;
  }
  if (SaysNotRun(answer.status) && !answer.has_seal) {
    ++m_refused;
    seen.is_refused = true;
    if (!seen.runs.empty() && seen.request.kind != RouteKind::kIdempotent) {
      NoteViolation("refused",
                    fmt::format("{} got {}, but it ran at {}", id,
                                answer.status, seen.runs.front().endpoint));
    }
  }
}

void Witness::CheckStream(const Seen& seen, const SoakAnswer& answer) {
  std::string whole;
  for (uint32_t number = 1; number <= seen.request.events; ++number) {
    whole += SoakEvent(seen.request.id, number, seen.request.events);
  }
  if (answer.body != whole) {
    std::string ids;
    for (size_t at = 0;
         (at = answer.body.find("id: ", at)) < answer.body.size(); ++at) {
      ids += answer.body.substr(at + 3, answer.body.find('\n', at) - at - 3);
    }
    NoteViolation("order",
                  fmt::format("{} got{} of {} events, runs {}", seen.request.id,
                              ids, seen.request.events, seen.runs.size()));
  }
}

void Witness::NoteCut(const std::string& id, TimePoint now) {
  const auto it = m_requests.find(id);
  if (it == m_requests.end()) {
    return;
  }
  const Seen& seen = it->second;
  const std::string& node = seen.request.node;
  const auto stop = m_stop_requested.find(node);
  // NOTE: What ends with its endpoint, or takes longer than a stop may, is cut.
  const bool is_owed = stop != m_stop_requested.end() &&
                       stop->second <= seen.sent_at + kLongestRequest &&
                       now - seen.sent_at < kLongestRequest &&
                       !seen.runs.empty() && !seen.has_endpoint_fault &&
                       IsInTouch(node, now);
  if (is_owed) {
    NoteViolation("lost", fmt::format("{} was cut while {} stopped", id, node));
  }
}

void Witness::NoteStopRequested(const std::string& node, TimePoint now) {
  m_stop_requested[node] = now;
}

void Witness::NoteStopped(const std::string& node,
                          int exit_code,
                          bool was_asked) {
  if (exit_code != 0) {
    NoteViolation("end", fmt::format("{} {} and exited with {}", node,
                                     was_asked ? "was stopped" : "ended itself",
                                     exit_code));
  } else if (!was_asked) {
    NoteViolation("end", node + " ended itself");
  }
  m_stop_requested.erase(node);
}

void Witness::NoteRoute(const std::string& path,
                        const std::string& service,
                        TimePoint now) {
  m_routes[path].push_back(RouteSince{.since = now, .service = service});
}

void Witness::NoteLimit(const std::string& customer,
                        double allowed,
                        TimePoint now) {
  m_allowed[customer].push_back({now, allowed});
}

void Witness::NoteLeaving(const std::string& endpoint, TimePoint now) {
  m_leaving.try_emplace(endpoint, now);
}

void Witness::NoteUsage(const std::string& holder,
                        uint64_t fence,
                        uint64_t window,
                        const std::string& counts) {
  NoteDuty(holder, fence);
  const auto [known, is_new] = m_usage.try_emplace(window, counts);
  if (!is_new && known->second != counts) {
    NoteViolation("one", fmt::format("window {} was reported as {} and as {}",
                                     window, known->second, counts));
  }
}

void Witness::NoteDuty(const std::string& holder, uint64_t fence) {
  const auto [known, is_new] = m_holders.try_emplace(fence, holder);
  if (!is_new && known->second != holder) {
    NoteViolation("one", fmt::format("{} and {} both act by {}", known->second,
                                     holder, fence));
  }
}

}  // namespace pistachiowalk::testing
