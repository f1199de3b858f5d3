#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"
#include "request/action_claims.h"
#include "request/claim_range.h"
#include "store/store_port.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace pistachiowalk {

// Number of ranges into which idempotency keys are hashed. It must be the same
// on every node.
constexpr uint64_t kClaimRanges = 16;
// A response with a larger body is recorded without its body.
constexpr size_t kMaximumRecordedBytes = 64 * 1024;

// Performs the I/O for the claim ranges: makes their calls to the platform's
// store, and passes the results and the time to them.
class ClaimService final : public ActionClaims {
 public:
  ClaimService(EventLoop& loop,
               const Clock& clock,
               StorePort& store,
               prometheus::Registry& registry,
               NodeId node);
  ~ClaimService() override;

  void Claim(const RequestSpec& spec, Callback callback) override;
  void RecordOutcome(const RequestSpec& spec,
                     const ActionReply& reply) override;
  void Release(const RequestSpec& spec) override;

  // Whether no claim, outcome or release is waiting to be written to the store.
  bool IsIdle() const;

 private:
  struct Counters;

  ClaimTime CurrentTime() const;
  ClaimRange& RangeOf(const std::string& key);
  void Perform(ClaimRange& range, const ClaimCommands& commands);
  StorePort::Callback ResultCallback(ClaimRange& range, StoreCallNumber call);
  void Settle(const SettleClaim& settled);
  void ScheduleTick();

  EventLoop& m_loop;
  const Clock& m_clock;
  StorePort& m_store;
  std::unique_ptr<Counters> m_counters;
  std::vector<ClaimRange> m_ranges;
  std::map<RequestId, Callback> m_callbacks;
  TimerId m_tick = 0;
};

}  // namespace pistachiowalk
