#include "fleet/weight_store_limiter.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace pistachiowalk {
namespace {

namespace json = boost::json;

// Need assumed for a scope that has none, in loads per second, so that its
// first load does not have to wait for a renewal.
constexpr double kIdleNeed = 1e-3;

double NumberAt(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  json::error_code error;
  const double number = value ? value->to_number<double>(error) : 0.0;
  return error || !(number >= 0.0) ? 0.0 : number;
}

double OtherNeedOf(const WeightStoreShare& share) {
  return share.other_need + kIdleNeed;
}

}  // namespace

std::string FormatWeightStoreShares(const WeightStoreShareTable& table) {
  json::object document;
  for (const auto& [scope, share] : table) {
    document[scope] = json::object{{"rate", share.rate},
                                   {"protected_need", share.protected_need},
                                   {"other_need", share.other_need},
                                   {"beat", share.beat}};
  }
  return json::serialize(document);
}

std::optional<WeightStoreShareTable> ParseWeightStoreShares(
    std::string_view text) {
  json::error_code error;
  const json::value document = json::parse(text, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  WeightStoreShareTable table;
  for (const auto& [scope, value] : document.get_object()) {
    if (!value.is_object()) {
      return std::nullopt;
    }
    const json::object& entry = value.get_object();
    table[std::string(scope)] = WeightStoreShare{
        .rate = NumberAt(entry, "rate"),
        .protected_need = NumberAt(entry, "protected_need"),
        .other_need = NumberAt(entry, "other_need"),
        .beat = static_cast<uint64_t>(NumberAt(entry, "beat"))};
  }
  return table;
}

double FairRate(const WeightStoreShareTable& table,
                const std::string& scope,
                double total_rate) {
  const auto own = table.find(scope);
  if (own == table.end()) {
    return 0.0;
  }
  double protected_total = 0.0;
  double other_total = 0.0;
  for (const auto& [name, share] : table) {
    protected_total += share.protected_need;
    other_total += OtherNeedOf(share);
  }
  const double for_protected = std::min(protected_total, total_rate);
  const double fair_protected =
      protected_total > 0.0
          ? for_protected * own->second.protected_need / protected_total
          : 0.0;
  return fair_protected +
         (total_rate - for_protected) * OtherNeedOf(own->second) / other_total;
}

WeightStoreLimiter::WeightStoreLimiter(std::string key,
                                       std::string scope,
                                       double total_rate,
                                       LeaseTerms terms)
    : m_key(std::move(key)),
      m_scope(std::move(scope)),
      m_total_rate(total_rate),
      m_terms(terms) {}

void WeightStoreLimiter::SetNeed(double protected_need, double other_need) {
  m_own.protected_need = protected_need;
  m_own.other_need = other_need;
}

StoreCall WeightStoreLimiter::Send(StoreCall call,
                                   const WeightStoreShare& share,
                                   TimePoint now) {
  call.number = ++m_last_number;
  call.key = m_key;
  m_pending = PendingCall{.call = call, .sent_at = now, .share = share};
  return call;
}

// Records since when each entry has been unchanged.
void WeightStoreLimiter::Observe(TimePoint now) {
  for (const auto& [scope, share] : m_table) {
    const auto [it, is_new] = m_observations.emplace(
        scope, Observation{.beat = share.beat, .first_seen = now});
    if (!is_new && it->second.beat != share.beat) {
      it->second = Observation{.beat = share.beat, .first_seen = now};
    }
  }
  std::erase_if(m_observations, [this](const auto& observation) {
    return !m_table.contains(observation.first);
  });
}

StoreCall WeightStoreLimiter::Write(TimePoint now) {
  WeightStoreShareTable table = m_table;
  std::erase_if(table, [&](const auto& entry) {
    const auto it = m_observations.find(entry.first);
    return entry.first != m_scope && it != m_observations.end() &&
           now - it->second.first_seen >= TakeOverWait(m_terms);
  });
  WeightStoreShare& own = table[m_scope];
  own.protected_need = m_own.protected_need;
  own.other_need = m_own.other_need;
  ++own.beat;
  double rate_of_others = 0.0;
  for (const auto& [scope, share] : table) {
    rate_of_others += scope == m_scope ? 0.0 : share.rate;
  }
  own.rate = std::clamp(FairRate(table, m_scope, m_total_rate), 0.0,
                        std::max(0.0, m_total_rate - rate_of_others));
  // NOTE: A smaller rate applies as soon as it is sent, a larger one only once
  // its write is confirmed.
  m_rate = std::min(m_rate, own.rate);
  return Send(StoreCall{.kind = StoreCall::Kind::kWrite,
                        .expected = m_revision,
                        .value = FormatWeightStoreShares(table)},
              own, now);
}

std::optional<StoreCall> WeightStoreLimiter::Step(TimePoint now) {
  if (m_pending) {
    if (now - m_pending->sent_at < m_terms.call_timeout) {
      return std::nullopt;
    }
    OnAnswer(m_pending->call.number,
             StoreResult{.status = StoreStatus::kUnknown}, now);
  }
  if (now < m_next_call) {
    return std::nullopt;
  }
  m_next_call = now + m_terms.renew_interval;
  if (m_needs_read) {
    return Send(StoreCall{.kind = StoreCall::Kind::kRead}, WeightStoreShare{},
                now);
  }
  return Write(now);
}

void WeightStoreLimiter::OnAnswer(uint64_t number,
                                  const StoreResult& result,
                                  TimePoint now) {
  if (!m_pending || m_pending->call.number != number) {
    return;
  }
  const PendingCall pending = *std::exchange(m_pending, {});
  const bool is_write = pending.call.kind == StoreCall::Kind::kWrite;
  if (result.status == StoreStatus::kOk && is_write) {
    m_table = ParseWeightStoreShares(pending.call.value).value_or(m_table);
    m_revision = result.revision;
    Observe(now);
    ApplyShare(pending.share, pending.sent_at);
    return;
  }
  if (result.status != StoreStatus::kOk &&
      result.status != StoreStatus::kConflict) {
    m_needs_read = true;
    return;
  }
  // Both a read and a failed compare-and-swap return the current table.
  m_needs_read = false;
  m_table =
      ParseWeightStoreShares(result.value).value_or(WeightStoreShareTable{});
  m_revision = result.revision;
  Observe(now);
  m_next_call = std::min(m_next_call, now + m_terms.renew_interval / 8);
}

void WeightStoreLimiter::ApplyShare(const WeightStoreShare& share,
                                    TimePoint sent_at) {
  m_rate = share.rate;
  m_safe_until = sent_at + m_terms.term;
}

double WeightStoreLimiter::RateAt(TimePoint now) const {
  return now < m_safe_until ? m_rate : 0.0;
}

bool WeightStoreLimiter::TryStartLoad(TimePoint now) {
  const double rate = RateAt(now);
  if (rate <= 0.0) {
    return false;
  }
  const std::chrono::duration<double> spacing(1.0 / rate);
  if (m_last_load_at != TimePoint{} && now - m_last_load_at < spacing) {
    return false;
  }
  m_last_load_at = now;
  return true;
}

}  // namespace pistachiowalk
