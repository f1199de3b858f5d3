#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "store/store_position.h"

namespace pistachiowalk {

enum class RolloutStage : uint8_t {
  // A small share of the requests goes to the target and is judged.
  kJudging,
  // New requests go to the target; what runs at the old versions ends.
  kMoving,
  // The old workers are stopped.
  kCompleted,
  // No request goes to the target.
  kRolledBack,
};

constexpr size_t kMaximumRouteShares = 32;

// Share of one route's requests that goes to the target, 0 to 1.
struct RouteShare {
  std::string route;
  double share = 0.0;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveText(archive, route, kMaximumNameBytes);
    archive(share);
  }
  friend auto operator<=>(const RouteShare&, const RouteShare&) = default;
};

// How far the roll-out of one service is. Decided by the holder of the duty
// lease, kept in the store and spread to all nodes.
struct RolloutState {
  ServiceName service;
  SoftwareVersion target;
  // Of the order.
  StorePosition position;
  // Rises with each change. Of two states of one order the one with the higher
  // number is in force; the state of a later order replaces that of an earlier
  // one.
  uint64_t number = 0;
  RolloutStage stage = RolloutStage::kJudging;
  // Share of the service's requests that goes to the target, 0 to 1, unless
  // their route has a share of its own.
  double share = 0.0;
  std::vector<RouteShare> route_shares;
  // Share of the target's workers that get them, 0 to 1, so that these are as
  // loaded as the old ones. Compared with IsChosenEndpoint()'s hash.
  double endpoint_share = 1.0;
  // Cluster time in milliseconds since 1970: when the order was first seen,
  // when its outcome is due, and since when this stage has lasted.
  int64_t ordered_ms = 0;
  int64_t due_ms = 0;
  int64_t stage_since_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, service);
    ArchiveName(archive, target);
    auto coded_stage = static_cast<uint8_t>(stage);
    archive(position.history, position.revision, number, coded_stage, share,
            endpoint_share, ordered_ms, due_ms, stage_since_ms);
    ArchiveList(archive, route_shares, kMaximumRouteShares);
    if (coded_stage > static_cast<uint8_t>(RolloutStage::kRolledBack)) {
      throw cereal::Exception("unknown stage of a roll-out");
    }
    stage = static_cast<RolloutStage>(coded_stage);
  }
  friend auto operator<=>(const RolloutState&, const RolloutState&) = default;
};

// Whether two positions are of one order: the same, or one of them was read
// from a copy to which the store was restored, which keeps the revisions.
bool IsSameOrder(StorePosition a, StorePosition b);

// Of an order or state; chooses the target's workers.
uint64_t RolloutSalt(const ServiceName& service, StorePosition position);

}  // namespace pistachiowalk
