#include "trace_simulator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace pistachiowalk::measure {
namespace {

constexpr uint32_t kPlaces = 3;
constexpr uint32_t kNodes = 7;
constexpr uint32_t kSlots = 16;
constexpr std::array<double, kPlaces> kPriceFactors{1.0, 0.9, 1.15};
constexpr double kClientSeconds = 0.003;
constexpr double kCrossRegionSeconds = 0.012;
constexpr double kSamePlaceSeconds = 0.0005;
constexpr double kReportInterval = 0.5;
constexpr double kCacheInterval = 1.0;
constexpr double kVmListInterval = 1.0;
constexpr double kReportLossShare = 0.05;
constexpr double kCacheLossShare = 0.1;
constexpr double kNoticeSeconds = 8.0;
constexpr double kReclaimWaveShare = 0.4;
constexpr double kReplacementShare = 0.65;
constexpr double kRetrySeconds = 0.2;
// A VM is billed for each started period in which it has work; an idle one is
// assumed to be released.
constexpr double kBillingSeconds = 60.0;
constexpr double kCrossRegionPricePerByte = 0.05 / 1e9;
constexpr double kFirstTokenTarget = 1.9;
constexpr double kTokenGapTarget = 0.054;
constexpr double kBytesPerToken = 4.0;
constexpr double kBytesPerEvent = 200.0;
// Requests that arrive within this time of the end are not measured.
constexpr double kUnmeasuredTailSeconds = 25.0;
constexpr size_t kGapBuckets = 5000;
const ServiceName kService("model");

double Percentile95(std::vector<double> values) {
  if (values.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<ptrdiff_t>(values.size() * 95 / 100);
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[rank];
}

}  // namespace

TraceSimulator::TraceSimulator(const Deployment& deployment,
                               Policy policy,
                               uint64_t seed,
                               double seconds)
    : m_deployment(deployment),
      m_policy(policy),
      m_seconds(seconds),
      m_generator(seed + 1000),
      m_gap_histogram(kGapBuckets) {
  AddEndpoints(false);
  for (uint32_t i = 0; i < kNodes; ++i) {
    auto node = std::make_unique<Node>();
    node->place = i % kPlaces;
    node->state.generator.seed(seed * kNodes + i);
    m_nodes.push_back(std::move(node));
  }
}

void TraceSimulator::At(double time, std::function<void()> action) {
  m_events.push(Event{
      .time = time, .order = ++m_last_order, .action = std::move(action)});
}

TimePoint TraceSimulator::Now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_now)));
}

double TraceSimulator::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(m_generator);
}

void TraceSimulator::AddEndpoint(uint32_t place, bool is_reclaimable) {
  const size_t index = m_endpoints.size();
  auto added = std::make_unique<SimulatedEndpoint>(SimulatedEndpoint{
      .endpoint = {.id = EndpointId("vm" + std::to_string(index)),
                   .place = PlaceName(std::to_string(place)),
                   .service = kService},
      .place = place,
      .price_per_hour = (is_reclaimable ? m_deployment.reclaimable_price
                                        : m_deployment.on_demand_price) *
                        kPriceFactors[place],
      .is_reclaimable = is_reclaimable,
      .engine = EngineModel(m_profile, kSlots, m_deployment.cache_tokens)});
  m_endpoints.push_back(std::move(added));
  At(m_now + Uniform(0, kReportInterval), [this, index] { SampleLoad(index); });
  At(m_now + Uniform(0, kCacheInterval),
     [this, index] { PublishCache(index); });
}

void TraceSimulator::AddEndpoints(bool only_replacements) {
  for (uint32_t i = 0; i < m_deployment.on_demand_endpoints; ++i) {
    if (!only_replacements) {
      AddEndpoint(i % kPlaces, false);
    }
  }
  for (uint32_t i = 0; i < m_deployment.reclaimable_endpoints; ++i) {
    if (!only_replacements || i % kPlaces == 0) {
      AddEndpoint(i % kPlaces, true);
    }
  }
}

