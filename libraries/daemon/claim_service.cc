#include "daemon/claim_service.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "daemon/request_log_events.h"

namespace pistachiowalk {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);

ClaimEntry MakeClaimEntry(ClaimEntryKind kind, const RequestSpec& spec) {
  return ClaimEntry{.kind = kind,
                    .key = spec.customer.value() + "/" + spec.service.value() +
                           "/" + spec.idempotency_key,
                    .request = spec.id,
                    .digest = spec.body_digest,
                    .attempt = spec.caller_attempt,
                    .reply = {}};
}

const char* VerdictName(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return "granted";
    case ClaimVerdict::kFinished:
      return "finished";
    case ClaimVerdict::kHeldByAnother:
      return "held-by-another";
    case ClaimVerdict::kDigestMismatch:
      return "digest-mismatch";
    case ClaimVerdict::kSuperseded:
      return "superseded";
    case ClaimVerdict::kUnavailable:
      return "unavailable";
  }
  return "";
}

}  // namespace

struct ClaimService::Counters {
  explicit Counters(prometheus::Registry& registry)
      : claims(prometheus::BuildCounter()
                   .Name("pistachiowalk_claims_total")
                   .Help("Claims of actions settled, by verdict.")
                   .Register(registry)),
        calls(prometheus::BuildCounter()
                  .Name("pistachiowalk_claim_store_calls_total")
                  .Help("Calls of the platform's store for claims, by kind.")
                  .Register(registry)) {}

  prometheus::Family<prometheus::Counter>& claims;
  prometheus::Family<prometheus::Counter>& calls;
};

ClaimService::ClaimService(EventLoop& loop,
                           const Clock& clock,
                           StorePort& store,
                           prometheus::Registry& registry,
                           NodeId node)
    : m_loop(loop),
      m_clock(clock),
      m_store(store),
      m_counters(std::make_unique<Counters>(registry)) {
  m_ranges.reserve(kClaimRanges);
  for (uint64_t i = 0; i < kClaimRanges; ++i) {
    m_ranges.emplace_back(
        ClaimRangeOptions{.prefix = "claims/" + std::to_string(i)}, node);
  }
}

ClaimService::~ClaimService() {
  m_loop.Cancel(m_tick);
}

ClaimTime ClaimService::CurrentTime() const {
  const auto wall = m_clock.WallNow().time_since_epoch();
  return {
      .now = m_clock.Now(),
      .wall_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

ClaimRange& ClaimService::RangeOf(const std::string& key) {
  return m_ranges[XXH64(key.data(), key.size(), 0) % kClaimRanges];
}

void ClaimService::Claim(const RequestSpec& spec, Callback callback) {
  const ClaimEntry claim = MakeClaimEntry(ClaimEntryKind::kClaim, spec);
  m_callbacks[spec.id] = std::move(callback);
  ClaimRange& range = RangeOf(claim.key);
  Perform(range, range.Claim(claim, CurrentTime()));
}

void ClaimService::RecordOutcome(const RequestSpec& spec,
                                 const ActionReply& reply) {
  ClaimEntry outcome = MakeClaimEntry(ClaimEntryKind::kOutcome, spec);
  outcome.reply = reply;
  if (reply.body.size() > kMaximumRecordedBytes) {
    outcome.reply.body.clear();
  }
  ClaimRange& range = RangeOf(outcome.key);
  Perform(range, range.RecordOutcome(outcome, CurrentTime()));
}

void ClaimService::Release(const RequestSpec& spec) {
  m_callbacks.erase(spec.id);
  LogEvent(request_log::kClaimReleased, {{"request", spec.id.value()}});
  const ClaimEntry release = MakeClaimEntry(ClaimEntryKind::kRelease, spec);
  ClaimRange& range = RangeOf(release.key);
  Perform(range, range.Release(release, CurrentTime()));
}

bool ClaimService::IsIdle() const {
  return std::all_of(m_ranges.begin(), m_ranges.end(),
                     [](const ClaimRange& range) { return range.IsIdle(); });
}

StorePort::Callback ClaimService::ResultCallback(ClaimRange& range,
                                                 StoreCallNumber call) {
  return [this, &range, call](const StoreResult& result) {
    Perform(range, range.OnStoreResult(call, result, CurrentTime()));
  };
}

void ClaimService::Perform(ClaimRange& range, const ClaimCommands& commands) {
  for (const ClaimCommand& command : commands) {
    if (const auto* read = std::get_if<ReadSegment>(&command)) {
      m_counters->calls.Add({{"call", "read"}}).Increment();
      m_store.Get(read->key, ResultCallback(range, read->call));
    } else if (const auto* write = std::get_if<WriteSegment>(&command)) {
      m_counters->calls.Add({{"call", "write"}}).Increment();
      m_store.CompareAndSwap(write->key, write->expected, write->value,
                             ResultCallback(range, write->call));
    } else {
      // NOTE: Posted because the callback can make further claims, which would
      // re-enter this function.
      m_loop.Post([this, settled = std::get<SettleClaim>(command)] {
        Settle(settled);
      });
    }
  }
  ScheduleTick();
}

void ClaimService::Settle(const SettleClaim& settled) {
  const auto it = m_callbacks.find(settled.request);
  if (it == m_callbacks.end()) {
    return;
  }
  const Callback callback = std::move(it->second);
  m_callbacks.erase(it);
  const char* verdict = VerdictName(settled.decided.verdict);
  m_counters->claims.Add({{"verdict", verdict}}).Increment();
  LogEvent(request_log::kClaimSettled,
           {{"request", settled.request.value()}, {"verdict", verdict}});
  callback(settled.decided);
}

void ClaimService::ScheduleTick() {
  if (m_tick != 0 || IsIdle()) {
    return;
  }
  m_tick = m_loop.Schedule(kTickInterval, [this] {
    m_tick = 0;
    for (ClaimRange& range : m_ranges) {
      Perform(range, range.Tick(CurrentTime()));
    }
  });
}

}  // namespace pistachiowalk
