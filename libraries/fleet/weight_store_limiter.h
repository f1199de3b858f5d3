#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "fleet/lease_terms.h"
#include "fleet/store_call.h"

namespace pistachiowalk {

// One scope's share of the weight store's rate, as kept in the platform's
// store.
struct WeightStoreShare {
  // Loads per second that the scope may start.
  double rate = 0.0;
  // Loads per second that are needed, for protected services and for the rest.
  double protected_need = 0.0;
  double other_need = 0.0;
  // Increases with each renewal.
  uint64_t beat = 0;

  friend auto operator<=>(const WeightStoreShare&,
                          const WeightStoreShare&) = default;
};

using WeightStoreShareTable = std::map<std::string, WeightStoreShare>;

std::string FormatWeightStoreShares(const WeightStoreShareTable& table);
// Returns nullopt when `text` is not a table of shares.
std::optional<WeightStoreShareTable> ParseWeightStoreShares(
    std::string_view text);

// The fair rate for `scope`: protected needs are met first, then the rest, both
// in proportion to the need.
double FairRate(const WeightStoreShareTable& table,
                const std::string& scope,
                double total_rate);

// Limits the rate at which one scope loads model weights from the weight store.
// All scopes keep their shares in one value of the platform's store, written by
// compare-and-swap, so that the sum never exceeds the total without counting
// the loads centrally. A share is valid for one term from when its write was
// sent. A scope that stops renewing loses its share once it can no longer use
// it.
class WeightStoreLimiter {
 public:
  WeightStoreLimiter(std::string key,
                     std::string scope,
                     double total_rate,
                     LeaseTerms terms);

  void SetNeed(double protected_need, double other_need);
  std::optional<StoreCall> Step(TimePoint now);
  void OnAnswer(uint64_t number, const StoreResult& result, TimePoint now);
  // Takes one load from the share. Returns false when the load must wait.
  bool TryStartLoad(TimePoint now);
  double RateAt(TimePoint now) const;

 private:
  struct PendingCall {
    StoreCall call;
    TimePoint sent_at;
    WeightStoreShare share;
  };
  // The beat of a scope's entry and when it was first seen.
  struct Observation {
    uint64_t beat = 0;
    TimePoint first_seen{};
  };

  StoreCall Send(StoreCall call, const WeightStoreShare& share, TimePoint now);
  StoreCall Write(TimePoint now);
  void Observe(TimePoint now);
  void ApplyShare(const WeightStoreShare& share, TimePoint sent_at);

  std::string m_key;
  std::string m_scope;
  double m_total_rate;
  LeaseTerms m_terms;
  WeightStoreShare m_own;
  double m_rate = 0.0;
  TimePoint m_safe_until{};
  TimePoint m_last_load_at{};
  WeightStoreShareTable m_table;
  StoreRevision m_revision = 0;
  std::map<std::string, Observation> m_observations;
  std::optional<PendingCall> m_pending;
  uint64_t m_last_number = 0;
  TimePoint m_next_call{};
  bool m_needs_read = true;
};

}  // namespace pistachiowalk