void TraceSimulator::StartReclaimWave() {
  for (size_t i = 0; i < m_endpoints.size(); ++i) {
    SimulatedEndpoint& endpoint = *m_endpoints[i];
    if (endpoint.place == 0 && endpoint.is_reclaimable) {
      endpoint.endpoint.state = EndpointState::kLeaving;
      At(m_now + kNoticeSeconds, [this, i] { Kill(i); });
    }
  }
}

void TraceSimulator::Kill(size_t index) {
  SimulatedEndpoint& endpoint = *m_endpoints[index];
  endpoint.is_gone = true;
  for (const JobProgress& lost : endpoint.engine.RemoveAllJobs()) {
    Job& job = m_jobs[lost.job];
    job.generated_before += lost.generated_tokens;
    m_lost_tokens += lost.generated_tokens;
    m_nodes[job.node]->table.RemoveInFlight(job.endpoint);
    At(m_now + kCrossRegionSeconds, [this, lost] { Route(lost.job); });
  }
}

void TraceSimulator::PollVmList(size_t index) {
  Node& node = *m_nodes[index];
  std::vector<Endpoint> list;
  for (const auto& endpoint : m_endpoints) {
    if (!endpoint->is_gone) {
      list.push_back(endpoint->endpoint);
    }
  }
  node.table.ApplyVmList(list, Now());
  for (const auto& endpoint : m_endpoints) {
    node.table.SetAttributes(
        endpoint->endpoint.id,
        EndpointAttributes{.proximity = endpoint->place == node.place
                                            ? Proximity::kSamePlace
                                            : Proximity::kCrossRegion,
                           .price_per_hour = endpoint->price_per_hour,
                           .is_reclaimable = endpoint->is_reclaimable,
                           .slots = kSlots});
  }
  At(m_now + kVmListInterval, [this, index] { PollVmList(index); });
}

void TraceSimulator::SampleLoad(size_t index) {
  const SimulatedEndpoint& endpoint = *m_endpoints[index];
  if (endpoint.is_gone) {
    return;
  }
  const LoadReport report = endpoint.engine.Sample(Now());
  for (const auto& node : m_nodes) {
    const double lag = Uniform(0.05, 0.6);
    if (Uniform(0, 1) < kReportLossShare) {
      continue;
    }
    At(m_now + lag, [this, target = node.get(), index, report] {
      target->table.ApplyReport(m_endpoints[index]->endpoint.id, report);
    });
  }
  At(m_now + kReportInterval, [this, index] { SampleLoad(index); });
}

void TraceSimulator::PublishCache(size_t index) {
  SimulatedEndpoint& endpoint = *m_endpoints[index];
  if (endpoint.is_gone) {
    return;
  }
  CacheEventBatch batch;
  batch.endpoint_key = EndpointKey(endpoint.endpoint.id.value());
  batch.sequence = ++endpoint.batch_sequence;
  batch.events = endpoint.engine.TakeCacheEvents();
  for (const auto& node : m_nodes) {
    const double lag = Uniform(0.3, 2.0);
    if (Uniform(0, 1) < kCacheLossShare) {
      continue;
    }
    At(m_now + lag, [this, target = node.get(), batch] {
      target->prefixes.ApplyEvents(batch, Now());
    });
  }
  At(m_now + kCacheInterval, [this, index] { PublishCache(index); });
}

void TraceSimulator::StartTurn(size_t conversation, size_t turn) {
  const auto number = static_cast<JobNumber>(m_jobs.size());
  Job job;
  job.request = &m_deployment.conversations[conversation][turn];
  job.conversation = conversation;
  job.turn = turn;
  job.arrived_at = m_now;
  // The load balancer sends callers to any node of their own place.
  do {
    job.node = static_cast<uint32_t>(m_generator() % kNodes);
  } while (m_nodes[job.node]->place != job.request->origin_place);
  m_jobs.push_back(std::move(job));
  At(m_now + kClientSeconds, [this, number] { Route(number); });
}

