#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "rollout/own_evidence.h"
#include "rollout/rollout_order.h"
#include "rollout/rollout_report.h"
#include "rollout/rollout_result.h"
#include "rollout/rollout_state.h"
#include "rollout/version_rule.h"

namespace pistachiowalk {

// One node's part of the roll-outs of all services: to which version a request
// may go, and what became of those that were sent. Does no I/O.
//
// A node that does not know the state of an order, or for which it has not been
// confirmed for a while, sends nothing to the target; once a service moves, a
// node goes on to do so.
class RolloutNode {
 public:
  // The versions of all workers that are listed now; to be told before orders.
  // A target that already served alone when its order came is not on trial.
  void SetListedVersions(
      const std::set<std::pair<ServiceName, SoftwareVersion>>& listed) {
    m_listed = listed;
  }
  // `orders` are all that the store holds; one that is missing was withdrawn.
  void SetOrders(const std::vector<RolloutOrder>& orders, TimePoint now);
  // How long a state that nobody confirms lets requests go to a target under
  // judgement, for this time until none may be sent to a bad one.
  void SetRollBackTime(std::chrono::milliseconds roll_back);
  // Adds a state that was heard from the holder, which also confirms the known
  // one. Returns whether it is news. States of orders that this node has not
  // seen are kept.
  bool Merge(const RolloutState& state, TimePoint now);
  // The same for a state that was read from the store or heard from a node that
  // is not the holder: nobody may be judging it, so it confirms nothing.
  bool MergeUnconfirmed(const RolloutState& state, TimePoint now);

  // `draw` is uniform in [0, 1), drawn once for a request and its repeats.
  VersionRule RuleFor(const ServiceName& service,
                      double draw,
                      TimePoint now,
                      const std::string& route = {}) const;
  bool IsTarget(const ServiceName& service,
                const SoftwareVersion& version) const;
  // No effect for services without a roll-out.
  void RecordSend(const ServiceName& service,
                  const std::string& route,
                  const SoftwareVersion& version,
                  TimePoint now,
                  uint64_t endpoint_key = 0);
  void RecordResult(const ServiceName& service,
                    const std::string& route,
                    const SoftwareVersion& version,
                    const RolloutResult& result,
                    TimePoint now,
                    uint64_t endpoint_key = 0);

  // The orders in force, and the states in force of these.
  std::vector<RolloutOrder> Orders() const;
  std::vector<RolloutState> States() const;
  // This node's counts of roll-outs that are not decided; `node`, `incarnation`
  // and `sequence` are left to the caller.
  std::vector<RolloutReport> Reports() const;
  // Incremented with each change of orders or states.
  uint64_t revision() const { return m_revision; }

 private:
  // An earlier order's target that was not shown to be good.
  struct Barred {
    SoftwareVersion version;
    TimePoint until{};
  };
  struct Entry {
    std::optional<RolloutOrder> order;
    TimePoint ordered_at{};
    bool is_withdrawn = false;
    // No other version was listed when the order came.
    bool served_alone = false;
    std::optional<RolloutState> state;
    TimePoint confirmed_at{};
    std::vector<Barred> barred;
    std::map<std::string, RouteVersionCounts> counts;
    // This node's own verdict on clear evidence: nothing more to the target.
    OwnEvidence evidence;
  };

  // Whether the state is of the order in force or of a later one.
  static bool IsStateInForce(const Entry& entry);
  static const SoftwareVersion* TargetOf(const Entry& entry);
  static StorePosition PositionOf(const Entry& entry);
  static bool IsDecided(const Entry& entry);
  static void Bar(Entry& entry, TimePoint now);
  VersionCounts* CountsOf(const ServiceName& service,
                          const std::string& route,
                          const SoftwareVersion& version,
                          uint64_t endpoint_key,
                          VersionCounts** worker);

  bool ServesAlone(const RolloutOrder& order) const;
  bool MergeState(const RolloutState& state,
                  std::optional<TimePoint> confirmed_at,
                  TimePoint now);

  std::set<std::pair<ServiceName, SoftwareVersion>> m_listed;
  std::map<ServiceName, Entry> m_entries;
  Duration m_confirmation = std::chrono::seconds(3);
  uint64_t m_revision = 0;
};

}  // namespace pistachiowalk
