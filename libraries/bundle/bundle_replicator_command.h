#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bundle/bundle.h"
#include "bundle/signed_bundle.h"
#include "membership/node_envelope.h"
#include "store/store_port.h"

namespace pistachiowalk {

enum class BundleSource { kStore, kPeer };

constexpr const char* BundleSourceName(BundleSource source) {
  return source == BundleSource::kStore ? "store" : "peer";
}

// Sends a message to a node: as a datagram if it fits, otherwise acknowledged.
struct SendBundleMessage {
  NodeId to;
  NodeMessageKind kind = NodeMessageKind::kBundleOffer;
  std::string payload;
};

// Starts a long-polling watch of the accepted bundle.
struct WatchBundle {
  StoreRevision after = 0;
  uint64_t call = 0;
};

// Reads the snapshot that a stored bundle refers to.
struct ReadBundleSnapshot {
  std::string key;
  uint64_t call = 0;
};

// Activates a verified bundle of a higher version than the active one.
struct ActivateBundle {
  std::shared_ptr<const Bundle> bundle;
  std::shared_ptr<const SignedBundle> envelope;
  BundleSource source = BundleSource::kStore;
};

// Reports that a bundle was rejected.
struct RejectBundle {
  BundleSource source = BundleSource::kStore;
  std::string reason;
};

using BundleReplicatorCommand = std::variant<SendBundleMessage,
                                             WatchBundle,
                                             ReadBundleSnapshot,
                                             ActivateBundle,
                                             RejectBundle>;
using BundleReplicatorCommands = std::vector<BundleReplicatorCommand>;

}  // namespace pistachiowalk