RouteRequest TraceSimulator::RequestOf(const Job& job) const {
  RouteRequest request;
  request.service = kService;
  request.prompt = job.request->prompt;
  if (job.generated_before > 0) {
    request.prompt.push_back(PrefixBlock{.hash = ~job.request->answer.hash,
                                         .tokens = job.generated_before});
  }
  request.expected_output_tokens = 200;
  request.cost_weight = m_deployment.cost_weight;
  request.recompute_weight = m_deployment.recompute_weight;
  return request;
}

size_t TraceSimulator::IndexOf(const EndpointId& id) const {
  return std::stoul(id.value().substr(2));
}

void TraceSimulator::Route(JobNumber number) {
  Job& job = m_jobs[number];
  Node& node = *m_nodes[job.node];
  const RouteRequest request = RequestOf(job);
  const RouteContext context{.endpoints = node.table,
                             .prefixes = node.prefixes,
                             .profile = m_profile,
                             .now = Now()};
  const std::optional<EndpointId> chosen =
      m_policy(request, context, node.state);
  if (!chosen || m_endpoints[IndexOf(*chosen)]->is_gone) {
    if (chosen) {
      node.table.MarkLeaving(*chosen, Now());
    }
    At(m_now + kRetrySeconds, [this, number] { Route(number); });
    return;
  }
  const size_t index = IndexOf(*chosen);
  const uint64_t key = EndpointKey(chosen->value());
  node.table.AddSend(*chosen, {.sent_at = Now(),
                               .prefill_tokens = node.prefixes.UncachedTokens(
                                   key, request.prompt)});
  node.prefixes.RecordSend(key, request.prompt, Now());
  job.endpoint = *chosen;
  const bool is_local = m_endpoints[index]->place == node.place;
  if (!is_local) {
    m_cross_region_bytes += static_cast<uint64_t>(
        static_cast<double>(PromptTokens(request)) * kBytesPerToken +
        job.request->output_tokens * kBytesPerEvent);
  }
  At(m_now + (is_local ? kSamePlaceSeconds : kCrossRegionSeconds),
     [this, number, index] { Dispatch(number, index); });
}

void TraceSimulator::Dispatch(JobNumber number, size_t index) {
  SimulatedEndpoint& endpoint = *m_endpoints[index];
  const Job& job = m_jobs[number];
  if (endpoint.is_gone) {
    m_nodes[job.node]->table.RemoveInFlight(job.endpoint);
    At(m_now + kCrossRegionSeconds, [this, number] { Route(number); });
    return;
  }
  const RouteRequest request = RequestOf(job);
  if (job.generated_before > 0) {
    m_computed.insert(request.prompt.back().hash);
  }
  endpoint.engine.Enqueue(EngineJob{
      .job = number,
      .prompt = request.prompt,
      .answer = job.request->answer,
      .output_tokens = std::max(
          1U, job.request->output_tokens -
                  std::min(job.request->output_tokens, job.generated_before))});
  if (!endpoint.is_stepping) {
    endpoint.is_stepping = true;
    Step(index);
  }
}

void TraceSimulator::Bill(SimulatedEndpoint& endpoint, double from, double to) {
  const auto first = std::max(endpoint.billed_until,
                              static_cast<uint64_t>(from / kBillingSeconds));
  const auto last = static_cast<uint64_t>(to / kBillingSeconds) + 1;
  if (last > first) {
    endpoint.cost += endpoint.price_per_hour / 3600.0 * kBillingSeconds *
                     static_cast<double>(last - first);
    endpoint.billed_until = last;
  }
}

void TraceSimulator::Step(size_t index) {
  SimulatedEndpoint& endpoint = *m_endpoints[index];
  if (endpoint.is_gone || endpoint.engine.IsIdle()) {
    endpoint.is_stepping = false;
    return;
  }
  const double end = m_now + endpoint.engine.StartStep(m_computed);
  Bill(endpoint, m_now, end);
  At(end, [this, index] {
    SimulatedEndpoint& stepped = *m_endpoints[index];
    for (const JobProgress& progress : stepped.engine.FinishStep(m_computed)) {
      OnProgress(index, progress);
    }
    Step(index);
  });
}

void TraceSimulator::OnProgress(size_t index, const JobProgress& progress) {
  Job& job = m_jobs[progress.job];
  ++m_tokens;
  if (!job.has_first_token) {
    job.has_first_token = true;
    const double seconds =
        m_now - job.arrived_at + kClientSeconds +
        (m_endpoints[index]->place == m_nodes[job.node]->place
             ? kSamePlaceSeconds
             : kCrossRegionSeconds);
    m_first_token_seconds.push_back(seconds);
    job.is_first_token_late = seconds > kFirstTokenTarget;
  } else {
    const auto gap = static_cast<size_t>((m_now - job.last_token_at) * 1000.0);
    ++m_gap_histogram[std::min(gap, kGapBuckets - 1)];
  }
  job.last_token_at = m_now;
  if (progress.is_finished) {
    Finish(progress.job);
  }
}

void TraceSimulator::Finish(JobNumber number) {
  const Job job = m_jobs[number];
  m_nodes[job.node]->table.RemoveInFlight(job.endpoint);
  const double allowed =
      kFirstTokenTarget + kTokenGapTarget * job.request->output_tokens;
  const bool is_judged = job.arrived_at < m_seconds - kUnmeasuredTailSeconds;
  if (is_judged && !job.is_first_token_late &&
      m_now - job.arrived_at <= allowed) {
    ++m_deadlines_met;
  }
  const Conversation& conversation =
      m_deployment.conversations[job.conversation];
  if (job.turn + 1 < conversation.size()) {
    At(m_now + conversation[job.turn + 1].delay,
       [this, job] { StartTurn(job.conversation, job.turn + 1); });
  }
}

RoutingFigures TraceSimulator::Figures() {
  RoutingFigures figures;
  double cost =
      static_cast<double>(m_cross_region_bytes) * kCrossRegionPricePerByte;
  for (const auto& endpoint : m_endpoints) {
    cost += endpoint->cost;
    figures.recomputed_tokens += endpoint->engine.recomputed_tokens();
  }
  figures.cost_per_million_tokens = cost / static_cast<double>(m_tokens) * 1e6;
  figures.ttft_p95_ms = Percentile95(m_first_token_seconds) * 1000.0;
  uint64_t total = 0;
  for (const uint64_t count : m_gap_histogram) {
    total += count;
  }
  uint64_t seen = 0;
  size_t bucket = 0;
  while (bucket < kGapBuckets && seen * 100 < total * 95) {
    seen += m_gap_histogram[bucket++];
  }
  figures.itl_p95_ms = static_cast<double>(bucket);
  const auto judged =
      std::count_if(m_jobs.begin(), m_jobs.end(), [this](const Job& job) {
        return job.arrived_at < m_seconds - kUnmeasuredTailSeconds;
      });
  figures.deadline_met_share =
      static_cast<double>(m_deadlines_met) / static_cast<double>(judged);
  figures.cross_region_bytes = m_cross_region_bytes;
  return figures;
}

RoutingFigures TraceSimulator::Run() {
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    PollVmList(i);
  }
  for (size_t i = 0; i < m_deployment.conversations.size(); ++i) {
    At(m_deployment.conversations[i].front().delay,
       [this, i] { StartTurn(i, 0); });
  }
  At(m_seconds * kReclaimWaveShare, [this] { StartReclaimWave(); });
  At(m_seconds * kReplacementShare, [this] { AddEndpoints(true); });
  // Requests still open at the end have missed their deadline.
  while (!m_events.empty() && m_events.top().time < m_seconds) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    event.action();
  }
  return Figures();
}

}  // namespace pistachiowalk::measure
